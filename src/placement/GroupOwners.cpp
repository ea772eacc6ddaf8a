#include "almondlever/placement/GroupOwners.h"

#include "Rendezvous.h"

#include <algorithm>
#include <iterator>

namespace almondlever {

std::vector<LiveDaemon> ownersOf(const GroupRule& rule, const MembershipView& view, const GroupSharing& sharing)
{
    const auto usable = static_cast<std::size_t>(static_cast<double>(rule.maximumConnections) * sharing.usableShare);
    if (view.daemons.size() <= usable || rule.maximumConnections == 0) {
        std::vector<LiveDaemon> staying;
        std::copy_if(view.daemons.begin(), view.daemons.end(), std::back_inserter(staying),
            [](const LiveDaemon& daemon) { return !daemon.isLeaving; });
        return staying.empty() ? view.daemons : staying;
    }
    const std::size_t count = std::max<std::size_t>(usable / sharing.connectionsOfOwner, 1);
    std::vector<VmId> chosen;
    completeSpread(chosen, count, rule.id.text(), view);
    std::vector<LiveDaemon> owners;
    owners.reserve(chosen.size());
    for (const VmId& id : chosen)
        owners.push_back(*view.find(id));
    return owners;
}

} // namespace almondlever
