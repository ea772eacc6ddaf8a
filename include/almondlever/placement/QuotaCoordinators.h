#pragma once

#include "almondlever/membership/MembershipView.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/**
 * Returns the daemons that coordinate limits of customers: one for each daemonsPerCoordinator daemons, but at least
 * minimum, spread over failure domains and on VMs with much capacity. Daemons with the same view agree.
 */
std::vector<LiveDaemon> quotaCoordinators(
    const MembershipView&, std::size_t daemonsPerCoordinator, std::size_t minimum);

/** Returns the coordinators of one customer, chosen by rendezvous hashing from those of the fleet. */
std::vector<LiveDaemon> coordinatorsOf(
    const CustomerId&, std::size_t count, const std::vector<LiveDaemon>& fleetCoordinators);

} // namespace almondlever
