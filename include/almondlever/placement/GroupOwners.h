#pragma once

#include "almondlever/membership/MembershipView.h"
#include "almondlever/sessions/Routing.h"

#include <cstddef>
#include <vector>

namespace almondlever {

/** How the daemons share the connections to a group's endpoints. */
struct GroupSharing {
    /** Share of an endpoint's connections that the daemons use together. */
    double usableShare = 0.7;
    /** Connections to each endpoint that an owner needs for statements and transactions side by side. */
    std::size_t connectionsOfOwner = 4;
};

/**
 * The daemons that keep connections to the endpoints of a group. All live ones while each can have a connection of its
 * own; else as many as connections allow, spread over failure domains by rendezvous hashing, and the others forward to
 * them. Daemons that see the same fleet agree without messages.
 */
std::vector<LiveDaemon> ownersOf(const GroupRule&, const MembershipView&, const GroupSharing&);

} // namespace almondlever
