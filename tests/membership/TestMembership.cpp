#include "FakeFleet.h"

#include <criterion/criterion.h>

using namespace almondlever;
using std::chrono::seconds;

namespace {

constexpr std::size_t smallFleet = 9;
constexpr std::uint64_t seed = 20261204;
constexpr auto dead = MemberRecord::State::Dead;

double inSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

bool holdsLeaving(Membership& membership, const VmId& id) { return membership.leavingVms().count(id) != 0; }

} // namespace

// Guards against a dead daemon that stays in the views, and against live ones that are removed with it.
Test(Membership, findsDeath)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(10));
    cr_assert(fleet.allSee(smallFleet));
    const VmId victim = fleet.self(4).id;
    fleet.kill(4);
    const Duration time = fleet.timeUntil([&] { return fleet.allMiss(victim); }, seconds(30));
    cr_assert(inSeconds(time) < 8, "%f", inSeconds(time));
    fleet.run(seconds(20));
    cr_assert(fleet.allSee(smallFleet - 1));
}

// Guards against a broken channel that is not taken as a reason to probe at once.
Test(Membership, probesLostPeerAtOnce)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(10));
    const VmId victim = fleet.self(4).id;
    fleet.kill(4);
    for (std::size_t place = 0; place < smallFleet; ++place) {
        if (place != 4)
            fleet.lose(place, victim);
    }
    const Duration time = fleet.timeUntil([&] { return fleet.allMiss(victim); }, seconds(30));
    // 0.6 s of probes, 1 s of suspicion, and the delay of ticks and messages.
    cr_assert(inSeconds(time) <= 2.0, "%f", inSeconds(time));
}

// Guards the write gap after a crash: a daemon whose channel broke and that refuses connections must be found sooner
// than one that is only silent.
Test(Membership, findsRefusingDaemonSooner)
{
    for (std::uint64_t run = 0; run < 20; ++run) {
        FakeFleet fleet(3, seed + run);
        fleet.run(seconds(10));
        const VmId victim = fleet.self(1).id;
        fleet.kill(1);
        for (const std::size_t place : { 0, 2 })
            fleet.lose(place, victim);
        fleet.run(Milliseconds(100));
        for (const std::size_t place : { 0, 2 })
            fleet.lose(place, victim);
        const Duration time = fleet.timeUntil([&] { return fleet.allMiss(victim); }, seconds(30));
        // 0.2 s of probes through others, 0.3 s of suspicion, and the delay of ticks and messages.
        cr_assert(inSeconds(time) <= 0.8, "seed %lu: %f", seed + run, inSeconds(time));
    }
}

// Guards against a live daemon that is removed because a single other daemon cannot connect to it.
Test(Membership, keepsDaemonThatOthersReach)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(10));
    const VmId victim = fleet.self(4).id;
    fleet.isConnected
        = [](std::size_t from, std::size_t to) { return std::minmax(from, to) != std::minmax<std::size_t>(0, 4); };
    for (int round = 0; round < 50; ++round) {
        fleet.lose(0, victim);
        fleet.run(Milliseconds(100));
        cr_assert(fleet.all([&](Membership& membership) { return membership.contains(victim); }), "round %d", round);
    }
}

// Guards against a live daemon that is removed because one other daemon cannot reach it.
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
        cr_assert(fleet.allSee(smallFleet));
    }
}

// Guards against a cut-off daemon that declares the fleet dead, and against one that is not accepted when it is back.
Test(Membership, acceptsCutOffDaemonAgain)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.isConnected = [](std::size_t from, std::size_t to) { return (from == 4) == (to == 4); };
    fleet.run(seconds(60));
    const VmId cutOff = fleet.self(4).id;
    cr_assert(fleet.all([&](Membership& other) { return !other.contains(cutOff); }, 4));
    // It cannot tell its own loss from that of the others, and must not spread their death once it is back.
    cr_assert(fleet.at(4).view().daemons.size() == smallFleet);
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    for (int step = 0; step < 100; ++step) {
        fleet.run(Milliseconds(50));
        for (std::size_t place = 0; place < smallFleet; ++place)
            cr_assert(fleet.at(place).view().daemons.size() >= smallFleet - 1);
    }
    const Duration time = fleet.timeUntil([&] { return fleet.allSee(smallFleet); }, seconds(60));
    cr_assert(inSeconds(time) < 20, "%f", inSeconds(time));
    fleet.run(seconds(30));
    cr_assert(fleet.allSee(smallFleet));
}

// Guards against two sides of a healed partition that keep believing each other dead.
Test(Membership, healsPartition)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.isConnected = [](std::size_t from, std::size_t to) { return (from < 3) == (to < 3); };
    fleet.run(seconds(120));
    cr_assert(fleet.at(0).view().daemons.size() == 3 && fleet.at(8).view().daemons.size() == 6);
    fleet.isConnected = [](std::size_t, std::size_t) { return true; };
    const Duration time = fleet.timeUntil([&] { return fleet.allSee(smallFleet); }, seconds(120));
    cr_assert(inSeconds(time) < 30, "%f", inSeconds(time));
}

