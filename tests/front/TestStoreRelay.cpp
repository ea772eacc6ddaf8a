#include "mocks/FakeFleet.h"

#include <criterion/criterion.h>

using namespace almondlever;

// Guards against a number of store calls that grows with the fleet.
Test(StoreRelay, nonWatchersMakeNoStoreCalls)
{
    FakeFleet fleet;
    cr_assert_eq(fleet.watchers().size(), 2U);
    fleet.run(Milliseconds(5000));
    std::size_t before = 0;
    for (const auto* daemon : fleet.others())
        before += daemon->store.calls;
    fleet.put("2");
    fleet.run(Milliseconds(10000));
    std::size_t after = 0;
    for (const auto* daemon : fleet.others()) {
        after += daemon->store.calls;
        cr_assert_eq(daemon->configuration, "2");
        cr_assert(!daemon->relay.source().isEmpty());
    }
    cr_assert_eq(after, before);
}

// Guards against a delayed configuration because a watcher is cut off from the store without noticing.
Test(StoreRelay, watcherCutOffFromTheStoreIsNotUsed)
{
    FakeFleet fleet;
    for (auto* watcher : fleet.watchers()) {
        // The store never answers the watcher.
        watcher->store.delay = Milliseconds(3600000);
    }
    for (auto* daemon : fleet.others())
        daemon->store.put("op/config", "2");
    fleet.run(Milliseconds(2900));
    fleet.run(Milliseconds(1000));
    for (const auto* daemon : fleet.others())
        cr_assert_eq(daemon->configuration, "2");
}

// Guards against daemons that receive no more updates when their watcher dies.
Test(StoreRelay, lostWatcherIsReplaced)
{
    FakeFleet fleet;
    fleet.watchers()[0]->isCut = true;
    fleet.run(Milliseconds(2000));
    fleet.put("2");
    fleet.run(Milliseconds(1500));
    for (const auto* daemon : fleet.others()) {
        cr_assert_eq(daemon->configuration, "2");
        cr_assert(daemon->relay.source() != fleet.watchers()[0]->id);
    }
}

// The store turns one watcher away and serves all others. Guards against a watcher that keeps an old configuration for
// as long as that lasts, although its peers have the new one, and that does not watch the store again afterwards.
Test(StoreRelay, watcherRejectedByTheStoreGetsUpdatesFromPeers)
{
    FakeFleet fleet;
    auto& rejected = *fleet.watchers()[0];
    auto& other = *fleet.watchers()[1];
    rejected.store.isDown = true;
    rejected.store.cutWatches();
    fleet.run(Milliseconds(1000));
    fleet.put("2");
    fleet.run(Milliseconds(1500));
    cr_assert_eq(rejected.configuration, "2");
    fleet.put("3");
    fleet.run(Milliseconds(1500));
    for (const auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "3", "%s", id.text().c_str());
    rejected.store.isDown = false;
    fleet.run(Milliseconds(2000));
    other.isCut = true;
    fleet.put("4");
    fleet.run(Milliseconds(3000));
    for (const auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "4", "%s", id.text().c_str());
}

// The store turns away most daemons, among them all watchers. Guards against daemons that get no updates because nobody
// whom they query has them.
Test(StoreRelay, updatesPassAroundRejectedWatchers)
{
    std::vector<std::string> names;
    for (char name = 'a'; name <= 'z'; ++name)
        names.emplace_back(1, name);
    FakeFleet fleet(names, 2, 4);
    std::size_t number = 0;
    for (auto& [id, daemon] : fleet.daemons) {
        if (!daemon->relay.isWatcher() && number++ % 10 < 3)
            continue;
        daemon->store.isDown = true;
        daemon->store.cutWatches();
    }
    for (int version = 2; version < 8; ++version) {
        fleet.run(Milliseconds(1700));
        fleet.put(std::to_string(version));
        fleet.run(Milliseconds(5000));
        for (const auto& [daemonId, daemon] : fleet.daemons)
            cr_assert_eq(
                daemon->configuration, std::to_string(version), "%s, version %d", daemonId.text().c_str(), version);
    }
    for (auto& [id, daemon] : fleet.daemons)
        daemon->store.isDown = false;
    fleet.run(Milliseconds(8000));
    for (const auto* daemon : fleet.others()) {
        const auto sources = positionInUpdateTree(fleet.view, daemon->id, fleet.tree).sources;
        cr_assert(std::any_of(sources.begin(), sources.end(),
                      [daemon](const LiveDaemon& source) { return source.id == daemon->relay.source(); }),
            "%s does not return to its sources", daemon->id.text().c_str());
    }
}

