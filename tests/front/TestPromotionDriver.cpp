#include "almondlever/common/StoreEra.h"
#include "almondlever/front/PromotionDriver.h"
#include "almondlever/observability/DecisionLog.h"
#include "mocks/DispatcherFixture.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>
#include <fstream>
#include <unistd.h>

using namespace almondlever;

namespace {

/** The platform's promotion service; makes an endpoint of the fixture the primary after a delay. */
class FakePromotions final : public PromotionService {
public:
    explicit FakePromotions(DispatcherFixture& fixture)
        : fixture_(fixture)
    {
    }

    void promote(const GroupId&, const EndpointId& endpoint, const std::string&, std::uint64_t fence,
        std::function<void(PromotionResult, const std::string&)> callback) override
    {
        promoted.push_back(endpoint);
        fences.push_back(fence);
        fixture_.timers.callAfter(
            Milliseconds(10), [callback](TimePoint) { callback(PromotionResult::Accepted, "status 200"); });
        fixture_.timers.callAfter(Milliseconds(300), [this, endpoint](TimePoint) {
            // Promoting the present primary changes nothing, if it still leads when the call takes effect.
            if (fixture_.endpoints.server(endpoint).leads)
                return;
            for (const EndpointId& id : { fixture_.a, fixture_.b, fixture_.c })
                fixture_.endpoints.server(id).leads = id == endpoint;
            auto& server = fixture_.endpoints.server(endpoint);
            server.position.term += 1;
            server.pausedIn = 0;
        });
    }

    std::vector<EndpointId> promoted;
    std::vector<std::uint64_t> fences;

private:
    DispatcherFixture& fixture_;
};

/** The other owners, which give the verdict that a test sets. */
class FakeConfirmer final : public SuspicionConfirmer {
public:
    FailureConfirmation::Verdict confirm(const GroupId&, const EndpointId&, TimePoint, TimePoint) override
    {
        ++queries;
        return verdict;
    }
    void clearSuspicion(const GroupId&) override { }

    FailureConfirmation::Verdict verdict = FailureConfirmation::Verdict::Contradicted;
    std::size_t queries = 0;
};

/** Another owner, whose answer a test gives. */
class FakeRelay final : public StepDownRelay {
public:
    bool hasPeers(const GroupId&) const override { return true; }
    bool areAllHolding(const GroupId&, std::uint64_t) const override { return true; }
    LogPosition acknowledgedPosition(const GroupId&, std::uint64_t) const override { return {}; }
    void close(const GroupId&, std::uint64_t, const EndpointId&, Term, TimePoint) override { }
    void request(const GroupId&, const EndpointId& endpoint, Term, std::uint64_t, Callback onReport, TimePoint) override
    {
        primary = endpoint;
        callback = std::move(onReport);
    }

    EndpointId primary;
    Callback callback;
};

struct Fixture : DispatcherFixture {
    FakeMetadataStore store { timers };
    FakePromotions promotions { *this };
    PromotionDriver driver;

    static PromotionDriverSettings makeSettings()
    {
        PromotionDriverSettings settings;
        settings.holder = "vm-1";
        return settings;
    }

    explicit Fixture(const PromotionDriverSettings& settings = makeSettings())
        : driver(directory, dispatcher, store, promotions, timers, settings)
    {
        endpoints.replicates = true;
        driver.setGroups(configuration->groups);
        driver.setOwners({ { group, { "vm-1" } } });
        // The record of log holders is written while the group is healthy.
        run(Milliseconds(3000));
    }

    void leave(const EndpointId& id)
    {
        EndpointEntry entry = entryOf(id);
        entry.isLeaving = true;
        directory.update(entry, timers.now());
    }

    /** Longest time that a write took, of writes that follow each other for a while; all must succeed. */
    Milliseconds longestWrite(Duration period)
    {
        Milliseconds longest { 0 };
        const TimePoint end = timers.now() + period;
        while (timers.now() < end) {
            FakeCaller caller(*this, "orders");
            const TimePoint sentAt = timers.now();
            caller.write("w" + std::to_string(++writes));
            runUntil([&] { return !caller.replies.empty(); });
            cr_assert(caller.succeeded());
            longest = std::max(longest, std::chrono::duration_cast<Milliseconds>(timers.now() - sentAt));
        }
        return longest;
    }