// Guards against a removed VM that comes back from gossip recorded before its removal, or even refutes it.
Test(Membership, keepsRemovedVmOut)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const LiveDaemon removed = fleet.self(4);
    fleet.kill(4);
    auto list = fleet.list();
    list.erase(list.begin() + 4);
    fleet.readList(0, list, 2);
    cr_assert(inSeconds(fleet.timeUntil([&] { return fleet.allMiss(removed.id); }, seconds(10))) <= 3);
    for (const std::uint64_t incarnation : { 0ULL, 1ULL, 1000ULL }) {
        Gossip old;
        old.records
            = { { removed.id, removed.failureDomain, removed.peerAddress, MemberRecord::State::Alive, incarnation } };
        for (std::size_t place = 0; place < smallFleet; ++place) {
            if (place != 4)
                fleet.deliver(place, fleet.self((place + 1) % smallFleet), old);
        }
        fleet.run(seconds(1));
        cr_assert(fleet.allMiss(removed.id));
    }
    fleet.deliver(1, removed, Gossip {});
    cr_assert(!fleet.at(1).contains(removed.id));
}

// Guards against old gossip that brings back a VM which died without the platform's list having noticed.
Test(Membership, keepsDeadVmOut)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const LiveDaemon victim = fleet.self(4);
    fleet.kill(4);
    fleet.timeUntil([&] { return fleet.allMiss(victim.id); }, seconds(30));
    Gossip old;
    old.records = { { victim.id, victim.failureDomain, victim.peerAddress, MemberRecord::State::Alive, 0 } };
    fleet.deliver(1, fleet.self(2), old);
    cr_assert(fleet.allMiss(victim.id));
    fleet.readList(1, fleet.list(), 2);
    cr_assert(fleet.allMiss(victim.id));
}

// Guards against a platform fault, such as an empty list, that removes the fleet.
Test(Membership, ignoresListWithoutMostDaemons)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.readList(0, {}, 2);
    fleet.run(seconds(5));
    cr_assert(fleet.allSee(smallFleet));
}

// Guards against a new VM that stays unknown while the platform's list lags, and against one that learns nothing.
Test(Membership, acceptsJoiningDaemonBeforeListShowsIt)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    const std::size_t joined = fleet.boot(FakeFleet::entry(50), true);
    const Duration time = fleet.timeUntil([&] { return fleet.allSee(smallFleet + 1); }, seconds(30));
    cr_assert(inSeconds(time) <= 3, "%f", inSeconds(time));
    cr_assert(inSeconds(fleet.timeUntil([&] { return !fleet.at(joined).isJoining(); }, seconds(10))) <= 3);
}

// Guards against a joining daemon that learns only of some members when the list it read misses the rest.
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

// Guards against work that is still given to a leaving VM 3 s after the list showed it (P7).
Test(Membership, spreadsLeavingVmsWithinThreeSeconds)
{
    for (std::uint64_t run = 0; run < 20; ++run) {
        FakeFleet fleet(smallFleet, seed + run);
        fleet.run(seconds(5));
        const VmId endpoint("endpoint-vm-3");
        auto list = fleet.list();
        list.push_back({ endpoint, VmState::Leaving, FailureDomainId("domain-1"), "" });
        list[2].state = VmState::Leaving;
        fleet.readList(0, list, 2);
        const auto isKnown = [&](Membership& membership) { return holdsLeaving(membership, endpoint); };
        const Duration time = fleet.timeUntil([&] { return fleet.all(isKnown); }, seconds(10));
        cr_assert(inSeconds(time) <= 3, "seed %lu: %f", seed + run, inSeconds(time));
        cr_assert(fleet.at(7).view().find(list[2].id)->isLeaving);
        cr_assert(fleet.at(7).vmListVersion() == 2);
    }
}

// Guards against placements on a daemon that shuts down.
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

// Guards against a configuration version that a daemon never hears of.
Test(Membership, spreadsConfigurationVersion)
{
    FakeFleet fleet(smallFleet, seed);
    fleet.run(seconds(5));
    fleet.at(0).setConfigurationVersion(12);
    const auto hears = [](Membership& membership) { return membership.newestConfiguration().version == 12; };
    cr_assert(inSeconds(fleet.timeUntil([&] { return fleet.all(hears); }, seconds(30))) <= 5);
    cr_assert(fleet.at(5).newestConfiguration().holder == fleet.self(0).id);
}

// Guards against messages that grow with the number of changes.
Test(Membership, boundsMessageSize)
{
    constexpr std::size_t size = 150;
    FakeFleet fleet(size, seed);
    fleet.run(seconds(15));
    fleet.resetCounts();
    for (std::size_t place = 0; place < 60; ++place)
        fleet.kill(place);
    const Duration time = fleet.timeUntil([&] { return fleet.allSee(size - 60); }, seconds(120));
    cr_assert(inSeconds(time) < 60, "%f", inSeconds(time));
    cr_assert(fleet.largest < 800, "%zu", fleet.largest);
}

// Guards against memory that grows with every VM that was ever replaced.
Test(Membership, forgetsRemovalAfterBoundedTime)
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
