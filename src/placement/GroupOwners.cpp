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

    /** At least one owner, and no more owners than connections to keep open. */
    std::size_t countOwners(const GroupRule& rule, std::size_t failureDomains, const GroupOwnerSettings& settings)
    {
        const auto openConnections
            = static_cast<std::size_t>(static_cast<double>(rule.maximumConnections) * settings.keptShare);
        const std::size_t ownerCount = std::max(openConnections / settings.connectionsPerOwner, failureDomains);
        return std::max<std::size_t>(std::min(ownerCount, openConnections), 1);
    }

} // namespace

std::vector<LiveDaemon> ownersOf(const GroupRule& rule, const MembershipView& view, const GroupOwnerSettings& settings)
{
    std::vector<LiveDaemon> staying = withoutLeaving(view.daemons);
    // When the whole fleet stops, requests are served until the last daemon exits.
    if (staying.empty())
        return view.daemons;
    const std::size_t count = countOwners(rule, countFailureDomains(staying), settings);
    if (rule.maximumConnections == 0 || staying.size() <= count)
        return staying;
    std::vector<VmId> chosen;
    fillAcrossFailureDomains(chosen, count, rule.id.text(), view);
    std::vector<LiveDaemon> owners;
    owners.reserve(chosen.size());
    for (const VmId& id : chosen)
        owners.push_back(*view.find(id));
    return owners;
}

} // namespace almondlever