    /** Runs until the condition holds; fails the test when it does not within five seconds. */
    template <typename Condition> void runUntil(const Condition& condition)
    {
        const TimePoint limit = timers.now() + Milliseconds(5000);
        while (!condition()) {
            cr_assert_lt(timers.now().time_since_epoch().count(), limit.time_since_epoch().count());
            run(Milliseconds(25));
        }
    }

    std::size_t writes = 0;

    void run(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            advance(Milliseconds(25));
            driver.onTick(timers.now());
        }
    }
};

} // namespace

// Guards against a group that stays without a primary, and against promoting a replica whose log is shorter.
Test(PromotionDriver, replacesACrashedPrimary)
{
    Fixture fixture;
    fixture.endpoints.server(fixture.b).position = { 1, 104 };
    fixture.endpoints.server(fixture.c).position = { 1, 106 };
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(2500));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
    cr_assert(fixture.promotions.promoted[0] == fixture.c);
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn, 0U, "the other replica must receive again");
    cr_assert(!fixture.store.has(storeKeys::claims + "ledger"));
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"),
        RecordedLeader::encode(RecordedLeader { fixture.c, 2 }), "finished, with its leader");
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.run(Milliseconds(200));
    cr_assert(caller.succeeded());
}

// Guards against a log that does not show which logs were compared, how many were required and when the promotion took
// effect: the records of issues 59 and 63 left these out, so that no cause could be told from another.
Test(PromotionDriver, logsTheInputsOfAChange)
{
    const std::string path = "/tmp/almondlever-promotion-log-" + std::to_string(getpid());
    cr_assert_eq(configureLog({ "info", path }), "");
    Fixture fixture;
    fixture.endpoints.server(fixture.b).position = { 1, 104 };
    fixture.endpoints.server(fixture.c).position = { 1, 106 };
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(2500));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
    flushLog();
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string line; std::getline(file, line);)
        lines.push_back(line + ' ');
    std::remove(path.c_str());
    const std::string fence = " fence=" + std::to_string(fixture.promotions.fences[0]) + ' ';
    /** True if a line of the event contains all the texts. */
    const auto has = [&lines, &fence](const std::string& event, const std::vector<std::string>& texts) {
        return std::any_of(lines.begin(), lines.end(), [&](const std::string& line) {
            return line.find(" event=" + event + " group=ledger ") != std::string::npos
                && line.find(fence) != std::string::npos
                && std::all_of(texts.begin(), texts.end(),
                    [&line](const std::string& text) { return line.find(' ' + text) != std::string::npos; });
        });
    };
    cr_assert(has("promotion_started",
        { "members=3 ", "member_starts=a@1,b@1,c@1 ", "primary=a ", "newest_term=1 ", "synchronous=1 ",
            "required=2 " }));
    cr_assert(has("promotion_order", { "endpoint=b ", "order=pause ", "pause_term=2 ", "received_term=1 ", "ms=" }));
    cr_assert(has("promotion_ordered",
        { "endpoint=c ", "reason=primary_failed ", "required=2 ", "paused_positions=b:1/104,c:1/106 ",
            "acknowledged_term=", "acknowledged_index=" }));
    cr_assert(has("promotion_answer", { "endpoint=c ", "outcome=accepted ", "ms=10 " }));
    cr_assert(has("promotion_leading", { "endpoint=c ", "term=2 ", "position_term=", "position_index=106 ", "ms=3" }));
    cr_assert(has("promotion_ended",
        { "outcome=ok ", "reason=primary_failed ", "leading_term=2 ", "needs_recovery=no ",
            "unconfirmed_resumes=\"\" " }));
}

// Guards against replacing a primary that answers the other owners, as was seen on a large fleet without any fault.
Test(PromotionDriver, keepsAPrimaryThatAnswersOthers)
{
    Fixture fixture;
    FakeConfirmer confirmer;
    fixture.driver.setSuspicionConfirmer(&confirmer);
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(1500));
    cr_assert(fixture.promotions.promoted.empty());
    cr_assert(!fixture.store.has(storeKeys::claims + "ledger"),
        "a contradicted suspicion acquires no claim and pauses no replica");
    cr_assert_gt(confirmer.queries, 0U);
    confirmer.verdict = FailureConfirmation::Verdict::Confirmed;
    fixture.run(Milliseconds(1000));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
}

