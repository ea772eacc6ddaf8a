#pragma once

#include "almondlever/common/Identifier.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondlever {

/** A daemon that is believed to live. */
struct LiveDaemon {
    VmId id;
    FailureDomainId failureDomain;
    /** "ip:port" where it accepts other daemons. */
    std::string peerAddress;
    /** True while it shuts down or the VM list shows it leaving: it gets no new placements. */
    bool isLeaving = false;
    /** Share of a core that its VM has, in hundredths; 0 when it is not known. */
    std::uint32_t capacity = 0;
};

/** What a daemon believes about the others. Includes the daemon itself. Sorted by id. */
struct MembershipView {
    /** Rises with each change of this daemon's view; not comparable between daemons. */
    std::uint64_t revision = 0;
    std::vector<LiveDaemon> daemons;

    /** The daemon, or null when it is not believed to live. */
    const LiveDaemon* find(const VmId&) const;
};

} // namespace almondlever
