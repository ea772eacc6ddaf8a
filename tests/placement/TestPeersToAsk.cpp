#include "almondlever/placement/PeersToAsk.h"

#include <criterion/criterion.h>
#include <set>

using namespace almondlever;

namespace {

LiveDaemon daemon(const std::string& id, const std::string& domain)
{
    return { VmId(id), FailureDomainId(domain), "", false };
}

} // namespace

// Guards against querying one failure domain only, all of whose daemons may be unreachable at once.
Test(PeersToAsk, spreadsOverFailureDomains)
{
    std::vector<LiveDaemon> owners { daemon("a1", "a"), daemon("a2", "a"), daemon("a3", "a"), daemon("b1", "b"),
        daemon("c1", "c") };
    owners[4].isLeaving = true;
    const auto peers = peersToAsk(owners, VmId("a1"), 2, 0);
    cr_assert_eq(peers.size(), 2U);
    cr_assert(peers[0].id == VmId("a2"));
    cr_assert(peers[1].id == VmId("b1"));
    cr_assert_eq(peersToAsk(owners, VmId("a1"), 9, 0).size(), 3U, "excludes itself and leaving daemons");
    cr_assert(peersToAsk(owners, VmId("a1"), 2, 1)[0].id == VmId("a3"), "another attempt selects others");
    cr_assert(peersToAsk({ daemon("a1", "a") }, VmId("a1"), 2, 0).empty());
}
