#include "almondlever/placement/GroupOwners.h"

#include "Rendezvous.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace almondlever {

namespace {

    std::vector<LiveDaemon> withoutLeaving(const std::vector<LiveDaemon>& daemons)
    {
        std::vector<LiveDaemon> staying;
        std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(staying),
            [](const LiveDaemon& daemon) { return !daemon.isLeaving; });
        return staying;
    }

    std::size_t countFailureDomains(const std::vector<LiveDaemon>& daemons)
    {
        std::set<FailureDomainId> domains;
        for (const LiveDaemon& daemon : daemons)
            domains.insert(daemon.failureDomain);
        return domains.size();
    }

    /** At least one; none has less than one connection. */
    std::size_t countOwners(const GroupRule& rule, std::size_t failureDomains, const GroupSharing& sharing)
    {
        const auto kept = static_cast<std::size_t>(static_cast<double>(rule.maximumConnections) * sharing.keptShare);
        const std::size_t served = std::max(kept / sharing.connectionsOfOwner, failureDomains);
        return std::max<std::size_t>(std::min(served, kept), 1);
    }

} // namespace

std::vector<LiveDaemon> ownersOf(const GroupRule& rule, const MembershipView& view, const GroupSharing& sharing)
{
    std::vector<LiveDaemon> staying = withoutLeaving(view.daemons);
    // Somebody must serve until the end of a fleet that stops.
    if (staying.empty())
        return view.daemons;
    const std::size_t count = countOwners(rule, countFailureDomains(staying), sharing);
    if (rule.maximumConnections == 0 || staying.size() <= count)
        return staying;
    std::vector<VmId> chosen;
    completeSpread(chosen, count, rule.id.text(), view);
    std::vector<LiveDaemon> owners;
    owners.reserve(chosen.size());
    for (const VmId& id : chosen)
        owners.push_back(*view.find(id));
    return owners;
}

} // namespace almondlever
