#pragma once

#include "almondlever/common/Identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondlever {

/** A daemon that is believed to be alive. */
struct LiveDaemon {
    VmId id;
    FailureDomainId failureDomain;
    /** "ip:port" where it accepts other daemons. */
    std::string peerAddress;
    /** True while it shuts down or the VM list shows it as leaving; it then gets no new placements. */
    bool isLeaving = false;
    /** CPU share of its VM in hundredths of a core; 0 if unknown. */
    std::uint32_t capacity = 0;
};

/** The daemons that one daemon believes to be alive, including itself. */
struct MembershipView {
    /** Increases with each change of this daemon's view; not comparable between daemons. */
    std::uint64_t revision = 0;
    /** Sorted by id. */
    std::vector<LiveDaemon> daemons;

    /** Returns the daemon, or null if it is not believed to be alive. */
    const LiveDaemon* find(const VmId&) const;
};

} // namespace almondlever
