#include "almondlever/front/StoreRelay.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>
#include <memory>

using namespace almondlever;

namespace {

/** Several daemons that follow one store, and a network that can be partitioned. */
class Fleet {
public:
    struct Daemon final : PrefixObserver, PeerNetwork {
        Daemon(Fleet& owner, const VmId& vm, StoreRelaySettings settings)
            : fleet(owner)
            , id(vm)
            , store(owner.timers)
            , follower(store, owner.timers, "op/", Milliseconds(50), *this)
            , relay(settings, { &follower })
        {
            relay.setNetwork(this);
        }

        void onStoreSnapshot(
            const std::string& prefix, const std::vector<StoreItem>& items, std::uint64_t revision, TimePoint) override
        {
            relay.cacheOf(prefix).applySnapshot(items, revision);
            ++snapshots;
            take(items);
        }
        void onStoreChanges(
            const std::string& prefix, const std::vector<StoreItem>& items, std::uint64_t revision, TimePoint) override
        {
            relay.cacheOf(prefix).applyChanges(items, revision);
            take(items);
        }
        void onStoreReturned(const std::string&, TimePoint) override { }
        void onStoreLost(const std::string&, const StoreFailure&, TimePoint) override { }
        void take(const std::vector<StoreItem>& items)
        {
            for (const StoreItem& item : items)
                configuration = item.value;
        }

        Result<Done, std::string> listen() override { return Done {}; }
        bool send(const VmId& to, const std::string&, const Message& message) override
        {
            const auto target = fleet.daemons.find(to);
            if (target == fleet.daemons.end() || isCut || target->second->isCut)
                return false;
            const auto decoded = decodeMessage(encodeMessage(message));
            cr_assert(decoded.hasValue());
            fleet.timers.callAfter(
                Milliseconds(1), [from = id, daemon = target->second.get(), message = decoded.value()](TimePoint now) {
                    if (const auto* request = std::get_if<StoreUpdateRequest>(&message))
                        daemon->relay.onRequest(from, *request, now);
                    if (const auto* news = std::get_if<StoreUpdate>(&message))
                        daemon->relay.onUpdate(from, *news, now);
                });
            return true;
        }
        bool isConnected(const VmId&) const override { return true; }
        void onMessage(MessageHandler) override { }
        void onLoss(LossHandler) override { }
        void onUnsent(UnsentHandler) override { }
        std::uint64_t bytesTransferred() const override { return 0; }
        PeerTraffic traffic() const override { return {}; }
        void stop() override { }

        Fleet& fleet;
        VmId id;
        FakeMetadataStore store;
        PrefixFollower follower;
        StoreRelay relay;
        std::string configuration;
        std::size_t snapshots = 0;
        bool isCut = false;
    };

    /** Five daemons in as many failure domains. */
    Fleet()
        : Fleet({ "a", "b", "c", "d", "e" }, 5, UpdateTreeSettings().childrenPerRelay)
    {
    }

    Fleet(const std::vector<std::string>& names, std::size_t domains, std::size_t children)
    {
        std::size_t number = 0;
        for (const std::string& name : names) {
            StoreRelaySettings settings;
            settings.self = VmId(name);
            settings.tree.watchers = 2;
            settings.tree.childrenPerRelay = children;
            daemons[VmId(name)] = std::make_unique<Daemon>(*this, VmId(name), settings);
            view.daemons.push_back({ VmId(name), FailureDomainId(std::to_string(number++ % domains)), "x", false, 0 });
        }
        put("1");
        for (auto& [id, daemon] : daemons) {
            daemon->follower.start();
            daemon->relay.setMembers(view);
        }
        run(Milliseconds(3000));
    }

    /** Writes to the fake stores of all daemons, which represent one store. */
    void put(const std::string& value)
    {
        for (auto& [id, daemon] : daemons)
            daemon->store.put("op/config", value);
    }

    void run(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            timers.advance(Milliseconds(25));
            for (auto& [id, daemon] : daemons)
                daemon->relay.onTick(timers.now());
        }
    }

    std::vector<Daemon*> others()
    {
        std::vector<Daemon*> found;
        for (auto& [id, daemon] : daemons) {
            if (!daemon->relay.isWatcher())
                found.push_back(daemon.get());
        }
        return found;
    }
    std::vector<Daemon*> watchers()
    {
        std::vector<Daemon*> found;
        for (auto& [id, daemon] : daemons) {
            if (daemon->relay.isWatcher())
                found.push_back(daemon.get());
        }
        return found;
    }

    FakeTimerService timers;
    std::map<VmId, std::unique_ptr<Daemon>> daemons;
    MembershipView view;
};

} // namespace

// Guards against a number of store calls that grows with the fleet.
Test(StoreRelay, nonWatchersMakeNoStoreCalls)
{
    Fleet fleet;
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
    Fleet fleet;
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
    Fleet fleet;
    fleet.watchers()[0]->isCut = true;
    fleet.run(Milliseconds(2000));
    fleet.put("2");
    fleet.run(Milliseconds(1500));
    for (const auto* daemon : fleet.others()) {
        cr_assert_eq(daemon->configuration, "2");
        cr_assert(daemon->relay.source() != fleet.watchers()[0]->id);
    }
}

// Guards against a daemon that the store rejects and that gets no updates although its peers have them.
Test(StoreRelay, daemonRejectedByTheStoreGetsUpdatesFromPeers)
{
    Fleet fleet;
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
    Fleet fleet;
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

// The fleet is too large for its watchers, and relays pass their updates on, with the age. Guards against daemons
// behind a relay that get no updates, get them late, or call the store.
Test(StoreRelay, updatesPassThroughRelays)
{
    std::vector<std::string> names;
    for (char name = 'a'; name <= 'z'; ++name)
        names.emplace_back(1, name);
    Fleet fleet(names, 2, 4);
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
    Fleet fleet(names, 2, 4);
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
    Fleet fleet;
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
    Fleet fleet;
    for (auto& [id, daemon] : fleet.daemons)
        daemon->store.takeCopy();
    fleet.put("lost");
    fleet.run(Milliseconds(1500));
    for (auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "lost");
    std::map<VmId, std::size_t> callsBefore;
    for (Fleet::Daemon* daemon : fleet.others())
        callsBefore[daemon->id] = daemon->store.calls;
    for (auto& [id, daemon] : fleet.daemons)
        daemon->store.restoreCopy();
    fleet.run(Milliseconds(1500));
    for (auto& [id, daemon] : fleet.daemons)
        cr_assert_eq(daemon->configuration, "1", "%s", id.text().c_str());
    for (Fleet::Daemon* daemon : fleet.others())
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
    Fleet fleet;
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
