#include "FakeFleet.h"

#include <criterion/criterion.h>

using namespace almondlever;
using std::chrono::seconds;

namespace {

constexpr std::size_t smallFleet = 9;
constexpr std::uint64_t seed = 20261204;
constexpr auto dead = MemberRecord::State::Dead;

double inSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

bool isKnownAsLeaving(Membership& membership, const VmId& id) { return membership.leavingVms().count(id) != 0; }

} // namespace

// Guards against a dead daemon that stays in the views and against live ones that are removed with it.
Test(Membership, detectsDeadDaemon)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(10));
    cr_assert(fleet.allViewsHaveSize(smallFleet));
    const VmId victim = fleet.self(4).id;
    fleet.kill(4);
    const Duration time = fleet.timeUntil([&] { return fleet.noneContains(victim); }, seconds(30));
    cr_assert(inSeconds(time) < 8, "%f", inSeconds(time));
    fleet.run(seconds(20));
    cr_assert(fleet.allViewsHaveSize(smallFleet - 1));
}

// Guards against a broken channel that does not trigger an immediate probe.
Test(Membership, probesImmediatelyAfterChannelBreaks)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(10));
    const VmId victim = fleet.self(4).id;
    fleet.kill(4);
    for (std::size_t index = 0; index < smallFleet; ++index) {
        if (index != 4)
            fleet.breakChannel(index, victim);
    }
    const Duration time = fleet.timeUntil([&] { return fleet.noneContains(victim); }, seconds(30));
    // 0.6 s of probes, 1 s of suspicion, and the delay of ticks and messages.
    cr_assert(inSeconds(time) <= 2.0, "%f", inSeconds(time));
}

// Guards against a long write gap after a crash: the failure of a daemon whose channel broke and that refuses
// connections must be detected sooner than that of a silent one.
Test(Membership, detectsRefusingDaemonSooner)
{
    for (std::uint64_t run = 0; run < 20; ++run) {
        FakeFleet fleet(3, seed + run);
        fleet.run(seconds(10));
        const VmId victim = fleet.self(1).id;
        fleet.kill(1);
        for (const std::size_t index : { 0, 2 })
            fleet.breakChannel(index, victim);
        fleet.run(Milliseconds(100));
        for (const std::size_t index : { 0, 2 })
            fleet.breakChannel(index, victim);
        const Duration time = fleet.timeUntil([&] { return fleet.noneContains(victim); }, seconds(30));
        // 0.2 s of probes through others, 0.3 s of suspicion, and the delay of ticks and messages.
        cr_assert(inSeconds(time) <= 0.8, "seed %lu: %f", seed + run, inSeconds(time));
    }
}

// Guards against removing a live daemon because a single other daemon cannot connect to it.
Test(Membership, keepsDaemonReachableByOthers)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(10));
    const VmId victim = fleet.self(4).id;
    fleet.isConnected
        = [](std::size_t from, std::size_t to) { return std::minmax(from, to) != std::minmax<std::size_t>(0, 4); };
    for (int round = 0; round < 50; ++round) {
        fleet.breakChannel(0, victim);
        fleet.run(Milliseconds(100));
        cr_assert(fleet.all([&](Membership& membership) { return membership.contains(victim); }), "round %d", round);
    }
}

// Guards against removing a live daemon because one other daemon suspects it and cannot reach it.
Test(Membership, refutesFalseSuspicion)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const MemberRecord accusation { fleet.self(4).id, fleet.self(4).failureDomain, fleet.self(4).peerAddress,
        MemberRecord::State::Suspect, 0 };
    Gossip gossip;
    gossip.records = { accusation };
    fleet.deliver(1, fleet.self(2), gossip);
    fleet.isConnected
        = [](std::size_t from, std::size_t to) { return !(from == 2 && to == 4) && !(from == 4 && to == 2); };
    for (int step = 0; step < 600; ++step) {
        fleet.run(Milliseconds(50));
        cr_assert(fleet.allViewsHaveSize(smallFleet));
    }
}

