#pragma once

#include "almondlever/groups/EndpointEntry.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace almondlever {

/**
 * The endpoints of all groups as listed in the platform's store, and the primary of each group.
 *
 * The store's list lags, and entries disappear during an outage of the store and return afterwards. An entry that
 * disappears is therefore kept for a grace period. The primary is determined from the endpoints' own answers, by term;
 * their entries count only while no answer contradicts them. Not thread-safe.
 */
class EndpointDirectory {
public:
    /** Grace period of a missing entry; the platform guarantees that entries of running endpoints return within it. */
    static constexpr Milliseconds lapseGrace { 2000 };
    /** Time for which a removed endpoint is remembered: a store restored from a backup, seconds old, may list it. */
    static constexpr Milliseconds removedEntryRetention { 60000 };

    /**
     * Replaces the whole list; the grace period starts for entries that are missing from it.
     *
     * @return the entries whose grace period has started with this call.
     */
    std::vector<EndpointEntry> replaceAll(const std::vector<EndpointEntry>&, TimePoint now);
    /** Adds or changes one entry. */
    void update(const EndpointEntry&, TimePoint now);
    /** The entry was deleted from the store at a revision; ignored when the known entry is newer than that. */
    void lapse(const EndpointId&, std::uint64_t revision, TimePoint now);
    /** The store is reachable again after an outage; restarts the grace period of missing entries. */
    void restartGracePeriods(TimePoint now);
    /** Removes the entries whose grace period has expired and returns them. */
    std::vector<EndpointEntry> removeLapsed(TimePoint now);

    const EndpointEntry* find(const EndpointId&) const;
    std::vector<const EndpointEntry*> endpointsOf(const GroupId&) const;
    std::set<GroupId> groups() const;
    /** True during the grace period of a missing entry. */
    bool isLapsing(const EndpointId&) const;
    /** When the entry first reported the endpoint as leaving; nullopt when it is not leaving. */
    std::optional<TimePoint> leavingSince(const EndpointId&) const;

    /** When an endpoint was last added to the group, removed, or restarted without its data, after the group was first
     * seen. */
    std::optional<TimePoint> membersChangedAt(const GroupId&) const;

    /** The answer of an endpoint proved that it was the primary in a term. */
    void noteLeading(const EndpointId&, Term);
    /**
     * An endpoint refused a request that only a primary serves. Until it writes a new entry or proves to be the
     * primary, its reportsPrimary is ignored.
     */
    void noteNotLeading(const EndpointId&);
    /** An endpoint reported a term, its own or that of a log position. */
    void noteTerm(const GroupId&, Term);
    /** The endpoint believed to be the primary; nullptr when there is none. */
    const EndpointEntry* primaryOf(const GroupId&) const;
    /** Newest term of the group, if the endpoint has proved that it led in it and nothing contradicted that since. */
    std::optional<Term> provenTermOf(const GroupId&, const EndpointId&) const;
    /** Newest term seen in the group; 0 when none was. */
    Term newestTermOf(const GroupId&) const;

private:
    struct Listed {
        EndpointEntry entry;
        std::optional<TimePoint> lapsedAt;
        std::optional<TimePoint> leavingSince;
        /** Revision of the entry when the endpoint refused a request as not the primary; 0 when it did not. */
        std::uint64_t refusedAtRevision = 0;
        /** Revision since which the entry reports the endpoint as primary; 0 when it does not. */
        std::uint64_t primarySinceRevision = 0;
        /** Value of evidenceCount_ at that announcement. */
        std::uint64_t announcedAt = 0;
    };
    struct Leadership {
        /** The endpoint that last proved to be the primary; empty after noteNotLeading() or a restart of it. */
        EndpointId proven;
        Term provenTerm = 0;
        /** Value of evidenceCount_ at the latest proof. */
        std::uint64_t provenAt = 0;
        /** Value of evidenceCount_ when another endpoint last announced that it leads. */
        std::uint64_t otherAnnouncedAt = 0;
        Term newestTerm = 0;
    };

    /** The last entry of a removed endpoint. */
    struct Removed {
        EndpointEntry entry;
        TimePoint since;
    };

    /**
     * True when a store restored from a backup shows an older entry than the known one. Its revision is greater
     * nevertheless, because the restore started a new era.
     */
    static bool isFromRestoredBackup(const EndpointEntry&, const EndpointEntry& known);
    void removeMember(const GroupId&, const EndpointId&);

    std::map<EndpointId, Listed> endpoints_;
    /** Ids by group, so that the cost of a lookup does not depend on the number of other groups. */
    std::map<GroupId, std::set<EndpointId>> membersOf_;
    std::map<GroupId, Leadership> leadership_;
    std::map<GroupId, TimePoint> membersChangedAt_;
    /** Recently removed endpoints, which a restored store may list again. */
    std::map<EndpointId, Removed> removed_;
    /** Number of announcements and proofs so far; orders them by their arrival at this process. */
    std::uint64_t evidenceCount_ = 0;
};

} // namespace almondlever
