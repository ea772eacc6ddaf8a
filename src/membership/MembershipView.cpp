#include "almondlever/membership/MembershipView.h"

#include <algorithm>

namespace almondlever {

const LiveDaemon* MembershipView::find(const VmId& id) const
{
    const auto found = std::lower_bound(daemons.begin(), daemons.end(), id,
        [](const LiveDaemon& daemon, const VmId& sought) { return daemon.id < sought; });
    return found != daemons.end() && found->id == id ? &*found : nullptr;
}

} // namespace almondlever