// A daemon is cut off from the store, the primary and the other owners; these promote a replica, and the partition ends
// while this daemon's own claim is in transit. Guards against replacing the primary that was just promoted.
Test(PromotionDriver, reconfirmsWhenTheClaimTookLong)
{
    Fixture fixture;
    FakeConfirmer confirmer;
    confirmer.verdict = FailureConfirmation::Verdict::Confirmed;
    fixture.driver.setSuspicionConfirmer(&confirmer);
    fixture.endpoints.crash(fixture.a);
    fixture.store.delay = Milliseconds(200);
    fixture.run(Milliseconds(500));
    cr_assert_gt(confirmer.queries, 0U);
    confirmer.verdict = FailureConfirmation::Verdict::Waiting;
    fixture.run(Milliseconds(1000));
    cr_assert(fixture.promotions.promoted.empty());
    confirmer.verdict = FailureConfirmation::Verdict::Contradicted;
    fixture.run(Milliseconds(1000));
    cr_assert(fixture.promotions.promoted.empty());
    cr_assert(!fixture.store.has(storeKeys::claims + "ledger"));
    confirmer.verdict = FailureConfirmation::Verdict::Confirmed;
    fixture.run(Milliseconds(3000));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U, "a slow store does not prevent a needed change");
}

// Soak seed 5005: two paused replicas are gone when they are to be resumed, the process is suspended for 250 ms, and
// then both orders complete at once. Guards against finishing a change twice, the second time from within the first,
// which crashed the process.
Test(PromotionDriver, finishesAChangeOnceWhenTwoOrdersCompleteTogether)
{
    for (Milliseconds until { 1500 }; until < Milliseconds(3000); until += Milliseconds(50)) {
        Fixture fixture;
        const EndpointId d("d");
        fixture.directory.update(fixture.entryOf(d), fixture.timers.now());
        fixture.dispatcher.onDirectoryChange(fixture.timers.now());
        fixture.run(Milliseconds(200));
        fixture.endpoints.server(fixture.b).position = { 1, 104 };
        fixture.endpoints.server(fixture.c).position = { 1, 106 };
        fixture.endpoints.server(d).position = { 1, 100 };
        fixture.endpoints.crash(fixture.a);
        for (int i = 0; i < 100 && fixture.promotions.promoted.empty(); ++i)
            fixture.run(Milliseconds(25));
        cr_assert_eq(fixture.promotions.promoted.size(), 1U);
        cr_assert(fixture.promotions.promoted[0] == fixture.c);
        fixture.endpoints.crash(fixture.b);
        fixture.endpoints.crash(d);
        fixture.run(until);
        fixture.timers.advance(Milliseconds(250));
        fixture.dispatcher.onTick(fixture.timers.now());
        fixture.run(Milliseconds(100));
        cr_assert(!fixture.store.has(storeKeys::claims + "ledger") || until < Milliseconds(2500));
    }
}

// Guards against refused or long writes when a primary shuts down as planned. They wait from the moment at which it has
// stepped down, for the promotion (300 ms here), one round of queries before and one after it.
Test(PromotionDriver, handsOverALeavingPrimary)
{
    Fixture fixture;
    fixture.leave(fixture.a);
    const PromotionSettings settings;
    cr_assert_leq(fixture.longestWrite(Milliseconds(5000)),
        Milliseconds(300) + 2 * settings.statusInterval + DispatcherSettings().stepDownDrainTime
            + 2 * StatementDispatcher::tickInterval);
    cr_assert_eq(fixture.promotions.promoted.size(), 2U);
    cr_assert(fixture.promotions.promoted[0] == fixture.a, "shows that the platform accepts calls, changes nothing");
    cr_assert(fixture.promotions.promoted[1] != fixture.a);
}

