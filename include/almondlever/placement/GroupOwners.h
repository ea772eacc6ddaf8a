#pragma once

#include "almondlever/membership/MembershipView.h"
#include "almondlever/sessions/Routing.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/** How the daemons share the connections to a group's endpoints. */
struct GroupSharing {
    /**
     * Share of an endpoint's connections that the owners keep open together. Less than half, so that a fleet that lost
     * power finds room beside the connections of its former life, which the endpoint counts for seconds.
     */
    double keptShare = 0.45;
    /** Connections to each endpoint that an owner needs for statements and transactions side by side. */
    std::size_t connectionsOfOwner = 4;
};

/**
 * The daemons that keep connections to the endpoints of a group; the others forward to them. As many as get the
 * connections that an owner needs, but one in each failure domain while connections suffice, so that forwards stay
 * near. Chosen by rendezvous hashing, so that daemons that see the same fleet agree without messages.
 *
 * Few owners with several connections each serve more than many with one: a transaction of one caller then leaves
 * connections to the others, and one queue orders what more callers ask for.
 */
std::vector<LiveDaemon> ownersOf(const GroupRule&, const MembershipView&, const GroupSharing&);

} // namespace almondlever
