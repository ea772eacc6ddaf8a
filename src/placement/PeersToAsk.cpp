#include "almondlever/placement/PeersToAsk.h"

#include <algorithm>
#include <map>

namespace almondlever {

std::vector<LiveDaemon> peersToAsk(
    const std::vector<LiveDaemon>& owners, const VmId& self, std::size_t count, std::size_t attempt)
{
    std::map<FailureDomainId, std::vector<const LiveDaemon*>> byDomain;
    std::size_t longest = 0;
    for (const LiveDaemon& owner : owners) {
        if (owner.id == self || owner.isLeaving)
            continue;
        std::vector<const LiveDaemon*>& domain = byDomain[owner.failureDomain];
        domain.push_back(&owner);
        longest = std::max(longest, domain.size());
    }
    std::vector<LiveDaemon> chosen;
    for (std::size_t round = 0; round < longest; ++round) {
        for (const auto& [id, domain] : byDomain) {
            if (round < domain.size() && chosen.size() < count)
                chosen.push_back(*domain[(round + attempt) % domain.size()]);
        }
    }
    return chosen;
}

} // namespace almondlever
