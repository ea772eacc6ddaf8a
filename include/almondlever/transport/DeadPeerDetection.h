#pragma once

#include "almondlever/common/Time.h"

namespace almondlever {

/** How soon the kernel detects that the peer of a connection is unreachable. */
struct DeadPeerTimes {
    /** Idle time before the first keep-alive probe, and the interval between probes; whole seconds. */
    std::chrono::seconds probeAfter { 2 };
    /** Number of unanswered probes after which the connection is closed. */
    int probes = 2;
    /** Maximum time that sent bytes may stay unacknowledged. */
    Milliseconds unacknowledged { 4000 };
};

/**
 * Makes the kernel close a connection whose peer disappeared without closing it: because of a partition, a loss of
 * power or a peer that stays silent. Returns false if the kernel rejects an option.
 */
bool detectDeadPeer(int socket, const DeadPeerTimes&);

} // namespace almondlever
