#include "almondlever/store/PrefixFollower.h"
#include "almondlever/store/SharedWatchStore.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** The current keys of one prefix as its follower reports them. */
class Recorder final : public PrefixObserver {
public:
    void onStoreSnapshot(const std::string&, const std::vector<StoreItem>& items, std::uint64_t, TimePoint) override
    {
        ++snapshots;
        keys.clear();
        take(items);
    }
    void onStoreChanges(const std::string&, const std::vector<StoreItem>& items, std::uint64_t, TimePoint) override
    {
        take(items);
    }
    void onStoreReturned(const std::string&, TimePoint) override { }
    void onStoreLost(const std::string&, const StoreFailure&, TimePoint) override { ++losses; }

    std::map<std::string, std::string> keys;
    int snapshots = 0;
    int losses = 0;

private:
    void take(const std::vector<StoreItem>& items)
    {
        for (const StoreItem& item : items) {
            if (item.isDeleted)
                keys.erase(item.key);
            else
                keys[item.key] = item.value;
        }
    }
};

/** A watcher of the store beside endpoints that write their entries all the time. */
struct Fixture {
    Fixture()
    {
        store.put("op/config", "1");
        store.put("own/members/a", "1");
        shared.enable();
        for (PrefixFollower* follower : { &configuration, &endpoints, &own })
            follower->setPollTimeout(Milliseconds(700));
    }

    void start()
    {
        configuration.start();
        endpoints.start();
        own.start();
    }

    /** Lets time pass in which each of a number of endpoints writes its entry every 1.2 s. */
    void run(Milliseconds time, int endpointCount = 24)
    {
        for (Milliseconds passed(0); passed < time; passed += step) {
            ++beats;
            store.put("servers/" + std::to_string(beats % endpointCount), std::to_string(beats));
            timers.advance(step);
        }
    }

    static constexpr Milliseconds step { 50 };
    int beats = 0;
    FakeTimerService timers;
    FakeMetadataStore store { timers };
    Metrics metrics;
    SharedWatchStore shared { store, timers, metrics };
    Recorder configurationKeys;
    Recorder endpointKeys;
    Recorder ownKeys;
    PrefixFollower configuration { shared, timers, "op/", Milliseconds(400), configurationKeys };
    PrefixFollower endpoints { shared, timers, "servers/", Milliseconds(250), endpointKeys };
    PrefixFollower own { shared, timers, "own/", Milliseconds(500), ownKeys };
};

} // namespace

// Load: 24 endpoints write their entries 20 times a second, so that each watch returns at once. Guards against a
// watcher that makes a call for each write and each prefix.
Test(SharedWatchStore, heartbeatsOfEndpointsCostOneCallInAnInterval)
{
    Fixture fixture;
    fixture.start();
    fixture.run(Milliseconds(2000));
    const std::size_t before = fixture.store.calls;
    fixture.run(Milliseconds(30000));
    cr_assert_leq(fixture.store.calls - before, 30000U / SharedWatchStore::callInterval.count() + 1);
    cr_assert_eq(fixture.endpointKeys.keys.size(), 24U);
}

// Guards against a change that is seen late or not at all because the watch is shared with a busy prefix.
Test(SharedWatchStore, changesOfEachPrefixArriveWithinAnInterval)
{
    Fixture fixture;
    fixture.start();
    fixture.run(Milliseconds(2000));
    for (int version = 2; version < 30; ++version) {
        fixture.store.put("op/config", std::to_string(version));
        fixture.store.put("own/members/b", std::to_string(version));
        fixture.run(SharedWatchStore::callInterval + Milliseconds(100));
        cr_assert_eq(fixture.configurationKeys.keys["op/config"], std::to_string(version));
        cr_assert_eq(fixture.ownKeys.keys["own/members/b"], std::to_string(version));
    }
    fixture.store.erase("own/members/b");
    fixture.run(SharedWatchStore::callInterval + Milliseconds(100));
    cr_assert_eq(fixture.ownKeys.keys.count("own/members/b"), 0U);
    cr_assert_eq(fixture.configurationKeys.snapshots, 1, "keys were read again although no event was missed");
}

