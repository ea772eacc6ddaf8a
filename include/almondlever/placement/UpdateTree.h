#pragma once

#include "almondlever/membership/MembershipView.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/** Shape of the tree that distributes updates of the store to all daemons. */
struct UpdateTreeSettings {
    /** Daemons that watch the store, so that its load does not grow with the size of the fleet. */
    std::size_t watchers = 3;
    /** Daemons that query one relay; bounds the load of a daemon while the fleet grows. */
    std::size_t childrenPerRelay = 16;
    /** Additional relays in each failure domain, so that the loss of one does not overload the others. */
    std::size_t spareRelays = 1;
    /** Number of alternatives of each daemon; enough that some reach a store that turns most daemons away. */
    std::size_t alternatives = 16;
};

/** The position of one daemon in the tree. */
struct UpdateTreePosition {
    bool isWatcher = false;
    /** Queries the watchers and answers the queries of other daemons in its failure domain. */
    bool isRelay = false;
    /** True if the sources are relays, false if they are watchers. */
    bool asksRelays = false;
    /** Daemons to query, in order of preference; for a watcher, which queries while the store does not answer it, the
     * other watchers. */
    std::vector<LiveDaemon> sources;
    /** Further daemons to query while neither the store nor a source provides updates. */
    std::vector<LiveDaemon> alternatives;
};

/**
 * Returns the position of a daemon in the tree. Watchers are spread over failure domains. While there are at most
 * watchers x childrenPerRelay daemons, all others query the watchers. In a larger fleet only a few relays in each
 * failure domain query them, and the others query the relays of their own domain, so that updates cross between domains
 * once per relay. VMs with more capacity are preferred: an overloaded watcher or relay delays every daemon that queries
 * it. Daemons with the same membership view agree without exchanging messages.
 */
UpdateTreePosition positionInUpdateTree(const MembershipView&, const VmId& self, const UpdateTreeSettings&);

} // namespace almondlever
