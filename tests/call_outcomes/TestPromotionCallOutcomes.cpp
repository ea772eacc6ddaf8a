#include "mocks/PromotionFixture.h"

using namespace almondlever;

namespace {

constexpr Milliseconds normalPeriod { 4000 };
/** Time to a change's first call once one can be made. */
constexpr Milliseconds callLimit { 5000 };

/** A group whose primary is out of reach, with c called and b paused; the call is unanswered and carried out late. */
struct UnansweredCall {
    PromotionFixture fixture;
    bool areMembersReadable = true;

    UnansweredCall()
    {
        fixture.run(normalPeriod);
        fixture.driver().setMembersRefresh(
            [this](const std::function<void(bool)>& callback) { callback(areMembersReadable); });
        fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c });
        fixture.promotions.unansweredCalls = 1;
        fixture.makeUnreachable(fixture.a);
        cr_assert(fixture.runUntil(callLimit, [&] { return !fixture.promotions.calls.empty(); }));
        cr_assert(fixture.promotions.calls[0].endpoint == fixture.c);
    }

    std::string record() const { return fixture.store.valueOf(storeKeys::changes + "ledger"); }
};

/** Expects the other replica to be paused and the record to be open until a recovery's call has taken effect. */
void expectPausedUntilEffect(PromotionFixture& fixture, const EndpointId& paused)
{
    // The call of the change that is to be recovered may have been accepted just before the recovery's own call.
    const Duration waitingTime = PromotionFixture::Promotions::answerTime + PromotionSettings().promotionEffectTime;
    const TimePoint calledAt = fixture.timers.now();
    while (fixture.timers.now() - calledAt < waitingTime - StatementDispatcher::tickInterval) {
        cr_assert_neq(fixture.endpoints.server(paused).pausedIn, 0U, "resumed %lld ms after the call",
            static_cast<long long>(std::chrono::duration_cast<Milliseconds>(fixture.timers.now() - calledAt).count()));
        cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
        fixture.run(StatementDispatcher::tickInterval);
    }
}

} // namespace

// Guards against a change that is recorded as done, and replicas that are resumed, while its unanswered call can still
// be carried out: the members could not be read when it was to be repeated.
Test(PromotionCallOutcomes, changeWithAnUnansweredCallStaysOpenWhenTheMembersCannotBeRead)
{
    UnansweredCall call;
    PromotionFixture& fixture = call.fixture;
    call.areMembersReadable = false;
    // Until shortly before the call is carried out. Other attempts may begin, but none can call the platform.
    const TimePoint end = fixture.timers.now() + fixture.promotions.lateBy - Milliseconds(100);
    while (fixture.timers.now() < end) {
        cr_assert_neq(fixture.endpoints.server(fixture.b).pausedIn, 0U, "b may help the old primary");
        cr_assert_eq(call.record(), storeKeys::changeOpen);
        fixture.run(StatementDispatcher::tickInterval);
    }
}

// Guards against the loss that follows: the old primary is back and acknowledges commits with a resumed replica, and
// then the late call makes another endpoint the primary.
Test(PromotionCallOutcomes, lateCallOfAnEndedChangeLosesNoCommit)
{
    UnansweredCall call;
    PromotionFixture& fixture = call.fixture;
    call.areMembersReadable = false;
    // No order to step down takes effect at it.
    fixture.endpoints.server(fixture.a).knowsStepDown = false;
    const TimePoint unreadableUntil = fixture.timers.now() + Milliseconds(2500);
    const TimePoint end = fixture.timers.now() + fixture.promotions.lateBy + callLimit;
    // The primary is back when the call is due again.
    fixture.run(PromotionFixture::Promotions::callTimeout + PromotionSettings().promoteRetryInterval);
    fixture.bringBack(fixture.a);
    while (fixture.timers.now() < end) {
        call.areMembersReadable = fixture.timers.now() >= unreadableUntil;
        // c receives nothing: a is cut off from it.
        if (fixture.leads(fixture.a) && fixture.endpoints.server(fixture.b).pausedIn == 0) {
            const LogPosition last = fixture.endpoints.server(fixture.a).position;
            fixture.acknowledge(
                { last.term, std::max(last.index, fixture.acknowledged.index) + 1 }, { fixture.a, fixture.b });
        }
        fixture.run(StatementDispatcher::tickInterval);
    }
    cr_expect(fixture.promotions.incomplete.empty(), "the promoted endpoint lacks acknowledged commits");
    cr_expect(fixture.write(), "the group must serve writes again");
}

// Guards against a recovery by count that resumes replicas, and records the change as done, as soon as the endpoint
// that it chose leads: an older call, accepted just before, may still make another endpoint the primary.
Test(PromotionCallOutcomes, recoveryByCountHoldsThePausesUntilOlderCallsHaveTakenEffect)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c });
    fixture.crash(fixture.a);
    fixture.store.put(storeKeys::changes + "ledger", storeKeys::changeOpen);
    fixture.driver().onChangeRecord(fixture.group, true, fixture.timers.now());
    cr_assert(fixture.runUntil(callLimit, [&] { return !fixture.promotions.calls.empty(); }));
    cr_assert(fixture.promotions.calls[0].endpoint == fixture.c);
    expectPausedUntilEffect(fixture, fixture.b);
    cr_assert(fixture.leads(fixture.c));
    fixture.run(Milliseconds(1000));
    cr_expect_eq(fixture.endpoints.server(fixture.b).pausedIn, 0U);
    cr_expect_eq(fixture.store.valueOf(storeKeys::changes + "ledger"),
        RecordedLeader::encode(RecordedLeader { fixture.c, 2 }), "finished, with its leader");
}

// Guards against a finished change whose record stays open, so that the group is held and recovered needlessly: the
// store did not answer when the claim was released, and the change itself is gone when the store is back.
Test(PromotionCallOutcomes, finishedChangeIsRecordedOnceTheStoreIsBack)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c });
    fixture.crash(fixture.a);
    cr_assert(fixture.runUntil(callLimit, [&] { return fixture.leads(fixture.c); }));
    fixture.store.isDown = true;
    cr_assert(fixture.runUntil(Milliseconds(1500), [&] { return fixture.driver().isIdle(); }));
    fixture.run(Milliseconds(500));
    cr_assert_eq(fixture.store.valueOf(storeKeys::changes + "ledger"), storeKeys::changeOpen);
    fixture.store.isDown = false;
    fixture.run(Milliseconds(3000));
    cr_expect_eq(
        fixture.store.valueOf(storeKeys::changes + "ledger"), RecordedLeader::encode(RecordedLeader { fixture.c, 2 }));
    cr_expect_eq(fixture.promotions.calls.size(), 1U, "there is nothing to recover");
}