// The kept events of a busy prefix displace those of a quiet one. Guards against a change of the quiet prefix that is
// lost, and against reading it again and again although it did not change.
Test(SharedWatchStore, quietPrefixKeepsItsPlaceBesideABusyOne)
{
    Fixture fixture;
    fixture.start();
    fixture.run(Milliseconds(1000));
    fixture.run(Milliseconds(90000), 200);
    cr_assert_gt(fixture.beats, static_cast<int>(SharedWatchStore::maximumEvents));
    cr_assert_eq(fixture.configurationKeys.snapshots, 1);
    fixture.store.put("op/config", "2");
    fixture.run(Milliseconds(1000), 200);
    cr_assert_eq(fixture.configurationKeys.keys["op/config"], "2");
}

// Guards against events that are missed between the read of one prefix and the first watch of another one.
Test(SharedWatchStore, prefixesThatWereReadEarlierMissNoEvent)
{
    Fixture fixture;
    fixture.store.slowPrefix = "op/";
    fixture.store.slowDelay = Milliseconds(300);
    fixture.start();
    fixture.timers.advance(Milliseconds(50));
    fixture.store.put("servers/1", "a");
    fixture.timers.advance(Milliseconds(1));
    fixture.store.slowPrefix.clear();
    Recorder late;
    PrefixFollower follower(fixture.shared, fixture.timers, "claims/", Milliseconds(100), late);
    fixture.store.put("claims/g", "1");
    follower.start();
    fixture.run(Milliseconds(2500));
    fixture.store.put("claims/g", "2");
    fixture.run(Milliseconds(1000));
    cr_assert_eq(fixture.endpointKeys.keys.count("servers/1"), 1U);
    cr_assert_eq(late.keys["claims/g"], "2");
}

// Guards against a daemon that follows nothing because the store does not accept a watch of all keys.
Test(SharedWatchStore, watchesEachPrefixIfTheStoreRejectsASharedWatch)
{
    Fixture fixture;
    fixture.store.rejectsWatchesOfAllKeys = true;
    fixture.start();
    fixture.run(Milliseconds(2000));
    fixture.store.put("op/config", "2");
    fixture.run(Milliseconds(1000));
    cr_assert_eq(fixture.configurationKeys.keys["op/config"], "2");
    cr_assert_eq(fixture.configurationKeys.losses, 0);
}

// Guards against changes that stay unseen after the store has dropped its history or after an outage, and against
// a follower that is not told of the outage.
Test(SharedWatchStore, allPrefixesAreReadAgainAfterLostHistoryAndOutages)
{
    Fixture fixture;
    fixture.start();
    fixture.run(Milliseconds(2000));
    fixture.store.put("op/config", "2");
    fixture.store.dropHistory();
    fixture.run(Milliseconds(2000));
    cr_assert_eq(fixture.configurationKeys.keys["op/config"], "2");
    fixture.store.isDown = true;
    fixture.run(Milliseconds(2000));
    cr_assert_eq(fixture.configurationKeys.losses, 1);
    cr_assert_eq(fixture.ownKeys.losses, 1);
    fixture.store.put("op/config", "3");
    fixture.store.isDown = false;
    fixture.run(Milliseconds(2000));
    cr_assert_eq(fixture.configurationKeys.keys["op/config"], "3");
}

// Guards against revisions of an earlier era that hide the changes of a restored store.
Test(SharedWatchStore, followsARestoredStore)
{
    Fixture fixture;
    fixture.start();
    fixture.run(Milliseconds(2000));
    fixture.store.takeCopy();
    fixture.run(Milliseconds(2000));
    fixture.store.restoreCopy();
    fixture.run(Milliseconds(2000));
    fixture.store.put("op/config", "2");
    fixture.run(Milliseconds(1000));
    cr_assert_eq(fixture.configurationKeys.keys["op/config"], "2");
}

// A daemon that follows the store through peers makes no call for minutes. Guards against a watch that continues from
// a history that the store has dropped meanwhile.
Test(SharedWatchStore, continuesAfterAPause)
{
    Fixture fixture;
    fixture.start();
    fixture.run(Milliseconds(2000));
    for (PrefixFollower* follower : { &fixture.configuration, &fixture.endpoints, &fixture.own })
        follower->pause();
    fixture.run(Milliseconds(60000));
    fixture.store.dropHistory();
    const std::size_t before = fixture.store.rangeCalls;
    fixture.store.put("op/config", "2");
    for (PrefixFollower* follower : { &fixture.configuration, &fixture.endpoints, &fixture.own })
        follower->resume();
    fixture.run(Milliseconds(2000));
    cr_assert_eq(fixture.configurationKeys.keys["op/config"], "2");
    cr_assert_eq(fixture.store.rangeCalls - before, 3U);
}
