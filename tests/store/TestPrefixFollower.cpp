#include "almondlever/store/PrefixFollower.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>
#include <set>

using namespace almondlever;

namespace {

/** Records the current keys as a follower reports them. */
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
    /** All keys that were ever reported. */
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

// Guards against missing keys beyond the first page, and changes made while the pages were read.
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

// Hundreds of daemons start at once, and each change of the first seconds would complete a pending watch of each one.
// Guards against calls that updates from a peer make unnecessary, and against a daemon without peers that misses
// changes.
Test(PrefixFollower, pollsBeforePeersSendUpdates)
{
    Fixture fixture;
    fixture.store.put("op/0", "a");
    fixture.follower.start(Milliseconds(300), fixture.timers.now() + Milliseconds(700));
    for (int i = 0; i < 6; ++i) {
        fixture.timers.advance(Milliseconds(100));
        fixture.store.put("op/0", std::to_string(i));
    }
    cr_assert_eq(fixture.store.calls, 2U, "changes cause no extra calls");
    fixture.timers.advance(Milliseconds(200));
    cr_assert_eq(fixture.recorder.keys["op/0"], "5");
    fixture.store.put("op/0", "b");
    fixture.timers.advance(Milliseconds(200));
    cr_assert_eq(fixture.recorder.keys["op/0"], "b", "without peers it watches by itself");
}

// During an outage of the store, each follower of each daemon would retry. Guards against such redundant calls, and
// against a follower that is not up to date after the outage.
Test(PrefixFollower, onlyTheProbeRetriesDuringAnOutage)
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

// Guards against store calls after a peer has become the source of updates.
Test(PrefixFollower, makesNoCallAfterPause)
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

// Guards against keeping an old state after the store dropped its history, also when a lost connection hid that.
Test(PrefixFollower, readsAllAfterALostConnection)
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

// The store's watches report nothing for a while, and the history is dropped between two calls. Guards against
// continuing from the revision of an empty answer, behind changes that no watch has reported.
Test(PrefixFollower, emptyWatchDoesNotPassOverChanges)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    fixture.store.watchesReportNothing = true;
    fixture.store.put("op/config", "2");
    fixture.timers.advance(Milliseconds(1310));
    fixture.store.watchesReportNothing = false;
    fixture.store.dropHistory();
    fixture.timers.advance(Milliseconds(5000));
    cr_assert_eq(fixture.recorder.keys["op/config"], "2");
    cr_assert_eq(fixture.recorder.losses, 0);
}

// A key is withdrawn while the store's watches report nothing, and an empty watch ends. Guards against a proof that the
// known keys are the present ones although the read has shown another one.
Test(PrefixFollower, verificationSeesChangesBehindAnEmptyWatch)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    fixture.store.watchesReportNothing = true;
    fixture.store.put("op/config", "2");
    fixture.timers.advance(Milliseconds(1600));
    const TimePoint verified = fixture.timers.now();
    fixture.follower.verify();
    fixture.timers.advance(Milliseconds(100));
    cr_assert(*fixture.follower.provenAt() == verified);
    cr_assert_eq(fixture.recorder.keys["op/config"], "2");
}

// Guards against one read of all keys after the other while nothing changes.
Test(PrefixFollower, quietPrefixIsSeldomReadAnew)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    for (int second = 0; second < 60; ++second) {
        fixture.store.put("other/key", std::to_string(second));
        if (second % 20 == 19)
            fixture.store.dropHistory();
        fixture.timers.advance(Milliseconds(1000));
    }
    cr_assert_leq(fixture.store.rangeCalls, 4U);
}

// Guards against treating the status 410 (history gone) as an outage.
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

// Guards against one call for each change of a burst, since calls are rate-limited.
Test(PrefixFollower, batchesChangesOfABurst)
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

// Guards against store calls while a peer sends updates, and against not following the store when the peer is lost.
Test(PrefixFollower, pausesWhileAPeerSendsUpdates)
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
    fixture.store.put(item.key, item.value);
    item.revision = fixture.store.revision();
    fixture.follower.applyUpdate({ item }, fixture.store.revision(), fixture.store.revision(), false);
    cr_assert_eq(fixture.recorder.keys["op/config"], "2");
    fixture.follower.applyUpdate({}, fixture.store.revision() - 1, fixture.store.revision() - 1, true);
    cr_assert_eq(fixture.recorder.keys["op/config"], "2", "older updates are ignored");
    fixture.store.put("op/config", "3");
    fixture.follower.resume();
    fixture.timers.advance(Milliseconds(100));
    cr_assert_eq(fixture.recorder.keys["op/config"], "3");
}

