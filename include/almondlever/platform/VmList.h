#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <functional>
#include <string>
#include <vector>

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

/** The platform's list of live and leaving VMs. Callbacks are called exactly once, on the calling thread. */
class VmList {
public:
    using ListCallback = std::function<void(Result<std::vector<VmListEntry>, std::string>)>;

    virtual ~VmList() = default;

    /** Reads the whole list. */
    virtual void list(Duration timeout, ListCallback) = 0;
};

} // namespace almondlever