// Guards against an isolated daemon that declares the fleet dead, and against one that is not accepted after it
// reconnects.
Test(Membership, acceptsIsolatedDaemonAgain)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.isConnected = [](std::size_t from, std::size_t to) { return (from == 4) == (to == 4); };
    fleet.run(seconds(60));
    const VmId isolated = fleet.self(4).id;
    cr_assert(fleet.all([&](Membership& other) { return !other.contains(isolated); }, 4));
    // It cannot tell its own isolation from a failure of the others and must not disseminate their death on return.
    cr_assert(fleet.at(4).view().daemons.size() == smallFleet);
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    for (int step = 0; step < 100; ++step) {
        fleet.run(Milliseconds(50));
        for (std::size_t index = 0; index < smallFleet; ++index)
            cr_assert(fleet.at(index).view().daemons.size() >= smallFleet - 1);
    }
    const Duration time = fleet.timeUntil([&] { return fleet.allViewsHaveSize(smallFleet); }, seconds(60));
    cr_assert(inSeconds(time) < 20, "%f", inSeconds(time));
    fleet.run(seconds(30));
    cr_assert(fleet.allViewsHaveSize(smallFleet));
}

// Guards against the two sides of a healed partition continuing to believe each other dead.
Test(Membership, healsPartition)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.isConnected = [](std::size_t from, std::size_t to) { return (from < 3) == (to < 3); };
    fleet.run(seconds(120));
    cr_assert(fleet.at(0).view().daemons.size() == 3 && fleet.at(8).view().daemons.size() == 6);
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    const Duration time = fleet.timeUntil([&] { return fleet.allViewsHaveSize(smallFleet); }, seconds(120));
    cr_assert(inSeconds(time) < 30, "%f", inSeconds(time));
}

// Guards against a removed VM that returns because of gossip from before its removal, or refutes its removal.
Test(Membership, keepsRemovedVmOut)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const LiveDaemon removed = fleet.self(4);
    fleet.kill(4);
    auto list = fleet.list();
    list.erase(list.begin() + 4);
    fleet.deliverVmList(0, list, 2);
    cr_assert(inSeconds(fleet.timeUntil([&] { return fleet.noneContains(removed.id); }, seconds(10))) <= 3);
    for (const std::uint64_t incarnation : { 0ULL, 1ULL, 1000ULL }) {
        Gossip old;
        old.records
            = { { removed.id, removed.failureDomain, removed.peerAddress, MemberRecord::State::Alive, incarnation } };
        for (std::size_t index = 0; index < smallFleet; ++index) {
            if (index != 4)
                fleet.deliver(index, fleet.self((index + 1) % smallFleet), old);
        }
        fleet.run(seconds(1));
        cr_assert(fleet.noneContains(removed.id));
    }
    fleet.deliver(1, removed, Gossip {});
    cr_assert(!fleet.at(1).contains(removed.id));
}

// Guards against old gossip that restores a dead VM which the platform's list still contains.
Test(Membership, keepsDeadVmOut)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const LiveDaemon victim = fleet.self(4);
    fleet.kill(4);
    fleet.timeUntil([&] { return fleet.noneContains(victim.id); }, seconds(30));
    Gossip old;
    old.records = { { victim.id, victim.failureDomain, victim.peerAddress, MemberRecord::State::Alive, 0 } };
    fleet.deliver(1, fleet.self(2), old);
    cr_assert(fleet.noneContains(victim.id));
    fleet.deliverVmList(1, fleet.list(), 2);
    cr_assert(fleet.noneContains(victim.id));
}

// Guards against removing the fleet because of a platform fault such as an empty list.
Test(Membership, ignoresListThatDropsMostDaemons)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.deliverVmList(0, {}, 2);
    fleet.run(seconds(5));
    cr_assert(fleet.allViewsHaveSize(smallFleet));
}

// Guards against a new VM that stays unknown while the platform's list lags, and against one that never completes its
// join.
Test(Membership, acceptsJoiningDaemonBeforeListShowsIt)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const std::size_t joined = fleet.boot(FakeFleet::entry(50), true);
    const Duration time = fleet.timeUntil([&] { return fleet.allViewsHaveSize(smallFleet + 1); }, seconds(30));
    cr_assert(inSeconds(time) <= 3, "%f", inSeconds(time));
    cr_assert(inSeconds(fleet.timeUntil([&] { return !fleet.at(joined).isJoining(); }, seconds(10))) <= 3);
}

