#include "almondlever/store/PrefixFollower.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>
#include <set>

using namespace almondlever;

namespace {

/** Keeps what a follower reports as the present keys. */
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
    void onStoreReturned(const std::string&, TimePoint) override { ++returns; }
    void onStoreLost(const std::string&, const StoreFailure&, TimePoint) override { ++losses; }

    std::map<std::string, std::string> keys;
    /** Keys that were ever reported. */
    std::set<std::string> seen;
    int snapshots = 0;
    int losses = 0;
    int returns = 0;

private:
    void take(const std::vector<StoreItem>& items)
    {
        for (const StoreItem& item : items) {
            seen.insert(item.key);
            if (item.isDeleted)
                keys.erase(item.key);
            else
                keys[item.key] = item.value;
        }
    }
};

struct Fixture {
    FakeTimerService timers;
    FakeMetadataStore store { timers };
    Recorder recorder;
    PrefixFollower follower { store, timers, "op/", Milliseconds(100), recorder };
};

} // namespace

// Guards against missing keys beyond the first page, and changes made while pages were read.
Test(PrefixFollower, readsAllPagesAndLaterChanges)
{
    Fixture fixture;
    fixture.store.pageSize = 2;
    for (int i = 0; i < 5; ++i)
        fixture.store.put("op/" + std::to_string(i), "a");
    fixture.store.put("other/1", "a");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(6));
    fixture.store.put("op/0", "b");
    fixture.timers.advance(Milliseconds(500));
    cr_assert_eq(fixture.recorder.keys.size(), 5U);
    cr_assert_eq(fixture.recorder.keys["op/0"], "b");
    fixture.store.erase("op/1");
    fixture.timers.advance(Milliseconds(500));
    cr_assert_eq(fixture.recorder.keys.count("op/1"), 0U);
}

// Pattern: hundreds of daemons start at once, and each change of the first seconds would end a waiting call of each.
// Guards against calls that a peer makes needless, and against a daemon without peers that never hears of changes.
Test(PrefixFollower, waitsForPeersBeforeItWatches)
{
    Fixture fixture;
    fixture.store.put("op/0", "a");
    fixture.follower.start(Milliseconds(300), fixture.timers.now() + Milliseconds(700));
    for (int i = 0; i < 6; ++i) {
        fixture.timers.advance(Milliseconds(100));
        fixture.store.put("op/0", std::to_string(i));
    }
    cr_assert_eq(fixture.store.calls, 2U, "each change is no call");
    fixture.timers.advance(Milliseconds(200));
    cr_assert_eq(fixture.recorder.keys["op/0"], "5");
    fixture.store.put("op/0", "b");
    fixture.timers.advance(Milliseconds(200));
    cr_assert_eq(fixture.recorder.keys["op/0"], "b", "without peers it watches by itself");
}

// Pattern: the store is away, and each follower of each daemon tries it. Guards against calls that tell nothing new,
// and against a follower that stays behind after the outage.
Test(PrefixFollower, onlyTheProbeTriesDuringAnOutage)
{
    Fixture fixture;
    FakeMetadataStore other(fixture.timers);
    Recorder otherRecorder;
    PrefixFollower probed(other, fixture.timers, "op/", Milliseconds(100), otherRecorder);
    probed.setProbe(fixture.follower);
    fixture.follower.start();
    probed.start();
    fixture.timers.advance(Milliseconds(200));
    for (FakeMetadataStore* store : { &fixture.store, &other }) {
        store->isDown = true;
        store->cutWatches();
    }
    fixture.timers.advance(Milliseconds(500));
    const std::size_t before = other.calls;
    const std::size_t probes = fixture.store.calls;
    fixture.timers.advance(Milliseconds(5000));
    cr_assert_eq(other.calls, before);
    cr_assert_geq(fixture.store.calls, probes + 10);
    for (FakeMetadataStore* store : { &fixture.store, &other }) {
        store->isDown = false;
        store->put("op/0", "b");
    }
    fixture.timers.advance(Milliseconds(1000));
    cr_assert_eq(otherRecorder.keys["op/0"], "b");
}

// Guards against calls after a peer took over.
Test(PrefixFollower, makesNoCallOnceAPeerTells)
{
    Fixture fixture;
    fixture.store.put("op/0", "a");
    fixture.follower.start(Milliseconds(300), fixture.timers.now() + Milliseconds(700));
    fixture.timers.advance(Milliseconds(100));
    fixture.follower.pause();
    fixture.timers.advance(Milliseconds(5000));
    cr_assert_eq(fixture.store.calls, 1U);
    fixture.store.put("op/0", "b");
    fixture.follower.resume();
    fixture.timers.advance(Milliseconds(100));
    cr_assert_eq(fixture.recorder.keys["op/0"], "b");
}

