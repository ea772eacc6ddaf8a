#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/config/Configuration.h"
#include "almondlever/membership/MembershipView.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/**
 * The daemon that serves an endpoint, by rendezvous hashing over the live daemons that are not leaving: those in the
 * endpoint's failure domain come first, then those in its region, then the others. Empty when no daemon is eligible.
 */
VmId ownerOf(const EndpointDescription&, const Configuration&, const MembershipView&);

/**
 * The daemons that observe a group, in order of rank: the owners of its endpoints without repeats, completed from other
 * failure domains when one daemon owns several, so that they are spread over as many failure domains as possible.
 * There are as many observers as endpoints, or fewer when there are not enough daemons.
 */
std::vector<VmId> observersOf(const DatabaseDescription&, const Configuration&, const MembershipView&);

/** The daemons that watch the configuration and the VM list on behalf of all, spread over failure domains. */
std::vector<VmId> watchersOf(const MembershipView&, std::size_t count);

} // namespace almondlever
