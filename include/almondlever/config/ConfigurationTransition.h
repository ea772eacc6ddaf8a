#pragma once

#include "almondlever/common/Finding.h"
#include "almondlever/config/Configuration.h"

namespace almondlever {

/**
 * Reports changes between two configurations that are unsafe to apply, one finding for each.
 *
 * The set of servers of an existing group must not change: a majority of the old set and a majority of the new set need
 * not overlap, so daemons that still use the old configuration could acknowledge writes that a primary elected under
 * the new one lacks. Addresses, slots and VMs of a server may change, and whole databases may be added or removed.
 *
 * @see compareConfigurations
 */
Findings findUnsafeChanges(const Configuration& before, const Configuration& after);

} // namespace almondlever
