#include "mocks/PromotionFixture.h"

using namespace almondlever;

namespace {

constexpr Milliseconds normalPeriod { 4000 };
/** Time to a change's first call once one can be made. */
constexpr Milliseconds callLimit { 5000 };

/** Runs until c has been called in place of the primary, which is out of reach; b is paused. */
void runUntilCall(PromotionFixture& fixture)
{
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c });
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return !fixture.promotions.calls.empty(); }));
    cr_assert(fixture.promotions.calls[0].endpoint == fixture.c);
    cr_assert_neq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
}

} // namespace

// Guards against resuming replicas, or closing the record, when the claim is lost while a call has no answer.
Test(PromotionCallOutcomes, lostClaimLeavesAnUnansweredCallOpen)
{
    PromotionFixture fixture;
    fixture.promotions.unansweredCalls = 100;
    fixture.promotions.lateBy = Milliseconds(12000);
    runUntilCall(fixture);
    fixture.store.isDown = true;
    cr_assert(fixture.runUntil(Milliseconds(4000), [&] { return fixture.driver().isIdle(); }));
    fixture.run(Milliseconds(500));
    cr_expect_neq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
    fixture.store.isDown = false;
    fixture.run(Milliseconds(500));
    cr_expect_neq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
    cr_expect_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
}

// Guards against the same when a daemon with a newer fencing token has called the platform since.
Test(PromotionCallOutcomes, refusalOfTheRepeatedCallLeavesTheChangeOpen)
{
    PromotionFixture fixture;
    fixture.promotions.unansweredCalls = 1;
    runUntilCall(fixture);
    const std::uint64_t newer = fixture.promotions.calls[0].fence + 100000;
    fixture.promotions.promote(fixture.group, fixture.c, "vm-2", newer, [](PromotionResult, const std::string&) {});
    cr_assert(fixture.runUntil(Milliseconds(2000), [&] { return fixture.driver().isIdle(); }));
    cr_assert_eq(fixture.promotions.calls.size(), 3U, "the call, that of the other daemon and the repeated one");
    cr_expect_neq(fixture.endpoints.server(fixture.b).pausedIn, 0U, "the other daemon relies on the pause");
    fixture.run(Milliseconds(50));
    cr_expect_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
}

// Guards against an endpoint that is listed between the call and its effect and receives commits from the old primary,
// which the called endpoint lacks.
Test(PromotionCallOutcomes, memberThatJoinsBetweenCallAndEffectIsPaused)
{
    PromotionFixture fixture;
    fixture.promotions.effectTime = Milliseconds(1000);
    runUntilCall(fixture);
    const EndpointId d("d");
    fixture.endpoints.server(d).position = {};
    fixture.list(d);
    fixture.run(Milliseconds(200));
    cr_assert(!fixture.leads(fixture.c));
    cr_expect_neq(fixture.endpoints.server(d).pausedIn, 0U);
    cr_assert(fixture.runUntil(Milliseconds(2000), [&] { return fixture.driver().isIdle(); }));
    cr_expect(fixture.leads(fixture.c));
    cr_expect_eq(fixture.endpoints.server(d).pausedIn, 0U, "it must receive again from the new primary");
}

namespace {

/** Other daemons that do not answer. */
class SilentRelay final : public StepDownRelay {
public:
    bool hasPeers(const GroupId&) const override { return false; }
    void request(const GroupId&, const EndpointId&, Term, std::uint64_t, Callback, TimePoint) override { ++requests; }
    bool areAllHolding(const GroupId&, std::uint64_t) const override { return false; }
    LogPosition acknowledgedPosition(const GroupId&, std::uint64_t) const override { return {}; }
    void close(const GroupId&, std::uint64_t, const EndpointId&, Term, TimePoint) override { }

    std::size_t requests = 0;
};

} // namespace

// Guards against the call for a replica although a compared one has received a commit while the call waited for daemons
// that do not answer.
Test(PromotionCallOutcomes, pauseBrokenDuringTheWaitForHoldsPreventsTheCall)
{
    PromotionFixture fixture;
    SilentRelay relay;
    fixture.setRelay(&relay);
    fixture.driver().setMembersRefresh([](const std::function<void(bool)>& done) { done(true); });
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c });
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return relay.requests > 0; }));
    cr_assert(fixture.runUntil(Milliseconds(1000), [&] { return fixture.endpoints.server(fixture.b).pausedIn != 0; }));
    fixture.run(Milliseconds(200));
    cr_assert(fixture.promotions.calls.empty(), "the call waits for the daemons");
    // A delayed order to resume of an earlier change; a daemon that reaches the old primary writes.
    fixture.acknowledge({ 1, 140 }, { fixture.a, fixture.b });
    cr_assert(fixture.runUntil(Milliseconds(8000), [&] { return !fixture.promotions.promoted.empty(); }));
    fixture.run(Milliseconds(2000));
    cr_expect(fixture.promotions.incomplete.empty(), "b holds an acknowledged commit that c lacks");
}

// Guards against a hold that ends because the store was restored from a copy of before the change: its record has a
// revision of the new era, and the calls of the change may still be carried out.
Test(PromotionCallOutcomes, restoreOfTheStoreEndsNoHold)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    const TimePoint now = fixture.timers.now();
    const std::uint64_t fence = storeEra::combine(1, 50);
    fixture.driver().onClaim(fixture.group, true, now, ClaimedWrites::Held);
    fixture.driver().onChangeRecord(fixture.group, true, now, fence);
    fixture.driver().onKeysReported(now);
    fixture.driver().onHoldRequest(fixture.group, fence, true, now);
    cr_assert(!fixture.write());
    fixture.driver().onStoreEra(2, fixture.timers.now());
    fixture.driver().onClaim(fixture.group, false, fixture.timers.now());
    fixture.driver().onChangeRecord(fixture.group, false, fixture.timers.now(), storeEra::combine(2, 40));
    fixture.driver().onKeysReported(fixture.timers.now());
    cr_expect(!fixture.write(), "no call with a newer fencing token has been accepted");
}

