#pragma once

#include "almondlever/membership/MembershipView.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/** Shape of the tree by which the store's news reach all daemons. */
struct NewsTreeSettings {
    /** Daemons that watch the store; calls to it grow with them and not with the fleet. */
    std::size_t watchers = 3;
    /** Daemons that one relay answers; the work of a daemon stays the same while the fleet grows. */
    std::size_t childrenOfRelay = 16;
    /** Relays of a failure domain beside those that are needed, so that the loss of one overloads none. */
    std::size_t spareRelays = 1;
};

/** The place of one daemon in the tree. */
struct NewsPlace {
    bool isWatcher = false;
    /** Asks watchers on behalf of the daemons near it. */
    bool isRelay = false;
    /** The sources are relays and not watchers. */
    bool asksRelays = false;
    /** Whom to ask, in order of preference; empty for a watcher. */
    std::vector<LiveDaemon> sources;
};

/**
 * Watchers are spread over failure domains. While two layers suffice, all others ask them; in a larger fleet a few
 * relays of each failure domain do, and the others ask the relays of their own domain, so that news cross between
 * domains once for each relay. VMs with more capacity are chosen first: one watcher or relay that is overloaded delays
 * all that rely on it. Daemons that see the same fleet agree without messages.
 */
NewsPlace placeInNewsTree(const MembershipView&, const VmId& self, const NewsTreeSettings&);

} // namespace almondlever
