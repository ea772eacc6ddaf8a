#include "SuspicionTracker.h"

#include <algorithm>
#include <set>

namespace almondlever {

void SuspicionTracker::setObservers(const std::vector<std::pair<VmId, FailureDomainId>>& observers)
{
    observers_ = { observers.begin(), observers.end() };
    for (auto entry = entries_.begin(); entry != entries_.end();)
        entry = observers_.count(entry->first) == 0 ? entries_.erase(entry) : std::next(entry);
}

void SuspicionTracker::record(const SuspicionReport& report, TimePoint now)
{
    if (observers_.count(report.observer) == 0)
        return;
    const auto known = entries_.find(report.observer);
    // A delayed report about an older term must not replace a newer one.
    if (known != entries_.end() && known->second.report.term > report.term)
        return;
    entries_[report.observer] = { report, now };
}

bool SuspicionTracker::hasMajority(Term term, const EndpointId& primary, TimePoint now) const
{
    std::size_t count = 0;
    std::set<FailureDomainId> domains;
    for (const auto& [observer, entry] : entries_) {
        const SuspicionReport& report = entry.report;
        if (!report.isSuspected || report.term != term || report.primary != primary)
            continue;
        if (now - entry.receivedAt >= lifetime_)
            continue;
        ++count;
        domains.insert(observers_.at(observer));
    }
    std::set<FailureDomainId> allDomains;
    for (const auto& [observer, domain] : observers_)
        allDomains.insert(domain);
    const std::size_t majority = observers_.size() / 2 + 1;
    return count >= majority && domains.size() >= std::min(majority, allDomains.size());
}

} // namespace almondlever