namespace {

/** Notes the ends of holds that the daemon announces. */
class RecordingRelay final : public StepDownRelay {
public:
    bool hasPeers(const GroupId&) const override { return true; }
    void request(const GroupId&, const EndpointId&, Term, std::uint64_t, Callback, TimePoint) override { }
    bool areAllHolding(const GroupId&, std::uint64_t) const override { return true; }
    LogPosition acknowledgedPosition(const GroupId&, std::uint64_t) const override { return {}; }
    void close(const GroupId&, std::uint64_t fence, const EndpointId&, Term, TimePoint) override
    {
        closed.insert(fence);
    }

    std::set<std::uint64_t> closed;
};

} // namespace

// Guards against other daemons that hold writes back between the recoveries of a hand-over, whose calls are resolved,
// because one replica cannot be resumed: the record is open and nobody has a claim.
Test(PromotionCallOutcomes, replicaThatCannotBeResumedHoldsNoWritesAfterAHandOver)
{
    PromotionFixture fixture;
    RecordingRelay relay;
    fixture.setRelay(&relay);
    fixture.run(normalPeriod);
    fixture.announceExit(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] {
        return fixture.endpoints.server(fixture.b).pausedIn != 0 || fixture.endpoints.server(fixture.c).pausedIn != 0;
    }));
    const EndpointId paused = fixture.endpoints.server(fixture.b).pausedIn != 0 ? fixture.b : fixture.c;
    const std::string record = storeKeys::changes + "ledger";
    cr_assert(fixture.runUntil(callLimit, [&] { return !fixture.promotions.promoted.empty(); }));
    fixture.endpoints.server(paused).isSilent = true;
    Milliseconds held { 0 };
    std::size_t holds = 0;
    bool wasHeld = false;
    for (int tick = 0; tick < 400; ++tick) {
        fixture.run(StatementDispatcher::tickInterval);
        const bool isOpen = fixture.store.valueOf(record) == storeKeys::changeOpen
            && !fixture.store.has(storeKeys::claims + "ledger")
            && relay.closed.count(fixture.store.revisionOf(record)) == 0;
        held += isOpen ? StatementDispatcher::tickInterval : Milliseconds(0);
        holds += isOpen && !wasHeld ? 1 : 0;
        wasHeld = isOpen;
    }
    cr_expect_eq(holds, 0U, "%zu holds, %lld ms of 10 s", holds, static_cast<long long>(held.count()));
}

// Guards against a group whose writes are held for ever: the daemon that lost the race for a claim forgets that the
// record of the winner, which has died since, is open.
Test(PromotionCallOutcomes, lostRaceForTheClaimDoesNotHideAnOpenChange)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.makeUnreachable(fixture.a);
    const std::string claim = storeKeys::claims + "ledger";
    const std::string record = storeKeys::changes + "ledger";
    cr_assert(fixture.runUntil(callLimit, [&] { return !fixture.driver().isIdle(); }));
    // The record has been read, and the claim is on its way to the store.
    fixture.run(fixture.store.delay + Milliseconds(1));
    const TimePoint now = fixture.timers.now();
    fixture.store.put(claim, "vm-2 1 hold");
    fixture.store.put(record, storeKeys::changeOpen);
    fixture.driver().onClaim(fixture.group, true, now, ClaimedWrites::Held);
    fixture.driver().onChangeRecord(fixture.group, true, now, fixture.store.revisionOf(record));
    fixture.driver().onKeysReported(now);
    cr_assert(fixture.runUntil(Milliseconds(2000), [&] { return fixture.driver().isIdle(); }));
    cr_assert(fixture.promotions.calls.empty());
    // The primary is back, the winner dies, and its lease ends.
    fixture.bringBack(fixture.a);
    fixture.run(Milliseconds(3000));
    fixture.store.erase(claim);
    fixture.driver().onClaim(fixture.group, false, fixture.timers.now());
    fixture.driver().onKeysReported(fixture.timers.now());
    fixture.run(Milliseconds(15000));
    cr_expect(fixture.write(), "no recovery has ended the hold");
}

// Guards against a recovery that makes a former primary lead again, which was cut off and still answers as the primary
// of its term, while the present primary is out of reach.
Test(PromotionCallOutcomes, recoveryDoesNotConfirmAFormerPrimary)
{
    PromotionFixture fixture;
    runUntilCall(fixture);
    cr_assert(fixture.runUntil(Milliseconds(4000), [&] { return fixture.driver().isIdle(); }));
    cr_assert(fixture.leads(fixture.c));
    const Term term = fixture.endpoints.server(fixture.c).position.term;
    fixture.acknowledge({ term, 150 }, { fixture.b, fixture.c });
    fixture.run(Milliseconds(500));
    fixture.bringBack(fixture.a);
    fixture.run(Milliseconds(3000));
    fixture.endpoints.server(fixture.a).leads = true;
    fixture.endpoints.server(fixture.c).isSilent = true;
    fixture.store.put(storeKeys::changes + "ledger", storeKeys::changeOpen);
    fixture.driver().onChangeRecord(fixture.group, true, fixture.timers.now());
    fixture.promotions.incomplete.clear();
    fixture.run(Milliseconds(8000));
    cr_expect(std::none_of(fixture.promotions.calls.begin(), fixture.promotions.calls.end(),
                  [&](const auto& call) { return call.endpoint == fixture.a; }),
        "b holds commits of a newer term");
    cr_expect(fixture.promotions.incomplete.empty());
}
