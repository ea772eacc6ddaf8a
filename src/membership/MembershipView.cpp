#include "almondlever/membership/MembershipView.h"

#include <algorithm>

namespace almondlever {

const LiveDaemon* MembershipView::find(const VmId& id) const
{
    const auto position = std::lower_bound(daemons.begin(), daemons.end(), id,
        [](const LiveDaemon& daemon, const VmId& wanted) { return daemon.id < wanted; });
    return position != daemons.end() && position->id == id ? &*position : nullptr;
}

} // namespace almondlever
