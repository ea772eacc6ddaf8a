#include "almondlever/placement/Placement.h"

#include "Rendezvous.h"

#include <algorithm>
#include <array>
#include <map>

namespace almondlever {

namespace {

    constexpr const char* watchersKey = "watchers";

    enum Distance : std::size_t { SameDomain, SameRegion, Elsewhere, DistanceCount };

    Distance distanceBetween(
        const FailureDomainId& from, const FailureDomainId& other, const Configuration& configuration)
    {
        if (from == other)
            return SameDomain;
        const RegionId region = configuration.regionOf(from);
        return !region.isEmpty() && region == configuration.regionOf(other) ? SameRegion : Elsewhere;
    }

} // namespace

VmId ownerOf(const EndpointDescription& endpoint, const Configuration& configuration, const MembershipView& view)
{
    struct Best {
        const LiveDaemon* daemon = nullptr;
        std::uint64_t score = 0;
    };
    const std::uint64_t keyHash = hashName(endpoint.id.text());
    std::array<Best, DistanceCount> best;
    std::map<FailureDomainId, Distance> distances;
    for (const LiveDaemon& daemon : view.daemons) {
        if (daemon.isLeaving)
            continue;
        const auto [known, isNew] = distances.try_emplace(daemon.failureDomain, Elsewhere);
        if (isNew)
            known->second = distanceBetween(endpoint.failureDomain, daemon.failureDomain, configuration);
        Best& nearestBest = best[known->second];
        const std::uint64_t score = rendezvousScore(keyHash, hashName(daemon.id.text()));
        if (!nearestBest.daemon || wins(score, daemon.id, nearestBest.score, nearestBest.daemon->id))
            nearestBest = { &daemon, score };
    }
    const auto nearest = std::find_if(best.begin(), best.end(), [](const Best& found) { return found.daemon; });
    return nearest == best.end() ? VmId() : nearest->daemon->id;
}

std::vector<VmId> observersOf(
    const DatabaseDescription& database, const Configuration& configuration, const MembershipView& view)
{
    std::vector<VmId> observers;
    for (const EndpointDescription& endpoint : database.endpoints) {
        const VmId owner = ownerOf(endpoint, configuration, view);
        if (!owner.isEmpty() && std::find(observers.begin(), observers.end(), owner) == observers.end())
            observers.push_back(owner);
    }
    fillAcrossFailureDomains(observers, database.endpoints.size(), database.id.text(), view);
    return observers;
}

std::vector<VmId> watchersOf(const MembershipView& view, std::size_t count)
{
    std::vector<VmId> watchers;
    fillAcrossFailureDomains(watchers, count, watchersKey, view);
    return watchers;
}

} // namespace almondlever
