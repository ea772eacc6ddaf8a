#include "almondlever/placement/QuotaCoordinators.h"

#include "Rendezvous.h"

#include <algorithm>

namespace almondlever {

namespace {

    const char* const coordinatorsKey = "quota coordinators";

} // namespace

std::vector<LiveDaemon> quotaCoordinators(
    const MembershipView& view, std::size_t daemonsPerCoordinator, std::size_t minimum)
{
    const std::size_t needed = (view.daemons.size() + daemonsPerCoordinator - 1) / daemonsPerCoordinator;
    std::vector<LiveDaemon> coordinators;
    for (const VmId& id : chooseStrong(view.daemons, std::max(needed, minimum), coordinatorsKey))
        coordinators.push_back(*view.find(id));
    return coordinators;
}

std::vector<LiveDaemon> coordinatorsOf(
    const CustomerId& customer, std::size_t count, const std::vector<LiveDaemon>& fleetCoordinators)
{
    const std::uint64_t key = hashName(customer.text());
    std::vector<LiveDaemon> ordered = fleetCoordinators;
    std::sort(ordered.begin(), ordered.end(), [key](const LiveDaemon& left, const LiveDaemon& right) {
        return wins(rendezvousScore(key, hashName(left.id.text())), left.id,
            rendezvousScore(key, hashName(right.id.text())), right.id);
    });
    ordered.resize(std::min(ordered.size(), count));
    return ordered;
}

} // namespace almondlever