// Guards against daemons that query others than their sources while the store has not yet answered after their start.
Test(StoreRelay, startingDaemonsQueryTheirSourcesOnly)
{
    FakeFleet fleet({ "a", "b", "c", "d", "e" }, 5, UpdateTreeSettings().childrenPerRelay, Milliseconds(2200));
    for (const auto* daemon : fleet.others()) {
        const auto sources = positionInUpdateTree(fleet.view, daemon->id, fleet.tree).sources;
        for (const auto& [otherId, other] : fleet.daemons) {
            const bool isSource = std::any_of(
                sources.begin(), sources.end(), [&id = otherId](const LiveDaemon& source) { return source.id == id; });
            cr_assert(isSource || other->requesters.count(daemon->id) == 0, "%s queried %s", daemon->id.text().c_str(),
                otherId.text().c_str());
        }
    }
}

// The store turns all daemons away. Guards against daemons that take each other's old state for a recent one.
Test(StoreRelay, daemonsWithoutTheStoreDoNotConfirmEachOther)
{
    FakeFleet fleet;
    for (auto& [id, daemon] : fleet.daemons) {
        daemon->store.isDown = true;
        daemon->store.cutWatches();
    }
    fleet.run(Milliseconds(6000));
    std::vector<Milliseconds> ages;
    for (auto& [id, daemon] : fleet.daemons)
        daemon->onStoreUpdate = [&ages](const StoreUpdate& update) { ages.push_back(update.age); };
    fleet.run(Milliseconds(3000));
    for (const Milliseconds age : ages)
        cr_assert_geq(age.count(), 5000);
}

// Guards against a daemon that the store rejects and that gets no updates although its peers have them.
Test(StoreRelay, daemonRejectedByTheStoreGetsUpdatesFromPeers)
{
    FakeFleet fleet;
    for (auto* daemon : fleet.others())
        daemon->store.isDown = true;
    fleet.put("2");
    fleet.run(Milliseconds(1500));
    for (const auto* daemon : fleet.others())
        cr_assert_eq(daemon->configuration, "2");
}

// Endpoints continuously write to the store, so that its revision advances while the configuration stays the same.
// Guards against sending and decoding the whole configuration again with every query.
Test(StoreRelay, advancingRevisionCausesNoSnapshot)
{
    for (const std::size_t daemons : { 5U, 26U }) {
        std::vector<std::string> names;
        for (std::size_t number = 0; number < daemons; ++number)
            names.emplace_back(1, static_cast<char>('a' + number));
        // The larger fleet has relays.
        FakeFleet fleet(names, 2, 4);
        fleet.run(Milliseconds(2000));
        std::size_t before = 0;
        for (const auto* daemon : fleet.others())
            before += daemon->snapshots;
        for (int i = 0; i < 20; ++i) {
            for (auto& [id, daemon] : fleet.daemons)
                daemon->store.put("servers/x", std::to_string(i));
            fleet.run(Milliseconds(500));
        }
        std::size_t after = 0;
        for (const auto* daemon : fleet.others())
            after += daemon->snapshots;
        cr_assert_eq(after, before);
        fleet.put("2");
        fleet.run(Milliseconds(2500));
        for (const auto* daemon : fleet.others())
            cr_assert_eq(daemon->configuration, "2");
    }
}

// The fleet is too large for its watchers, and relays pass their updates on, with the age. Guards against daemons
// behind a relay that get no updates, get them late, or call the store.
Test(StoreRelay, updatesPassThroughRelays)
{
    std::vector<std::string> names;
    for (char name = 'a'; name <= 'z'; ++name)
        names.emplace_back(1, name);
    FakeFleet fleet(names, 2, 4);
    fleet.run(Milliseconds(5000));
    std::size_t before = 0;
    std::size_t behindRelays = 0;
    for (const auto* daemon : fleet.others()) {
        before += daemon->store.calls;
        const auto& source = *fleet.daemons.at(daemon->relay.source());
        behindRelays += source.relay.isWatcher() ? 0 : 1;
    }
    cr_assert_geq(behindRelays, 12U);
    fleet.put("2");
    fleet.run(Milliseconds(2000));
    std::size_t after = 0;
    for (const auto* daemon : fleet.others()) {
        after += daemon->store.calls;
        cr_assert_eq(daemon->configuration, "2");
    }
    cr_assert_eq(after, before);
}