// Guards against staying at an old state after the store dropped its history, also when a cut hid that from the watch.
Test(PrefixFollower, readsAllAfterACut)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    fixture.store.isDown = true;
    fixture.store.cutWatches();
    fixture.store.put("op/config", "2");
    fixture.store.dropHistory();
    fixture.timers.advance(Milliseconds(1000));
    cr_assert_eq(fixture.recorder.losses, 1);
    fixture.store.isDown = false;
    fixture.timers.advance(Milliseconds(600));
    cr_assert_eq(fixture.recorder.keys["op/config"], "2");
    cr_assert_eq(fixture.recorder.returns, 1);
    cr_assert_eq(fixture.recorder.snapshots, 2);
}

// Guards against a 410 being taken for an outage.
Test(PrefixFollower, readsAllWhenTheHistoryIsGone)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    fixture.store.put("op/config", "2");
    fixture.store.put("op/config", "3");
    fixture.timers.advance(Milliseconds(6));
    fixture.store.put("op/config", "4");
    fixture.store.dropHistory();
    fixture.timers.advance(Milliseconds(1000));
    cr_assert_eq(fixture.recorder.keys["op/config"], "4");
    cr_assert_eq(fixture.recorder.losses, 0);
}

// Guards against one call for each change of a burst, since calls are limited.
Test(PrefixFollower, gathersChangesOfABurst)
{
    Fixture fixture;
    fixture.store.put("op/config", "0");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    const std::size_t before = fixture.store.calls;
    for (int i = 0; i < 20; ++i) {
        fixture.store.put("op/config", std::to_string(i));
        fixture.timers.advance(Milliseconds(10));
    }
    fixture.timers.advance(Milliseconds(300));
    cr_assert_leq(fixture.store.calls - before, 4U);
    cr_assert_eq(fixture.recorder.keys["op/config"], "19");
}

// Guards against calls beside what a peer tells, and against not taking over when the peer is lost.
Test(PrefixFollower, pausesWhileAPeerTellsTheNews)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    fixture.follower.pause();
    fixture.timers.advance(Milliseconds(5000));
    const std::size_t before = fixture.store.calls;
    fixture.timers.advance(Milliseconds(10000));
    cr_assert_eq(fixture.store.calls, before);
    StoreItem item;
    item.key = "op/config";
    item.value = "2";
    fixture.follower.takeNews({ item }, 100, false);
    cr_assert_eq(fixture.recorder.keys["op/config"], "2");
    fixture.follower.takeNews({}, 50, true);
    cr_assert_eq(fixture.recorder.keys["op/config"], "2", "older news change nothing");
    fixture.store.put("op/config", "3");
    fixture.follower.resume();
    fixture.timers.advance(Milliseconds(100));
    cr_assert_eq(fixture.recorder.keys["op/config"], "3");
}

// Guards against a promotion that trusts a list from before: the list is read at once, while a watch waits.
Test(PrefixFollower, refreshReadsAllBesideTheWatch)
{
    Fixture fixture;
    fixture.store.put("op/a", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(100));
    const int before = fixture.recorder.snapshots;
    bool isFresh = false;
    fixture.follower.refresh([&](bool result) { isFresh = result; });
    fixture.timers.advance(Milliseconds(50));
    cr_assert(isFresh);
    cr_assert_eq(fixture.recorder.snapshots, before + 1);
    fixture.store.isDown = true;
    fixture.follower.refresh([&](bool result) { isFresh = result; });
    fixture.timers.advance(Milliseconds(50));
    cr_assert(!isFresh);
}

// Guards against old keys after the store came back from a copy whose numbers are given out again: a change under a
// number that was seen before the restore would be missed.
Test(PrefixFollower, readsAllAfterARestore)
{
    Fixture fixture;
    fixture.store.put("op/0", "a");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    fixture.store.takeCopy();
    fixture.store.put("op/0", "b");
    fixture.store.put("op/1", "lost");
    fixture.timers.advance(Milliseconds(300));
    cr_assert_eq(fixture.recorder.keys.size(), 2U);
    const std::uint64_t before = fixture.follower.revision();
    fixture.store.restoreCopy();
    fixture.store.put("op/2", "written under a number that was used before");
    fixture.timers.advance(Milliseconds(600));
    cr_assert_eq(fixture.recorder.keys.count("op/1"), 0U);
    cr_assert_eq(fixture.recorder.keys.count("op/2"), 1U);
    cr_assert_eq(fixture.recorder.keys["op/0"], "a");
    cr_assert_gt(fixture.follower.revision(), before);
    fixture.store.put("op/0", "c");
    fixture.timers.advance(Milliseconds(300));
    cr_assert_eq(fixture.recorder.keys["op/0"], "c");
}

// Guards against a list that is put together from pages of before and after a restore.
Test(PrefixFollower, pagesOfTwoErasAreNotMixed)
{
    Fixture fixture;
    fixture.store.pageSize = 2;
    for (int i = 0; i < 3; ++i)
        fixture.store.put("op/" + std::to_string(i), "a");
    fixture.store.takeCopy();
    fixture.store.put("op/00", "lost");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(5));
    fixture.store.restoreCopy();
    fixture.timers.advance(Milliseconds(500));
    cr_assert_eq(fixture.recorder.keys.size(), 3U);
    cr_assert_eq(fixture.recorder.seen.count("op/00"), 0U, "the first page was read before the restore");
}
