#pragma once

#include "almondlever/common/Identifier.h"

#include <string>

namespace almondlever {

enum class VmState {
    Live,
    Leaving,
};

/** One entry of the platform's VM list. The list lags behind the actual state. */
struct VmListEntry {
    VmId id;
    VmState state = VmState::Live;
    FailureDomainId failureDomain;
    /** "ip:port" where a daemon accepts other daemons; empty for VMs that run endpoints. */
    std::string peerAddress;
};

} // namespace almondlever