// Guards against daemons that all call the store at once when their relay is lost, and against state that goes back.
Test(StoreRelay, lostRelayIsReplacedWithoutCalls)
{
    std::vector<std::string> names;
    for (char name = 'a'; name <= 'z'; ++name)
        names.emplace_back(1, name);
    FakeFleet fleet(names, 2, 4);
    fleet.run(Milliseconds(5000));
    VmId relay;
    for (const auto* daemon : fleet.others()) {
        if (!fleet.daemons.at(daemon->relay.source())->relay.isWatcher())
            relay = daemon->relay.source();
    }
    std::size_t before = 0;
    for (const auto* daemon : fleet.others())
        before += daemon->id == relay ? 0 : daemon->store.calls;
    fleet.daemons.at(relay)->isCut = true;
    fleet.run(Milliseconds(2500));
    fleet.put("2");
    fleet.run(Milliseconds(2000));
    std::size_t after = 0;
    for (const auto* daemon : fleet.others()) {
        if (daemon->id == relay)
            continue;
        after += daemon->store.calls;
        cr_assert_eq(daemon->configuration, "2");
        cr_assert(daemon->relay.source() != relay);
    }
    cr_assert_eq(after, before);
}

// Guards against a number of calls that grows with the fleet during an outage of the store (5.5 s, in which each of 295
// daemons tried three prefixes every 400 ms), and against late updates after it.
Test(StoreRelay, outageCausesFewCalls)
{
    FakeFleet fleet;
    std::size_t before = 0;
    for (const auto* daemon : fleet.others())
        before += daemon->store.calls;
    for (auto& [id, daemon] : fleet.daemons) {
        daemon->store.isDown = true;
        daemon->store.cutWatches();
    }
    fleet.run(Milliseconds(5500));
    std::size_t during = 0;
    for (const auto* daemon : fleet.others())
        during += daemon->store.calls;
    cr_assert_leq(during - before, fleet.others().size() * 5);
    for (auto& [id, daemon] : fleet.daemons)
        daemon->store.isDown = false;
    fleet.put("2");
    fleet.run(Milliseconds(1500));
    for (const auto* daemon : fleet.others())
        cr_assert_eq(daemon->configuration, "2");
}

// The store is restored from a copy, and the watchers detect it first. Guards against daemons that keep lost changes
// because their revision is greater than those of the new era, and against each daemon calling the store.
Test(StoreRelay, restoreReachesAllThroughTheWatchers)
{
    FakeFleet fleet;
    for (auto& [id, daemon] : fleet.daemons)
        daemon->store.takeCopy();
    fleet.put("lost");
    fleet.run(Milliseconds(1500));
    for (auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "lost");
    std::map<VmId, std::size_t> callsBefore;
    for (FakeFleet::Daemon* daemon : fleet.others())
        callsBefore[daemon->id] = daemon->store.calls;
    for (auto& [id, daemon] : fleet.daemons)
        daemon->store.restoreCopy();
    fleet.run(Milliseconds(1500));
    for (auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "1", "%s", id.text().c_str());
    for (FakeFleet::Daemon* daemon : fleet.others())
        cr_assert_eq(daemon->store.calls, callsBefore[daemon->id]);
    fleet.put("2");
    fleet.run(Milliseconds(1500));
    for (auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "2");
}

// The store turns all daemons away but the watchers, and keys may be withdrawn at once. Guards against a proof that is
// newer than the store's last answer, and against one that ages although the watchers still reach the store.
Test(StoreRelay, proofAgesFromTheWatchersQuestion)
{
    FakeFleet fleet;
    for (auto& [id, daemon] : fleet.daemons)
        daemon->relay.setVerifiedPrefix("op/");
    fleet.run(Milliseconds(4000));
    const TimePoint now = fleet.timers.now();
    for (auto& [id, daemon] : fleet.daemons) {
        const auto proven = daemon->relay.provenAt("op/");
        cr_assert(proven.has_value());
        cr_assert_leq((now - *proven) / Milliseconds(1), 2000, "%s", id.text().c_str());
    }
    for (auto& [id, daemon] : fleet.daemons) {
        daemon->store.isDown = true;
        daemon->store.cutWatches();
    }
    fleet.run(Milliseconds(3000));
    for (auto& [id, daemon] : fleet.daemons)
        cr_assert_leq(*daemon->relay.provenAt("op/"), now + Milliseconds(4), "%s", id.text().c_str());
}

// Watches of the store report nothing for a while, and one of them ends meanwhile; the change is reported late, or its
// history has been dropped. Guards against peers that never receive the change because they have been told the revision
// of the empty answer.
Test(StoreRelay, changesBehindAnEmptyWatchReachThePeers)
{
    for (const bool isHistoryDropped : { false, true }) {
        FakeFleet fleet;
        for (auto& [id, daemon] : fleet.daemons)
            daemon->store.watchesReportNothing = true;
        fleet.put("2");
        fleet.run(Milliseconds(2500));
        for (auto& [id, daemon] : fleet.daemons) {
            daemon->store.watchesReportNothing = false;
            if (isHistoryDropped)
                daemon->store.dropHistory();
        }
        fleet.run(Milliseconds(5000));
        for (auto& [id, daemon] : fleet.daemons)
            cr_assert_eq(daemon->configuration, "2", "%s, %s", id.text().c_str(),
                isHistoryDropped ? "history dropped" : "reported late");
    }
}

