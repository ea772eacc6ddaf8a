#include "almondlever/placement/GroupOwners.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace almondlever;

namespace {

MembershipView makeView(std::size_t count, std::size_t failureDomains = 6)
{
    MembershipView view;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(1000 + i);
        view.daemons.push_back(
            { VmId("vm-" + number), FailureDomainId("d" + std::to_string(i % failureDomains)), "", false });
    }
    return view;
}

GroupRule makeRule(std::size_t connections) { return { GroupId("ledger"), connections, 1 }; }

std::set<std::string> domainsOf(const std::vector<LiveDaemon>& daemons)
{
    std::set<std::string> domains;
    for (const LiveDaemon& daemon : daemons)
        domains.insert(daemon.failureDomain.text());
    return domains;
}

} // namespace

// Guards against owners with one connection each, in which the transaction of one caller leaves none to the others, and
// against forwards to another failure domain.
Test(GroupOwners, smallFleetHasOneOwnerInEachFailureDomain)
{
    const auto owners = ownersOf(makeRule(21), makeView(7, 3), GroupSharing());
    cr_assert_eq(owners.size(), 3U);
    cr_assert_eq(domainsOf(owners).size(), 3U);
}

// Guards against more owners than connections, and against failure domains without an owner.
Test(GroupOwners, fewOwnersAreSpreadOverFailureDomains)
{
    const auto owners = ownersOf(makeRule(53), makeView(72), GroupSharing());
    cr_assert_eq(owners.size(), 6U);
    cr_assert_eq(domainsOf(owners).size(), 6U);
    cr_assert_eq(domainsOf(ownersOf(makeRule(125), makeView(295), GroupSharing())).size(), 6U);
    cr_assert_eq(ownersOf(makeRule(8), makeView(72), GroupSharing()).size(), 3U, "three connections are kept together");
}

// Guards against owners that differ between daemons when there are as many connections as daemons want.
Test(GroupOwners, allDaemonsOwnWhenEachGetsWhatAnOwnerNeeds)
{
    cr_assert_eq(ownersOf(makeRule(80), makeView(9), GroupSharing()).size(), 9U);
}

// Guards against moving all connections when one daemon goes.
Test(GroupOwners, lossOfOneDaemonMovesFewOwners)
{
    MembershipView view = makeView(72);
    const auto before = ownersOf(makeRule(53), view, GroupSharing());
    view.daemons.erase(std::find_if(view.daemons.begin(), view.daemons.end(),
        [&before](const LiveDaemon& daemon) { return daemon.id == before.front().id; }));
    const auto after = ownersOf(makeRule(53), view, GroupSharing());
    std::size_t kept = 0;
    for (const LiveDaemon& owner : before) {
        kept += std::any_of(
            after.begin(), after.end(), [&owner](const LiveDaemon& other) { return other.id == owner.id; });
    }
    cr_assert_geq(kept, before.size() - 2);
}

// Guards against a group without owners when connections are very few.
Test(GroupOwners, thereIsAlwaysAnOwner)
{
    cr_assert_eq(ownersOf(makeRule(2), makeView(72), GroupSharing()).size(), 1U);
    cr_assert_eq(ownersOf(makeRule(0), makeView(3), GroupSharing()).size(), 3U);
}

// Guards against statements that are forwarded to a daemon which stops, also in small fleets where all own every group.
Test(GroupOwners, whoLeavesOwnsNothing)
{
    MembershipView all = makeView(9, 3);
    all.daemons[4].isLeaving = true;
    cr_assert_eq(ownersOf(makeRule(80), all, GroupSharing()).size(), 8U);
    MembershipView view = makeView(9, 3);
    const VmId stopping = ownersOf(makeRule(34), view, GroupSharing()).front().id;
    for (LiveDaemon& daemon : view.daemons)
        daemon.isLeaving = daemon.id == stopping;
    const auto owners = ownersOf(makeRule(34), view, GroupSharing());
    cr_assert_eq(owners.size(), 3U);
    for (const LiveDaemon& owner : owners)
        cr_assert(!owner.isLeaving);
    for (LiveDaemon& daemon : view.daemons)
        daemon.isLeaving = true;
    cr_assert_eq(ownersOf(makeRule(34), view, GroupSharing()).size(), 9U, "somebody must serve until the end");
}
