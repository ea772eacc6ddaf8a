#pragma once

#include "almondlever/membership/MembershipView.h"
#include "almondlever/sessions/Routing.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/** Determines how many daemons own a group. */
struct GroupOwnerSettings {
    /**
     * Share of an endpoint's connections that all owners together keep open. Less than half, so that a fleet can
     * reconnect after a power failure: the endpoint still counts the connections from before for seconds.
     */
    double keptShare = 0.45;
    /** Connections to each endpoint that an owner needs to run statements and transactions concurrently. */
    std::size_t connectionsPerOwner = 4;
};

/**
 * Returns the owners of a group: the daemons that keep connections to its endpoints. The others forward to them. There
 * are as many owners as can have connectionsPerOwner connections each, but at least one in each failure domain while
 * connections suffice, so that requests are forwarded within the domain. Rendezvous hashing selects them, so that
 * daemons with the same membership view agree without exchanging messages.
 *
 * A few owners with several connections each perform better than many owners with one: a transaction occupies only one
 * of an owner's connections, and each queue schedules the requests of more callers.
 */
std::vector<LiveDaemon> ownersOf(const GroupRule&, const MembershipView&, const GroupOwnerSettings&);

} // namespace almondlever
