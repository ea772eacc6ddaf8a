#pragma once

#include "almondlever/common/Identifier.h"

#include <string>

namespace almondlever {

enum class VmState {
    Live,
    Leaving,
};

/** One VM as the platform's list shows it. The list lags behind the truth. */
struct VmListEntry {
    VmId id;
    VmState state = VmState::Live;
    FailureDomainId failureDomain;
    /** "ip:port" where a daemon accepts other daemons; empty for VMs that run endpoints. */
    std::string peerAddress;
};

} // namespace almondlever
