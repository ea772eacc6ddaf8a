#include "soak/GroupFaults.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace almondlever;
using namespace almondlever::soak;

namespace {

std::vector<GroupFault> drawSeed(std::uint64_t seed)
{
    GroupFaultSettings settings;
    settings.seed = seed;
    return drawGroupFaults(settings);
}

} // namespace

// Guards against a seed that does not repeat its faults.
Test(GroupFaults, repeatsThePlanOfASeed)
{
    cr_assert(drawSeed(1) == drawSeed(1));
    cr_assert_not(drawSeed(1) == drawSeed(2));
}

// Guards against a draw that leaves out a kind of fault, a restart of all daemons, or one between takeover and crash.
Test(GroupFaults, drawsEveryKind)
{
    std::set<GroupFault::Kind> kinds;
    std::set<std::size_t> restarted;
    std::set<GroupFault::Kind> afterTakeover;
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        for (const GroupFault& fault : drawSeed(seed)) {
            kinds.insert(fault.kind);
            restarted.insert(fault.daemons.size());
            if (fault.afterTakeover)
                afterTakeover.insert(fault.kind);
        }
    }
    cr_assert_eq(kinds.size(), static_cast<std::size_t>(GroupFault::Kind::RetireReplica) + 1);
    cr_assert(restarted == (std::set<std::size_t> { 0, 1, 2, 3 }));
    cr_assert(afterTakeover
        == (std::set<GroupFault::Kind> { GroupFault::Kind::CrashPrimary, GroupFault::Kind::RestartDaemons }));
}

// Guards against a plan in the wrong order, whose later faults would delay the earlier ones.
Test(GroupFaults, isSortedByTime)
{
    const std::vector<GroupFault> plan = drawSeed(3);
    cr_assert(
        std::is_sorted(plan.begin(), plan.end(), [](const GroupFault& a, const GroupFault& b) { return a.at < b.at; }));
}

// Guards against a seed that does not repeat its series, and against a draw that leaves out a kind of fault.
Test(LateCalls, drawsEveryKindAndRepeatsASeed)
{
    GroupFaultSettings settings;
    settings.faultTime = Milliseconds(25000);
    cr_assert(drawLateCalls(settings) == drawLateCalls(settings));
    std::set<GroupFault::Kind> kinds;
    for (settings.seed = 1; settings.seed <= 50; ++settings.seed) {
        for (const GroupFault& fault : drawLateCalls(settings))
            kinds.insert(fault.kind);
    }
    using Kind = GroupFault::Kind;
    cr_assert(kinds
        == (std::set<Kind> { Kind::CrashReplica, Kind::CrashPrimary, Kind::DarkenPrimary, Kind::RestartDaemons,
            Kind::HaltStore, Kind::PartPrimary, Kind::IsolatePrimary, Kind::DelayCalls, Kind::DelayOrders,
            Kind::DeafenCalled, Kind::SuspendDaemons, Kind::LeaveReplica, Kind::JoinReplica }));
}