// Review case 1: an endpoint that this daemon does not know, since its entry is missing, helps a leaving primary to
// acknowledge commits while the known replicas receive nothing. Guards against promoting one of these, and against a
// group that stays without writes for longer than the known replicas are waited for and the old primary is promoted.
Test(PromotionDriver, givenUpHandOverReturnsToTheOldPrimary)
{
    Fixture fixture;
    fixture.leave(fixture.a);
    fixture.endpoints.server(fixture.a).unseenCommits = 5;
    fixture.runUntil([&] { return !fixture.endpoints.server(fixture.a).leads; });
    const PromotionSettings settings;
    FakeCaller caller(fixture, "orders");
    const TimePoint sentAt = fixture.timers.now();
    caller.write("w1");
    fixture.runUntil([&] { return !caller.replies.empty(); });
    cr_assert(caller.succeeded());
    cr_assert_leq(fixture.timers.now() - sentAt,
        settings.lastEntriesTimeout + Milliseconds(300) + 2 * settings.statusInterval
            + DispatcherSettings().stepDownDrainTime + 2 * StatementDispatcher::tickInterval);
    cr_assert_eq(fixture.promotions.promoted.size(), 2U);
    cr_assert(fixture.promotions.promoted[1] == fixture.a);
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.a);
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"),
        RecordedLeader::encode(RecordedLeader { fixture.a, 2 }), "finished, with its leader");
}

// Review case 2: a primary that another owner reaches, but this daemon does not. Guards against promoting a replica
// while that primary still acknowledges commits, with the help of a paused replica that restarts.
Test(PromotionDriver, primaryThatAnotherOwnerReachesStepsDownThroughIt)
{
    Fixture fixture;
    FakeRelay relay;
    fixture.driver.setStepDownRelay(&relay);
    fixture.endpoints.server(fixture.a).isSilent = true;
    fixture.runUntil([&] { return relay.callback != nullptr; });
    cr_assert(relay.primary == fixture.a);
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn + fixture.endpoints.server(fixture.c).pausedIn, 0U);
    cr_assert(fixture.promotions.promoted.empty());
    fixture.endpoints.server(fixture.a).leads = false;
    fixture.endpoints.server(fixture.c).position = { 1, 107 };
    relay.callback({ StepDownResult::Answered, { false, 1, { 1, 107 } } }, fixture.timers.now());
    fixture.run(Milliseconds(100));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
    cr_assert(fixture.promotions.promoted[0] == fixture.c);
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
}

// A replica far away answers the pause of a change that has ended; the next change has begun. Guards against counting
// it as a log of the later change: the replica may have been resumed since.
Test(PromotionDriver, pauseOfAnEarlierChangeDoesNotCount)
{
    const std::string path = "/tmp/almondlever-earlier-change-" + std::to_string(getpid());
    PromotionDriverSettings settings = Fixture::makeSettings();
    settings.retryPause = Milliseconds(25);
    settings.promotion.unansweredResumeTime = Milliseconds(0);
    Fixture fixture(settings);
    fixture.store.delay = Milliseconds(30);
    fixture.endpoints.server(fixture.a).isSilent = true;
    fixture.runUntil([&] { return fixture.store.has(storeKeys::claims + "ledger"); });
    cr_assert_eq(configureLog({ "info", path }), "");
    fixture.endpoints.server(fixture.b).distance = Milliseconds(400);
    // The primary answers, which ends the first change.
    fixture.endpoints.server(fixture.a).isSilent = false;
    fixture.runUntil([&] { return fixture.driver.isIdle(); });
    fixture.endpoints.server(fixture.a).isSilent = true;
    fixture.run(Milliseconds(1500));
    flushLog();
    std::ifstream file(path);
    std::string lines((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::remove(path.c_str());
    cr_assert(
        lines.find("event=promotion_order_outdated group=ledger endpoint=b") != std::string::npos, "%s", lines.c_str());
}

// The answer of a primary to an earlier change arrives during a later one, which replaces another primary.
// Guards against comparing the logs with a position that is not the end of the present primary's log.
Test(PromotionDriver, answerToAnEarlierChangeDoesNotCount)
{
    Fixture fixture;
    FakeRelay relay;
    fixture.driver.setStepDownRelay(&relay);
    fixture.endpoints.crash(fixture.a);
    fixture.runUntil([&] { return relay.callback != nullptr; });
    const StepDownRelay::Callback earlier = relay.callback;
    fixture.runUntil(
        [&] { return fixture.endpoints.server(fixture.b).leads || fixture.endpoints.server(fixture.c).leads; });
    fixture.run(Milliseconds(1500));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
    const EndpointId second = fixture.promotions.promoted[0];
    const EndpointId third = second == fixture.b ? fixture.c : fixture.b;
    fixture.endpoints.server(fixture.a).isDown = false;
    relay.callback = nullptr;
    fixture.endpoints.crash(second);
    fixture.runUntil([&] { return relay.callback != nullptr; });
    cr_assert(relay.primary == second);
    fixture.endpoints.server(third).position = { 2, 200 };
    fixture.endpoints.server(fixture.a).position = { 2, 200 };
    earlier({ StepDownResult::Answered, { false, 1, { 1, 50 } } }, fixture.timers.now());
    fixture.run(Milliseconds(125));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
    cr_assert_gt(PromotionSettings().stepDownTimeout.count(), 125);
}

// An endpoint of another version answers the order to step down as an unknown statement.
// Guards against a hand-over that never ends, and against writes at the old primary while the chosen one takes over.
Test(PromotionDriver, holdsWritesBackFromAPrimaryThatCannotStepDown)
{
    Fixture fixture;
    fixture.endpoints.server(fixture.a).knowsStepDown = false;
    fixture.leave(fixture.a);
    fixture.runUntil([&] { return fixture.promotions.promoted.size() >= 2; });
    const LogPosition chosen = fixture.endpoints.server(fixture.promotions.promoted[1]).position;
    fixture.endpoints.replicates = false;
    cr_assert_leq(fixture.longestWrite(Milliseconds(100)), Milliseconds(500));
    cr_assert(fixture.endpoints.server(fixture.a).position == chosen, "no write ran at the old primary");
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.promotions.promoted[1]);
}

// Guards against changing a primary while another daemon holds the claim.
Test(PromotionDriver, waitsWhileAnotherDaemonHoldsTheClaim)
{
    Fixture fixture;
    fixture.driver.onClaim(fixture.group, true, fixture.timers.now());
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(2000));
    cr_assert(fixture.promotions.promoted.empty());
    fixture.driver.onClaim(fixture.group, false, fixture.timers.now());
    fixture.run(Milliseconds(1500));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
}

