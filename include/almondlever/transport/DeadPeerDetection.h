#pragma once

#include "almondlever/common/Time.h"

namespace almondlever {

/** How soon the kernel notices that the peer of a connection is unreachable. */
struct DeadPeerTimes {
    /** Quiet time before the first keep-alive probe, and between probes; whole seconds. */
    std::chrono::seconds probeAfter { 2 };
    /** Unanswered probes that end the connection. */
    int probes = 2;
    /** Longest time that sent bytes stay unacknowledged. */
    Milliseconds unacknowledged { 4000 };
};

/**
 * Makes the kernel end a connection whose peer went away without a word: behind a partition, without power, or silent
 * for good. Returns false when the kernel refuses an option.
 */
bool detectDeadPeer(int socket, const DeadPeerTimes&);

} // namespace almondlever
