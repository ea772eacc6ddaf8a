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