// Guards against replicas that stay paused after the daemon that paused them died.
Test(PromotionDriver, recoversAnUnfinishedChange)
{
    Fixture fixture;
    fixture.endpoints.server(fixture.b).pausedIn = 9;
    fixture.driver.onChangeRecord(fixture.group, true, fixture.timers.now());
    fixture.run(Milliseconds(2900));
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn, 9U,
        "an older call that was accepted just before the one of the recovery may still take effect");
    fixture.run(Milliseconds(700));
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
    cr_assert(fixture.promotions.promoted[0] == fixture.a, "the current primary, with a newer fencing token");
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"),
        RecordedLeader::encode(RecordedLeader { fixture.a, 1 }), "finished, with its leader");
}

// Guards against a daemon that changes the primary of a group that it does not own.
Test(PromotionDriver, onlyOwnersChangeThePrimary)
{
    Fixture fixture;
    fixture.driver.setOwners({ { fixture.group, { "vm-2" } } });
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(2000));
    cr_assert(fixture.promotions.promoted.empty());
}

// Guards against promotions without a claim while the store is unavailable.
Test(PromotionDriver, doesNothingWithoutTheStore)
{
    Fixture fixture;
    fixture.store.isDown = true;
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(2000));
    cr_assert(fixture.promotions.promoted.empty());
    fixture.store.isDown = false;
    fixture.run(Milliseconds(2000));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
}

// Guards against losing a commit (kpa-almond trouble-3, seed 1009794462983): a promotion that was accepted for a change
// whose daemon died takes effect some hundred ms later, and the replicas must stay paused until then.
Test(PromotionDriver, waitsUntilAnEarlierPromotionHasTakenEffect)
{
    Fixture fixture;
    fixture.endpoints.server(fixture.b).pausedIn = 9;
    fixture.endpoints.server(fixture.c).pausedIn = 9;
    fixture.driver.onChangeRecord(fixture.group, true, fixture.timers.now());
    fixture.run(Milliseconds(1300));
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn, 9U);
    cr_assert_eq(fixture.endpoints.server(fixture.c).pausedIn, 9U);
    cr_assert(fixture.promotions.promoted.empty());
    fixture.run(Milliseconds(1500));
    cr_assert_eq(fixture.endpoints.server(fixture.c).pausedIn, 9U, "until the recovery's own call has taken effect");
    fixture.run(Milliseconds(700));
    cr_assert_eq(fixture.endpoints.server(fixture.c).pausedIn, 0U);
}