// Daemons get all keys from a watcher that has read them again and since then has had answers without changes. Guards
// against relays that take the revision of such an answer for that of the keys, and send all keys with each update.
Test(StoreRelay, keysReadBeforeAnEmptyWatchAreSentOnce)
{
    std::vector<std::string> names;
    for (char name = 'a'; name <= 'z'; ++name)
        names.emplace_back(1, name);
    FakeFleet fleet(names, 2, 4);
    const auto runWithHeartbeats = [&fleet](int times) {
        for (int i = 0; i < times; ++i) {
            for (auto& [id, daemon] : fleet.daemons)
                daemon->store.put("servers/x", std::to_string(i));
            fleet.run(Milliseconds(500));
        }
    };
    const auto countSnapshots = [&fleet] {
        std::size_t snapshots = 0;
        for (const auto* daemon : fleet.others())
            snapshots += daemon->snapshots;
        return snapshots;
    };
    for (auto* daemon : fleet.others()) {
        daemon->isCut = true;
        daemon->store.isDown = true;
        daemon->store.cutWatches();
    }
    runWithHeartbeats(2);
    for (auto* daemon : fleet.watchers())
        daemon->store.dropHistory();
    runWithHeartbeats(8);
    const std::size_t before = countSnapshots();
    for (auto* daemon : fleet.others())
        daemon->isCut = false;
    runWithHeartbeats(20);
    cr_assert_eq(countSnapshots() - before, fleet.others().size());
}

// The watches that daemons have begun before they followed a peer report a change, which the peer receives a moment
// later. Guards against daemons that take a peer behind them for a silent one, and all read the store.
Test(StoreRelay, sourceThatIsBehindIsNotSilent)
{
    FakeFleet fleet;
    std::size_t before = 0;
    for (auto* daemon : fleet.others()) {
        before += daemon->store.calls;
        daemon->store.put("op/config", "2");
    }
    fleet.run(Milliseconds(2000));
    std::size_t after = 0;
    for (auto* daemon : fleet.others()) {
        after += daemon->store.calls;
        cr_assert_eq(daemon->configuration, "2");
    }
    cr_assert_eq(after, before);
    for (auto* daemon : fleet.watchers())
        daemon->store.put("op/config", "2");
    fleet.put("3");
    fleet.run(Milliseconds(1500));
    for (const auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "3");
}

// The store stops to answer the watchers a moment before a change; calls of theirs only end by time-out. Guards against
// daemons that the store answers and that rely on the watchers until the change is due (3 s, or 5 s behind relays).
Test(StoreRelay, changeIsInForceInTimeWithoutTheWatchers)
{
    for (const std::size_t daemons : { 5U, 26U }) {
        const Milliseconds limit(daemons == 5U ? 3000 : 5000);
        std::vector<std::string> names;
        for (std::size_t number = 0; number < daemons; ++number)
            names.emplace_back(1, static_cast<char>('a' + number));
        for (Milliseconds onset(0); onset < Milliseconds(1600); onset += Milliseconds(100)) {
            FakeFleet fleet(names, 2, 4);
            fleet.run(Milliseconds(2000) + onset);
            for (auto* daemon : fleet.watchers())
                daemon->store.isSilent = true;
            fleet.put("2");
            fleet.run(limit);
            for (const auto* daemon : fleet.others())
                cr_assert_eq(daemon->configuration, "2", "%s of %zu daemons, watchers silent after %d ms",
                    daemon->id.text().c_str(), daemons, static_cast<int>(onset.count()));
        }
    }
}

// Daemons that read the store themselves query the watchers, which are behind them. Guards against following a daemon
// that is behind, in place of a store that answers.
Test(StoreRelay, daemonThatIsBehindIsNotFollowedAnew)
{
    FakeFleet fleet;
    for (auto* daemon : fleet.watchers())
        daemon->isCut = true;
    fleet.run(Milliseconds(3000));
    for (auto* daemon : fleet.others()) {
        cr_assert(daemon->relay.source().isEmpty());
        daemon->store.put("op/config", "2");
    }
    fleet.run(Milliseconds(1000));
    for (auto* daemon : fleet.watchers())
        daemon->isCut = false;
    fleet.run(Milliseconds(2000));
    for (const auto* daemon : fleet.others())
        cr_assert(daemon->relay.source().isEmpty(), "%s", daemon->id.text().c_str());
    for (auto* daemon : fleet.watchers())
        daemon->store.put("op/config", "2");
    fleet.run(Milliseconds(2000));
    for (const auto* daemon : fleet.others())
        cr_assert(!daemon->relay.source().isEmpty(), "%s", daemon->id.text().c_str());
}