// An answer of the store is under way while a peer sends newer keys. Guards against going back to the older ones.
Test(PrefixFollower, lateAnswersDoNotRevertNewerUpdates)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    StoreItem item;
    item.key = "op/config";
    item.value = "2";
    item.revision = 100;
    fixture.follower.pause();
    fixture.follower.applyUpdate({ item }, 100, 100, true);
    fixture.timers.advance(Milliseconds(100));
    cr_assert_eq(fixture.recorder.keys["op/config"], "2", "a read of all keys");
    cr_assert_eq(fixture.follower.revision(), 100U);
    bool isFresh = false;
    fixture.follower.refresh([&isFresh](bool result) { isFresh = result; });
    fixture.timers.advance(Milliseconds(100));
    cr_assert_eq(fixture.recorder.keys["op/config"], "2", "a refresh");
    cr_assert(isFresh, "the known keys are newer");
}

// Guards against the same for the changes that a watch reports.
Test(PrefixFollower, lateChangesDoNotRevertNewerUpdates)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(200));
    fixture.follower.pause();
    StoreItem item;
    item.key = "op/config";
    item.value = "3";
    item.revision = 100;
    fixture.follower.applyUpdate({ item }, 100, 100, true);
    fixture.store.put("op/config", "2");
    fixture.timers.advance(Milliseconds(200));
    cr_assert_eq(fixture.recorder.keys["op/config"], "3");
    cr_assert_eq(fixture.follower.revision(), 100U);
}

// A peer has told the revision of an answer without changes, and knows fewer changes than an answer of the store that
// is under way. Guards against dropping that answer, and taking its changes for known.
Test(PrefixFollower, answersWithChangesThatThePeerLacksAreUsed)
{
    const auto tellPeersRevision
        = [](Fixture& fixture) { fixture.follower.applyUpdate({}, 100, fixture.follower.reportedRevision(), false); };
    {
        Fixture fixture;
        fixture.store.put("op/config", "1");
        fixture.follower.start();
        tellPeersRevision(fixture);
        fixture.timers.advance(Milliseconds(100));
        cr_expect_eq(fixture.recorder.keys["op/config"], "1", "a read of all keys");
        tellPeersRevision(fixture);
        fixture.store.put("op/config", "2");
        fixture.timers.advance(Milliseconds(100));
        cr_expect_eq(fixture.recorder.keys["op/config"], "2", "a watch");
        cr_expect_eq(fixture.follower.reportedRevision(), fixture.store.revision());
    }
    for (const bool isVerification : { false, true }) {
        Fixture fixture;
        fixture.store.put("op/config", "1");
        fixture.follower.start();
        fixture.timers.advance(Milliseconds(200));
        fixture.store.watchesReportNothing = true;
        fixture.store.put("op/config", "2");
        tellPeersRevision(fixture);
        if (isVerification)
            fixture.follower.verify();
        else
            fixture.follower.refresh([](bool) {});
        fixture.timers.advance(Milliseconds(100));
        cr_expect_eq(fixture.recorder.keys["op/config"], "2", "%s", isVerification ? "a verification" : "a refresh");
    }
}

// Two peers have had the same answer of the store, but one of them lacks a change, and its update arrives last. Guards
// against going back to what the change has replaced.
Test(PrefixFollower, lateUpdatesDoNotRevertNewerOnes)
{
    for (const bool isSnapshot : { false, true }) {
        Fixture fixture;
        fixture.follower.pause();
        StoreItem older;
        older.key = "op/config";
        older.value = "1";
        older.revision = 90;
        StoreItem newer = older;
        newer.value = "2";
        newer.revision = 99;
        fixture.follower.applyUpdate({ newer }, 100, 99, isSnapshot);
        fixture.follower.applyUpdate({ older }, 100, 90, isSnapshot);
        cr_assert_eq(fixture.recorder.keys["op/config"], "2");
        cr_assert_eq(fixture.follower.reportedRevision(), 99U);
    }
}

// Guards against a promotion based on an outdated list: the list is read at once, while a watch is pending.
Test(PrefixFollower, refreshReadsAllDuringAWatch)
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

// The store is restored from a copy and assigns revisions again. Guards against missing a change whose revision was
// already seen before the restore.
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
    fixture.store.put("op/2", "written with a revision that was used before");
    fixture.timers.advance(Milliseconds(600));
    cr_assert_eq(fixture.recorder.keys.count("op/1"), 0U);
    cr_assert_eq(fixture.recorder.keys.count("op/2"), 1U);
    cr_assert_eq(fixture.recorder.keys["op/0"], "a");
    cr_assert_gt(fixture.follower.revision(), before);
    fixture.store.put("op/0", "c");
    fixture.timers.advance(Milliseconds(300));
    cr_assert_eq(fixture.recorder.keys["op/0"], "c");
}

// Guards against a list that combines pages from before and after a restore.
Test(PrefixFollower, doesNotCombinePagesOfTwoEras)
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