// Guards against a change that starts at once because this daemon has not yet learned of an unfinished one.
Test(PromotionDriver, readsTheChangeRecordBeforeClaiming)
{
    Fixture fixture;
    fixture.store.put(storeKeys::changes + "ledger", storeKeys::changeOpen);
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(1400));
    cr_assert(fixture.promotions.promoted.empty());
    fixture.run(Milliseconds(2500));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
}

// Guards against a holder that, after its claim has ended, undoes the pauses set by the next holder.
Test(PromotionDriver, abandonsTheChangeWhenItsClaimEnds)
{
    Fixture fixture;
    // Without an answer from the other replica the attempt continues for a while after the pause.
    fixture.endpoints.server(fixture.c).isSilent = true;
    fixture.endpoints.crash(fixture.a);
    for (int i = 0; i < 100 && fixture.endpoints.server(fixture.b).pausedIn == 0; ++i)
        fixture.run(Milliseconds(25));
    cr_assert_neq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
    fixture.store.isDown = true;
    // The process is suspended for longer than the claim is safe to use, and another daemon pauses the replica.
    fixture.timers.advance(PromotionClaim::leaseDuration);
    constexpr Term pauseOfAnother = 42;
    fixture.endpoints.server(fixture.b).pausedIn = pauseOfAnother;
    fixture.run(Milliseconds(1000));
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn, pauseOfAnother);
    cr_assert(fixture.promotions.promoted.empty());
}

// Soak seed 2036: because the store is slow, a daemon acquires its claim after another daemon has promoted an endpoint
// that this one does not know. Guards against a second promotion, based on an outdated list of members, that loses the
// commits which the first one's endpoint acknowledged.
Test(PromotionDriver, reloadsTheMembersAfterClaiming)
{
    Fixture fixture;
    const EndpointId back("back");
    fixture.driver.setMembersRefresh([&](const std::function<void(bool)>& callback) {
        auto& server = fixture.endpoints.server(back);
        server.leads = true;
        server.position = { 2, 120 };
        fixture.directory.update(fixture.entryOf(back), fixture.timers.now());
        fixture.dispatcher.onDirectoryChange(fixture.timers.now());
        callback(true);
    });
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(3000));
    cr_assert(fixture.promotions.promoted.empty());
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.run(Milliseconds(300));
    cr_assert(caller.succeeded());
    cr_assert(fixture.endpoints.runs().back().endpoint == back);
}

// Guards against a promotion based on a list of members that could not be confirmed.
Test(PromotionDriver, promotesNobodyWhenTheMembersCannotBeRead)
{
    Fixture fixture;
    fixture.driver.setMembersRefresh([](const std::function<void(bool)>& callback) { callback(false); });
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(2500));
    cr_assert(fixture.promotions.promoted.empty());
    cr_assert(
        !fixture.store.has(storeKeys::claims + "ledger"), "the claim is released, so that another daemon can try");
}

// The primary fails while the change of a daemon that died is unfinished, and too few endpoints answer.
// Guards against closing the record of that change: its promotion may still take effect.
Test(PromotionDriver, unfinishedChangeStaysOpenWhenThePrimaryFails)
{
    Fixture fixture;
    fixture.store.put(storeKeys::changes + "ledger", storeKeys::changeOpen);
    fixture.driver.onChangeRecord(fixture.group, true, fixture.timers.now());
    fixture.endpoints.crash(fixture.a);
    fixture.endpoints.crash(fixture.b);
    Term pausedIn = 0;
    // Attempts follow one another; none may close the record that an earlier one left open.
    for (int i = 0; i < 80; ++i) {
        fixture.run(Milliseconds(100));
        cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
        cr_assert_geq(fixture.endpoints.server(fixture.c).pausedIn, pausedIn, "what is paused stays paused");
        pausedIn = fixture.endpoints.server(fixture.c).pausedIn;
    }
    cr_assert(fixture.promotions.promoted.empty());
    cr_assert_gt(pausedIn, 0U);
}

