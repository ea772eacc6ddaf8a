#include "Rendezvous.h"

#include <algorithm>
#include <map>

namespace almondlever {

namespace {

    struct Scored {
        const LiveDaemon* daemon;
        std::uint64_t score;
    };

    bool isChosen(const std::vector<VmId>& chosen, const VmId& id)
    {
        return std::find(chosen.begin(), chosen.end(), id) != chosen.end();
    }

    /** Inserts a candidate into a list sorted by score, highest first, and limits the list to `count` entries. */
    void insertBest(std::vector<Scored>& best, const Scored& candidate, std::size_t count)
    {
        const auto isBetter = [](const Scored& left, const Scored& right) {
            return wins(left.score, left.daemon->id, right.score, right.daemon->id);
        };
        if (best.size() == count && !isBetter(candidate, best.back()))
            return;
        best.insert(std::upper_bound(best.begin(), best.end(), candidate, isBetter), candidate);
        if (best.size() > count)
            best.pop_back();
    }

} // namespace

std::uint64_t hashName(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

void fillAcrossFailureDomains(
    std::vector<VmId>& chosen, std::size_t count, const std::string& key, const MembershipView& view)
{
    if (chosen.size() >= count)
        return;
    const std::size_t missing = count - chosen.size();
    const std::uint64_t keyHash = hashName(key);
    std::map<FailureDomainId, std::size_t> chosenByDomain;
    std::map<FailureDomainId, std::vector<Scored>> bestByDomain;
    for (const LiveDaemon& daemon : view.daemons) {
        if (isChosen(chosen, daemon.id))
            ++chosenByDomain[daemon.failureDomain];
        else if (!daemon.isLeaving)
            insertBest(bestByDomain[daemon.failureDomain],
                { &daemon, rendezvousScore(keyHash, hashName(daemon.id.text())) }, missing);
    }
    while (chosen.size() < count) {
        std::vector<Scored>* next = nullptr;
        std::size_t nextChosen = 0;
        for (auto& [domain, best] : bestByDomain) {
            if (best.empty())
                continue;
            const std::size_t domainChosen = chosenByDomain[domain];
            const Scored& first = best.front();
            const bool isBetter = !next || domainChosen < nextChosen
                || (domainChosen == nextChosen
                    && wins(first.score, first.daemon->id, next->front().score, next->front().daemon->id));
            if (!isBetter)
                continue;
            next = &best;
            nextChosen = domainChosen;
        }
        if (!next)
            return;
        const LiveDaemon& daemon = *next->front().daemon;
        chosen.push_back(daemon.id);
        ++chosenByDomain[daemon.failureDomain];
        next->erase(next->begin());
    }
}

std::vector<VmId> chooseStrong(const std::vector<LiveDaemon>& candidates, std::size_t count, const std::string& key)
{
    std::uint32_t largestCapacity = 0;
    for (const LiveDaemon& daemon : candidates)
        largestCapacity = std::max(largestCapacity, daemon.isLeaving ? 0 : daemon.capacity);
    MembershipView preferred;
    for (const LiveDaemon& daemon : candidates) {
        if (!daemon.isLeaving && 2 * daemon.capacity >= largestCapacity)
            preferred.daemons.push_back(daemon);
    }
    std::vector<VmId> chosen;
    fillAcrossFailureDomains(chosen, count, key, preferred);
    if (chosen.size() < count) {
        MembershipView all;
        all.daemons = candidates;
        fillAcrossFailureDomains(chosen, count, key, all);
    }
    return chosen;
}

} // namespace almondlever
