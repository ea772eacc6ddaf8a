#include "almondlever/placement/GroupOwners.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace almondlever;

namespace {

MembershipView makeView(std::size_t count)
{
    MembershipView view;
    for (std::size_t i = 0; i < count; ++i) {
        const std::string number = std::to_string(1000 + i);
        view.daemons.push_back({ VmId("vm-" + number), FailureDomainId("d" + std::to_string(i % 6)), "", false });
    }
    return view;
}

GroupRule makeRule(std::size_t connections) { return { GroupId("ledger"), connections, 1 }; }

} // namespace

// Guards against a hop between daemons where every daemon can have connections of its own.
Test(GroupOwners, allDaemonsOwnWhileConnectionsSuffice)
{
    cr_assert_eq(ownersOf(makeRule(34), makeView(9), GroupSharing()).size(), 9U);
}

// Guards against more owners than connections, and against failure domains without an owner.
Test(GroupOwners, fewOwnersAreSpreadOverFailureDomains)
{
    const auto owners = ownersOf(makeRule(53), makeView(72), GroupSharing());
    cr_assert_eq(owners.size(), 9U);
    std::set<std::string> domains;
    for (const LiveDaemon& owner : owners)
        domains.insert(owner.failureDomain.text());
    cr_assert_eq(domains.size(), 6U);
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

// Guards against statements that are forwarded to a daemon which stops, in small fleets where all own every group.
Test(GroupOwners, whoLeavesOwnsNothing)
{
    MembershipView view = makeView(9);
    view.daemons[4].isLeaving = true;
    const auto owners = ownersOf(makeRule(34), view, GroupSharing());
    cr_assert_eq(owners.size(), 8U);
    for (const LiveDaemon& owner : owners)
        cr_assert(!owner.isLeaving);
    for (LiveDaemon& daemon : view.daemons)
        daemon.isLeaving = true;
    cr_assert_eq(ownersOf(makeRule(34), view, GroupSharing()).size(), 9U, "somebody must serve until the end");
}