// Guards against the same when the members cannot be read after the claim.
Test(PromotionDriver, unfinishedChangeStaysOpenWhenTheMembersAreUnknown)
{
    Fixture fixture;
    fixture.store.put(storeKeys::changes + "ledger", storeKeys::changeOpen);
    fixture.driver.onChangeRecord(fixture.group, true, fixture.timers.now());
    fixture.driver.setMembersRefresh([](const std::function<void(bool)>& callback) { callback(false); });
    fixture.run(Milliseconds(4000));
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
}

// A primary is cut off from its replicas: it answers, but acknowledges no write.
// Guards against a group that cannot write until the partition ends.
Test(PromotionDriver, replacesAPrimaryThatCannotReplicate)
{
    Fixture fixture;
    fixture.endpoints.server(fixture.a).stallsWrites = true;
    std::vector<std::unique_ptr<FakeCaller>> callers;
    for (int i = 0; i < 30; ++i) {
        callers.push_back(std::make_unique<FakeCaller>(fixture, "orders"));
        callers.back()->write("w" + std::to_string(i));
        fixture.run(Milliseconds(200));
    }
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
    cr_assert(fixture.promotions.promoted[0] != fixture.a);
    FakeCaller caller(fixture, "orders");
    caller.write("after");
    fixture.run(Milliseconds(300));
    cr_assert(caller.succeeded());
}

// The replica that had received a commit restarts without its log, and the primary crashes.
// Guards against promoting a replica that lacks a commit which this daemon itself saw acknowledged.
Test(PromotionDriver, promotesNobodyWithoutAcknowledgedCommits)
{
    Fixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.run(Milliseconds(100));
    cr_assert(caller.succeeded());
    for (const EndpointId& id : { fixture.b, fixture.c })
        fixture.endpoints.server(id).position = { 1, 90 };
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(3000));
    cr_assert(fixture.promotions.promoted.empty());
    cr_assert_eq(fixture.endpoints.server(fixture.b).pausedIn * fixture.endpoints.server(fixture.c).pausedIn, 0U);
}

// The store is restored while a primary is being replaced. Guards against two holders of one claim, and against reusing
// a fencing token.
Test(PromotionDriver, storeRestoreEndsTheClaim)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.endpoints.server(fixture.b).position = { 1, 104 };
    fixture.endpoints.server(fixture.c).position = { 1, 106 };
    fixture.endpoints.server(fixture.b).distance = Milliseconds(150);
    fixture.endpoints.server(fixture.c).distance = Milliseconds(150);
    fixture.endpoints.crash(fixture.a);
    while (!fixture.store.has(storeKeys::claims + "ledger"))
        fixture.run(Milliseconds(25));
    cr_assert(fixture.promotions.promoted.empty(), "it waits for the log positions of the replicas");
    fixture.store.restoreCopy();
    cr_assert(!fixture.store.has(storeKeys::claims + "ledger"));
    fixture.driver.onStoreEra(1, fixture.timers.now());
    fixture.run(Milliseconds(1400));
    cr_assert(fixture.promotions.promoted.empty(), "another daemon may hold the claim of the new era");
    fixture.run(Milliseconds(6000));
    cr_assert_geq(fixture.promotions.promoted.size(), 1U);
    cr_assert(fixture.promotions.promoted.back() == fixture.c);
    for (const std::uint64_t fence : fixture.promotions.fences)
        cr_assert_eq(storeEra::eraOf(fence), 1U);
}

// Another daemon's promotion call is in progress when the store is restored, and its record of an unfinished change is
// lost. Guards against a change that begins before that call has taken effect.
Test(PromotionDriver, startsNoChangeRightAfterAStoreRestore)
{
    Fixture fixture;
    FakeConfirmer confirmer;
    fixture.driver.setSuspicionConfirmer(&confirmer);
    fixture.endpoints.crash(fixture.a);
    fixture.run(Milliseconds(1500));
    cr_assert_geq(confirmer.queries, 1U);
    fixture.driver.onStoreEra(1, fixture.timers.now());
    confirmer.verdict = FailureConfirmation::Verdict::Confirmed;
    fixture.run(Milliseconds(1400));
    cr_assert(fixture.promotions.promoted.empty());
    fixture.run(Milliseconds(1500));
    cr_assert_eq(fixture.promotions.promoted.size(), 1U);
}