// The store's answer is under way for long, and a watch reports no change. Guards against taking either for a proof
// that nothing changed meanwhile, and against a change that only the verification sees.
Test(PrefixFollower, provesItsStateFromTheTimeOfTheQuestion)
{
    Fixture fixture;
    fixture.store.put("op/config", "1");
    fixture.follower.start();
    fixture.timers.advance(Milliseconds(100));
    const TimePoint asked = fixture.timers.now();
    cr_assert_leq(*fixture.follower.provenAt(), asked - Milliseconds(100));
    fixture.timers.advance(Milliseconds(5000));
    cr_assert_leq(*fixture.follower.provenAt(), asked, "watches prove nothing");
    fixture.store.slowPrefix = "op/";
    fixture.store.slowDelay = Milliseconds(900);
    const TimePoint verified = fixture.timers.now();
    fixture.follower.verify();
    fixture.timers.advance(Milliseconds(1000));
    cr_assert(*fixture.follower.provenAt() == verified);
    fixture.store.isDown = true;
    fixture.follower.verify();
    fixture.timers.advance(Milliseconds(1000));
    cr_assert(*fixture.follower.provenAt() == verified);
}

// A fleet starts for the first time, and peers send a daemon everything. Guards against reads that this makes
// unnecessary, and against a daemon without peers that knows nothing.
Test(PrefixFollower, startsLaterUnlessPeersSendEverything)
{
    Fixture withPeers;
    withPeers.store.put("op/0", "a");
    withPeers.follower.startLater(Milliseconds(700));
    withPeers.timers.advance(Milliseconds(300));
    withPeers.follower.pause();
    withPeers.timers.advance(Milliseconds(5000));
    cr_assert_eq(withPeers.store.calls, 0U);
    Fixture alone;
    alone.store.put("op/0", "a");
    alone.follower.startLater(Milliseconds(700));
    alone.timers.advance(Milliseconds(800));
    cr_assert_eq(alone.recorder.keys["op/0"], "a");
}

namespace {

/** A follower that leaves calls to another one, which it uses as its probe. */
struct ProbeFixture : Fixture {
    ProbeFixture()
    {
        store.put("op/0", "a");
        store.put("servers/0", "a");
        second.setProbe(follower);
        second.setProbeDelay(Milliseconds(700));
        follower.start();
        second.start();
        timers.advance(Milliseconds(500));
    }
    Recorder secondRecorder;
    PrefixFollower second { store, timers, "servers/", Milliseconds(100), secondRecorder };
};

} // namespace

// All daemons lose the store for seconds and get it back at once. Guards against each of them reading everything at
// that moment, although their watchers have it back as well.
Test(PrefixFollower, leavesCallsToPeersAfterAnOutage)
{
    ProbeFixture fixture;
    fixture.store.isDown = true;
    fixture.store.cutWatches();
    fixture.timers.advance(Milliseconds(5000));
    cr_assert_eq(fixture.secondRecorder.losses, 1);
    const std::size_t before = fixture.store.rangeCalls;
    fixture.store.isDown = false;
    fixture.timers.advance(Milliseconds(600));
    cr_assert_eq(fixture.store.rangeCalls - before, 1U, "only the probe calls the store");
    fixture.second.pause();
    fixture.timers.advance(Milliseconds(5000));
    cr_assert_eq(fixture.store.rangeCalls - before, 1U, "a peer has sent the changes");
}

// As above, without peers. Guards against a prefix that is not followed any more.
Test(PrefixFollower, readsAfterAnOutageWithoutPeers)
{
    ProbeFixture fixture;
    fixture.store.isDown = true;
    fixture.store.cutWatches();
    fixture.timers.advance(Milliseconds(5000));
    fixture.store.put("servers/0", "b");
    fixture.store.isDown = false;
    fixture.timers.advance(Milliseconds(2000));
    cr_assert_eq(fixture.secondRecorder.keys["servers/0"], "b");
}

// A daemon loses its sources among the peers while the store refuses it too. Guards against a call for each prefix
// and attempt, and against a follower that waits although the store answers.
Test(PrefixFollower, resumesBehindItsProbe)
{
    ProbeFixture fixture;
    fixture.follower.pause();
    fixture.second.pause();
    fixture.timers.advance(Milliseconds(5000));
    fixture.store.isDown = true;
    const std::size_t before = fixture.store.calls;
    fixture.follower.resume();
    fixture.second.resume();
    fixture.timers.advance(Milliseconds(2000));
    const std::size_t calls = fixture.store.calls - before;
    cr_assert_leq(calls, 8U, "%zu calls", calls);
    fixture.store.put("servers/0", "b");
    fixture.store.isDown = false;
    fixture.timers.advance(Milliseconds(2500));
    cr_assert_eq(fixture.secondRecorder.keys["servers/0"], "b");
}
