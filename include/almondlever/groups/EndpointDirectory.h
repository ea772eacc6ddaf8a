#pragma once

#include "almondlever/groups/EndpointEntry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondlever {

/**
 * The endpoints of all groups as the platform's store lists them, and which of them leads each group.
 *
 * The list lags and lapses: an entry that vanishes is kept for a grace period, because entries that lapsed with an
 * outage of the store come back. Leadership is taken from the endpoints' own answers first, by term, and from their
 * entries only while no answer contradicts them. Not thread-safe.
 */
class EndpointDirectory {
public:
    /** An entry that is still missing after this is gone; the platform promises the return of lapsed entries within it.
     */
    static constexpr Milliseconds lapseGrace { 2000 };
    /** An endpoint that left is remembered for this long; a store is restored from copies that are seconds old. */
    static constexpr Milliseconds departedMemory { 60000 };

    /** Replaces the whole list; entries that are missing from it start to lapse. */
    void replaceAll(const std::vector<EndpointEntry>&, TimePoint now);
    /** Adds or changes one entry. */
    void update(const EndpointEntry&, TimePoint now);
    /** The entry vanished from the store at a revision; older news than the entry itself changes nothing. */
    void lapse(const EndpointId&, std::uint64_t revision, TimePoint now);
    /** The store could not be reached until now: lapsing entries get the whole grace period again. */
    void noteStoreReturned(TimePoint now);
    /** Drops the entries whose grace period is over and returns their ids. */
    std::vector<EndpointId> removeLapsed(TimePoint now);

    const EndpointEntry* find(const EndpointId&) const;
    std::vector<const EndpointEntry*> endpointsOf(const GroupId&) const;
    std::set<GroupId> groups() const;
    bool isLapsing(const EndpointId&) const;
    /** When the entry first said that the endpoint is leaving; nullopt while it stays. */
    std::optional<TimePoint> leavingSince(const EndpointId&) const;

    /** When an endpoint of the group was last added, lost or reborn after the group was first seen. */
    std::optional<TimePoint> membersChangedAt(const GroupId&) const;

    /** An endpoint proved that it led in a term at the time of its answer. */
    void noteLeading(const EndpointId&, Term);
    /** An endpoint refused work that only a primary does. Its entry counts again when it is written anew. */
    void noteNotLeading(const EndpointId&);
    /** An endpoint told a term, of itself or of a log position. */
    void noteTerm(const GroupId&, Term);
    /** The endpoint believed to lead; nullptr when none is. */
    const EndpointEntry* primaryOf(const GroupId&) const;
    /** Newest term seen in the group. */
    Term newestTermOf(const GroupId&) const;

private:
    struct Listed {
        EndpointEntry entry;
        std::optional<TimePoint> lapsedAt;
        std::optional<TimePoint> leavingSince;
        /** Revision of the entry when the endpoint refused to lead; 0 when it did not. */
        std::uint64_t refusedAtRevision = 0;
        /** Revision at which the entry first said that the endpoint leads. */
        std::uint64_t primarySinceRevision = 0;
        /** Place of that announcement in the order of evidence. */
        std::uint64_t announcedAt = 0;
    };
    struct Leadership {
        EndpointId proven;
        Term provenTerm = 0;
        /** Place of the latest proof in the order of evidence. */
        std::uint64_t provenAt = 0;
        Term newestTerm = 0;
    };

    /** What an endpoint had written when it was dropped. */
    struct Departed {
        EndpointEntry entry;
        TimePoint since;
    };

    /**
     * True when a restored store shows the entry as it was before the known one. Its revision is greater all the same,
     * since the restore began a new era.
     */
    static bool isFromCopy(const EndpointEntry&, const EndpointEntry& known);
    void removeMember(const GroupId&, const EndpointId&);

    std::map<EndpointId, Listed> endpoints_;
    /** Ids by group, so that deciding about one group costs the same however many others there are. */
    std::map<GroupId, std::set<EndpointId>> membersOf_;
    std::map<GroupId, Leadership> leadership_;
    std::map<GroupId, TimePoint> membersChangedAt_;
    /** Endpoints that left lately; a restored store may list them again. */
    std::map<EndpointId, Departed> departed_;
    /** Announcements and proofs so far; orders them as they reached this process. */
    std::uint64_t evidence_ = 0;
};

} // namespace almondlever
