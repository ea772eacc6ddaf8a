#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <map>
#include <utility>
#include <vector>

namespace almondlever {

/** Keeps the newest report of each observer and decides whether a majority suspects the same primary. */
class SuspicionLedger {
public:
    explicit SuspicionLedger(Milliseconds lifetime)
        : lifetime_(lifetime)
    {
    }

    /** Replaces the observers; reports of others are dropped. */
    void setObservers(const std::vector<std::pair<VmId, FailureDomainId>>&);
    /** Takes a report of an observer; reports of others are ignored. */
    void record(const SuspicionReport&, TimePoint now);
    void clear() { entries_.clear(); }

    /**
     * True when a majority of the observers suspects this primary of this term. They must span as many failure domains
     * as a majority has members, or all domains when the observers have fewer.
     */
    bool hasMajority(Term, const EndpointId& primary, TimePoint now) const;

private:
    struct Entry {
        SuspicionReport report;
        TimePoint receivedAt;
    };

    std::map<VmId, FailureDomainId> observers_;
    std::map<VmId, Entry> entries_;
    Milliseconds lifetime_;
};

} // namespace almondlever
