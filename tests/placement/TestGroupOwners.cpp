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

// Guards against owners with one connection each, where a transaction of one caller leaves none for the others, and
// against forwarding to another failure domain.
Test(GroupOwners, smallFleetHasOneOwnerInEachFailureDomain)
{
    const auto owners = ownersOf(makeRule(21), makeView(7, 3), GroupOwnerSettings());
    cr_assert_eq(owners.size(), 3U);
    cr_assert_eq(domainsOf(owners).size(), 3U);
}

// Guards against more owners than connections, and against failure domains without an owner.
Test(GroupOwners, fewOwnersAreSpreadOverFailureDomains)
{
    const auto owners = ownersOf(makeRule(53), makeView(72), GroupOwnerSettings());
    cr_assert_eq(owners.size(), 6U);
    cr_assert_eq(domainsOf(owners).size(), 6U);
    cr_assert_eq(domainsOf(ownersOf(makeRule(125), makeView(295), GroupOwnerSettings())).size(), 6U);
    cr_assert_eq(
        ownersOf(makeRule(8), makeView(72), GroupOwnerSettings()).size(), 3U, "three connections are kept together");
}

// Guards against daemons that disagree on the owners although there are enough connections for all daemons to own.
Test(GroupOwners, allDaemonsOwnWhenEachGetsWhatAnOwnerNeeds)
{
    cr_assert_eq(ownersOf(makeRule(80), makeView(9), GroupOwnerSettings()).size(), 9U);
}

// Guards against moving all connections when one daemon is lost.
Test(GroupOwners, lossOfOneDaemonMovesFewOwners)
{
    MembershipView view = makeView(72);
    const auto before = ownersOf(makeRule(53), view, GroupOwnerSettings());
    view.daemons.erase(std::find_if(view.daemons.begin(), view.daemons.end(),
        [&before](const LiveDaemon& daemon) { return daemon.id == before.front().id; }));
    const auto after = ownersOf(makeRule(53), view, GroupOwnerSettings());
    std::size_t kept = 0;
    for (const LiveDaemon& owner : before) {
        kept += std::any_of(
            after.begin(), after.end(), [&owner](const LiveDaemon& other) { return other.id == owner.id; });
    }
    cr_assert_geq(kept, before.size() - 2);
}

// Guards against a group without owners when connections are very few.
Test(GroupOwners, hasAtLeastOneOwner)
{
    cr_assert_eq(ownersOf(makeRule(2), makeView(72), GroupOwnerSettings()).size(), 1U);
    cr_assert_eq(ownersOf(makeRule(0), makeView(3), GroupOwnerSettings()).size(), 3U);
}

// Guards against forwarding statements to a daemon that is leaving, also in small fleets where all own every group.
Test(GroupOwners, leavingDaemonIsNoOwner)
{
    MembershipView all = makeView(9, 3);
    all.daemons[4].isLeaving = true;
    cr_assert_eq(ownersOf(makeRule(80), all, GroupOwnerSettings()).size(), 8U);
    MembershipView view = makeView(9, 3);
    const VmId leaving = ownersOf(makeRule(34), view, GroupOwnerSettings()).front().id;
    for (LiveDaemon& daemon : view.daemons)
        daemon.isLeaving = daemon.id == leaving;
    const auto owners = ownersOf(makeRule(34), view, GroupOwnerSettings());
    cr_assert_eq(owners.size(), 3U);
    for (const LiveDaemon& owner : owners)
        cr_assert(!owner.isLeaving);
    for (LiveDaemon& daemon : view.daemons)
        daemon.isLeaving = true;
    cr_assert_eq(ownersOf(makeRule(34), view, GroupOwnerSettings()).size(), 9U, "somebody must serve until the end");
}
