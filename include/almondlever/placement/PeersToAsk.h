#pragma once

#include "almondlever/membership/MembershipView.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/**
 * At most `count` of the owners of a group, without `self` and those that leave, from as many failure domains as
 * possible. Another attempt asks others where there are more.
 */
std::vector<LiveDaemon> peersToAsk(
    const std::vector<LiveDaemon>& owners, const VmId& self, std::size_t count, std::size_t attempt);

} // namespace almondlever
