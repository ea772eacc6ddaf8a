#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/store/PromotionClaim.h"

#include <cstdint>
#include <map>
#include <set>

namespace almondlever {

/**
 * Decides for which groups this daemon holds writes back because their primary is being changed.
 *
 * From the comparison of the replicas' logs until the outcome of every promote call is known, a commit that the former
 * primary acknowledges may be missing from the log of the called endpoint. No daemon passes such an acknowledgement on:
 * each one holds writes back while the change record is open under a claim that asks for it, while it is open without
 * a claim, since the deciding daemon is gone and its calls may still be carried out, and while the deciding daemon has
 * asked for it. Under a claim that lets the primary serve, no call is made before that one has stepped down. The hold
 * ends with the record, or when the deciding daemon reports that its calls are resolved.
 */
class WriteHolds {
public:
    explicit WriteHolds(StatementDispatcher& dispatcher)
        : dispatcher_(dispatcher)
    {
    }

    /** The store shows a claim in this revision. */
    void noteClaim(const GroupId&, ClaimedWrites, std::uint64_t revision);
    void noteClaimEnded(const GroupId&);
    /** The store shows the change record in this revision. */
    void noteRecord(const GroupId&, bool isOpen, std::uint64_t revision);
    /** True if a revision before this one was noted. */
    bool isNewer(const GroupId&, std::uint64_t revision) const;
    /** The daemon that holds the claim with this fencing token asks for the hold. */
    void request(const GroupId&, std::uint64_t fence, TimePoint now);
    /** The calls of the change with this fencing token are resolved. */
    void close(const GroupId&, std::uint64_t fence);
    /** Passes the changes since the last call on to the dispatcher. */
    void apply(TimePoint now);

    bool isHeld(const GroupId&) const;
    /** True if the calls of the change whose claim opened the record are known to be resolved. */
    bool isClosed(const GroupId&, std::uint64_t recordRevision) const;
    /**
     * True if a hold that was asked for has lasted for this long although the store shows neither a claim nor an open
     * record: the record was lost when the store was restored, or its last change has not arrived.
     */
    bool isOrphaned(const GroupId&, Duration limit, TimePoint now) const;

private:
    struct GroupHold {
        bool isClaimed = false;
        /** Of the present claim, or else of the last one that was seen. */
        ClaimedWrites claimedWrites = ClaimedWrites::Unknown;
        std::uint64_t claimRevision = 0;
        bool isRecordOpen = false;
        std::uint64_t recordRevision = 0;
        /** Newest fencing token whose holder asked for the hold; 0 if none did. */
        std::uint64_t requestedFence = 0;
        TimePoint requestedAt {};
        /** Newest fencing token whose calls are known to be resolved. */
        std::uint64_t closedFence = 0;
    };

    static bool isRequested(const GroupHold&);
    static bool isHeld(const GroupHold&);

    StatementDispatcher& dispatcher_;
    std::map<GroupId, GroupHold> groups_;
    /** Groups to be compared with the dispatcher's state. */
    std::set<GroupId> changed_;
};

} // namespace almondlever
