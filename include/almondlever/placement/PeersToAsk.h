#pragma once

#include "almondlever/membership/MembershipView.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/**
 * Selects at most `count` owners of a group from as many failure domains as possible, excluding `self` and daemons that
 * are leaving. Each attempt selects different owners in failure domains that have several.
 */
std::vector<LiveDaemon> peersToAsk(
    const std::vector<LiveDaemon>& owners, const VmId& self, std::size_t count, std::size_t attempt);

} // namespace almondlever