// Guards against a joining daemon that learns of only some members because its VM list lacks the rest.
Test(Membership, fetchesStateInChunks)
{
    constexpr std::size_t size = 200;
    FakeFleet fleet(size, seed);
    fleet.run(seconds(5));
    fleet.list().resize(2);
    const std::size_t joined = fleet.boot(FakeFleet::entry(900), true);
    fleet.timeUntil([&] { return !fleet.at(joined).isJoining(); }, seconds(10));
    cr_assert(fleet.at(joined).view().daemons.size() == size + 1);
}

// Guards against assigning work to a VM 3 s after the list showed it as leaving (P7).
Test(Membership, spreadsLeavingVmsWithinThreeSeconds)
{
    for (std::uint64_t run = 0; run < 20; ++run) {
        FakeFleet fleet(smallFleet, seed + run);
        fleet.run(seconds(5));
        const VmId endpoint("endpoint-vm-3");
        auto list = fleet.list();
        list.push_back({ endpoint, VmState::Leaving, FailureDomainId("domain-1"), "" });
        list[2].state = VmState::Leaving;
        fleet.deliverVmList(0, list, 2);
        const auto isKnown = [&](Membership& membership) { return isKnownAsLeaving(membership, endpoint); };
        const Duration time = fleet.timeUntil([&] { return fleet.all(isKnown); }, seconds(10));
        cr_assert(inSeconds(time) <= 3, "seed %lu: %f", seed + run, inSeconds(time));
        cr_assert(fleet.at(7).view().find(list[2].id)->isLeaving);
        cr_assert(fleet.at(7).vmListVersion() == 2);
    }
}

// Guards against placements on a daemon that is shutting down.
Test(Membership, spreadsLeave)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const VmId leaving = fleet.self(3).id;
    fleet.leave(3);
    const auto isKnown = [&](Membership& membership) { return membership.view().find(leaving)->isLeaving; };
    cr_assert(inSeconds(fleet.timeUntil([&] { return fleet.all(isKnown); }, seconds(10))) <= 3);
    fleet.run(seconds(30));
    cr_assert(fleet.all(isKnown));
}

// Guards against a new configuration version that does not reach every daemon.
Test(Membership, spreadsConfigurationVersion)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.at(0).setConfigurationVersion(12);
    const auto hears = [](Membership& membership) { return membership.newestConfiguration().version == 12; };
    cr_assert(inSeconds(fleet.timeUntil([&] { return fleet.all(hears); }, seconds(30))) <= 5);
    cr_assert(fleet.at(5).newestConfiguration().holder == fleet.self(0).id);
}

// Guards against messages whose size grows with the number of changes.
Test(Membership, boundsMessageSize)
{
    constexpr std::size_t size = 150;
    FakeFleet fleet(size, seed);
    fleet.run(seconds(15));
    fleet.resetCounts();
    for (std::size_t index = 0; index < 60; ++index)
        fleet.kill(index);
    const Duration time = fleet.timeUntil([&] { return fleet.allViewsHaveSize(size - 60); }, seconds(120));
    cr_assert(inSeconds(time) < 60, "%f", inSeconds(time));
    cr_assert(fleet.largestMessageBytes < 800, "%zu", fleet.largestMessageBytes);
}

// Guards against memory use that grows with every VM that was ever replaced.
Test(Membership, expiresTombstones)
{
    Membership membership({ VmId("a"), FailureDomainId("x"), "10.0.0.1:1" }, MembershipSettings {}, seed, TimePoint {});
    Gossip gossip;
    gossip.records = { { VmId("gone"), FailureDomainId("x"), "10.0.0.9:1", dead, 5 } };
    const LiveDaemon peer { VmId("b"), FailureDomainId("x"), "10.0.0.2:1" };
    membership.onGossip(peer, gossip, TimePoint {});
    cr_assert(membership.knownCount() == 2);
    membership.onTick(TimePoint(std::chrono::minutes(59)));
    cr_assert(membership.knownCount() == 2);
    membership.onTick(TimePoint(std::chrono::minutes(61)));
    cr_assert(membership.knownCount() == 1);
}
