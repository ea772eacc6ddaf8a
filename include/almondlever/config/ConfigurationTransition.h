#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/config/Configuration.h"

namespace almondlever {

/**
 * Changes from one configuration to the next that must not be applied, one finding for each.
 *
 * The servers of a group that exists may not change: a majority of the old servers and a majority of the new ones need
 * not overlap, so daemons that still use the old configuration could acknowledge writes that a primary chosen under the
 * new one does not have. Addresses, slots and VMs of the same server may change; whole databases may come and go.
 *
 * @see compareConfigurations
 */
Findings findUnsafeChanges(const Configuration& before, const Configuration& after);

} // namespace almondlever
