#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <map>
#include <utility>
#include <vector>

namespace almondlever {

/** Stores the newest report of each observer and determines whether a majority suspects the same primary. */
class SuspicionTracker {
public:
    explicit SuspicionTracker(Milliseconds lifetime)
        : lifetime_(lifetime)
    {
    }

    /** Replaces the observers and drops the reports of former ones. */
    void setObservers(const std::vector<std::pair<VmId, FailureDomainId>>&);
    /** Records a report; ignored unless it is from an observer. */
    void record(const SuspicionReport&, TimePoint now);
    void clear() { entries_.clear(); }

    /**
     * True when a majority of the observers suspects this primary in this term. They must span as many failure domains
     * as a majority has members, or all failure domains of the observers when there are fewer.
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
