#include "CallOutcomeSteps.h"

using namespace almondlever;
using namespace almondlever::promotionSteps;

// Guards against replicas that stay paused until a recovery because a choice is given up before the platform was
// called.
Test(CallOutcomes, outdatedChoiceBeforeTheFirstCallResumesTheReplicas)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote, b));
    const auto orders = promotion.onChoiceOutdated("the members could not be read", at(50));
    cr_expect(has(orders, Kind::Resume, b));
    cr_expect(has(orders, Kind::Resume, c));
    cr_expect(!promotion.needsRecovery());
}

// A refusal after an unanswered call shows a newer fencing token, or that the endpoint is not running. The unanswered
// call may have been accepted before that and take effect up to promotionEffectTime later, and the holder of the newer
// token relies on the pauses. Guards against resuming replicas, and against recording the change as done.
Test(CallOutcomes, refusalOfTheRepeatedCallLeavesTheChangeOpen)
{
    auto promotion = makeUnansweredPromotion();
    cr_assert(has(promotion.onTick(at(500)), Kind::Promote, b));
    const auto orders = promotion.onPromotionResult(PromotionResult::Refused, at(520));
    expectLeftOpen(promotion, orders, 525);
}

// Guards against calling another endpoint with the same fencing token after the old primary has stepped down: the
// unanswered call may be carried out after the other one.
Test(CallOutcomes, refusalOfTheRepeatedCallAfterAStepDownCallsNobodyElse)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start, true);
    promotion.onStepDown(answered(replica(20)), at(20));
    promotion.onStatus(c, Kind::QueryStatus, replica(20), at(40));
    cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, replica(20), at(40)), Kind::Promote, b));
    promotion.onPromotionResult(PromotionResult::Unknown, at(60));
    cr_assert(has(promotion.onTick(at(500)), Kind::Promote, b));
    const auto orders = promotion.onPromotionResult(PromotionResult::Refused, at(520));
    cr_expect(!hasAny(orders, Kind::Promote));
    expectLeftOpen(promotion, orders, 525);
}

// Guards against resuming replicas when no call is ever answered, and against calling another endpoint meanwhile.
Test(CallOutcomes, platformThatNeverAnswersLeavesTheChangeOpen)
{
    for (const PromotionReason reason : { PromotionReason::PrimaryFailed, PromotionReason::Recovery }) {
        auto promotion = makeUnansweredPromotion(reason);
        const auto orders = ordersUntil(promotion, 75, afterAllTimeouts);
        cr_expect(has(orders, Kind::Promote, b));
        cr_expect(!has(orders, Kind::Promote, a));
        cr_expect(!has(orders, Kind::Promote, c));
        expectLeftOpen(promotion, orders, afterAllTimeouts);
    }
}

// Guards against resuming replicas when the repeated call was accepted and the endpoint is not seen to lead in time.
Test(CallOutcomes, confirmationTimeoutLeavesTheChangeOpen)
{
    auto promotion = makeUnansweredPromotion();
    cr_assert(has(promotion.onTick(at(500)), Kind::Promote, b));
    const auto orders = promotion.onPromotionResult(PromotionResult::Accepted, at(520));
    expectLeftOpen(promotion, orders, 525);
}

// Guards against giving up an unanswered call because the old primary answers and still leads in the old term.
Test(CallOutcomes, primaryThatStillLeadsDoesNotEndAnUnansweredCall)
{
    auto promotion = makeUnansweredPromotion();
    GroupPromotion::Orders orders = promotion.onStatus(a, Kind::QueryStatus, primary(14), at(200));
    const auto reported = promotion.onStepDown(answered(primary(14)), at(210));
    orders.insert(orders.end(), reported.begin(), reported.end());
    expectLeftOpen(promotion, orders, 225);
}

// Guards against the same when the called endpoint starts again without its log.
Test(CallOutcomes, restartOfTheCalledEndpointLeavesTheChangeOpen)
{
    auto promotion = makeUnansweredPromotion();
    const auto orders
        = promotion.onMembers({ { a, true, false }, { b, false, false, Milliseconds(9) }, { c, false, false } });
    expectLeftOpen(promotion, orders, 75);
}

// Guards against a hand-over that is recorded as done although the call that probes the platform got no answer: it
// would make the leaving endpoint the primary again after a later change.
Test(CallOutcomes, unansweredProbeLeavesTheChangeOpen)
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false }, { c, false, false } });
    promotion.start(start);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    cr_assert(has(promotion.onTick(at(300)), Kind::Promote, a));
    const auto orders = promotion.onPromotionResult(PromotionResult::Unknown, at(700));
    expectLeftOpen(promotion, orders, 725);
}

// Guards against two endpoints called with one fencing token: the platform accepts an equal token, so that the first
// call, carried out after the second one, makes an endpoint the primary that lacks what the second one acknowledged.
Test(CallOutcomes, recoveryCallsNoReplicaAfterAnUnansweredCallForThePrimary)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(20));
    promotion.onStatus(c, Kind::QueryStatus, replica(20), at(20));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(20)), Kind::Promote, a));
    promotion.onPromotionResult(PromotionResult::Unknown, at(520));
    GroupPromotion::Orders orders = ordersUntil(promotion, 775, 1000);
    const auto add
        = [&orders](const GroupPromotion::Orders& more) { orders.insert(orders.end(), more.begin(), more.end()); };
    add(promotion.onStatus(a, Kind::QueryStatus, std::nullopt, at(1010)));
    add(promotion.onStatus(b, Kind::QueryStatus, replica(22), at(1020)));
    add(promotion.onStatus(c, Kind::QueryStatus, replica(20), at(1030)));
    add(promotion.onStatus(b, Kind::Pause, replica(22), at(1040)));
    add(promotion.onStatus(c, Kind::Pause, replica(20), at(1050)));
    cr_expect(!has(orders, Kind::Promote, b));
    expectLeftOpen(promotion, orders, 1075);
}

// Guards against a recovery that ends, or resumes replicas, while an older call that was accepted just before its own
// one may still take effect.
Test(CallOutcomes, recoveryThatConfirmsThePrimaryWaitsUntilOlderCallsHaveTakenEffect)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    promotion.onStatus(c, Kind::QueryStatus, replica(20), at(10));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(20)), Kind::Promote, a));
    constexpr int acceptedAt = 60;
    const int resumedAt = acceptedAt + static_cast<int>(PromotionSettings().promotionEffectTime.count());
    promotion.onPromotionResult(PromotionResult::Accepted, at(acceptedAt));
    for (int time = 100; time < resumedAt; time += 60) {
        cr_expect(!hasAny(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(time)), Kind::Resume));
        cr_expect(!hasAny(promotion.onTick(at(time + 25)), Kind::Resume));
        cr_assert(!promotion.isFinished(), "ended at %d ms", time);
    }
    const auto orders = promotion.onStatus(a, Kind::QueryStatus, primary(20), at(resumedAt));
    cr_expect(has(orders, Kind::Resume, b));
    cr_expect(has(orders, Kind::Resume, c));
}

// Guards against an endpoint that joins between the call and its effect, receives from the old primary, and helps it to
// acknowledge commits that the called endpoint lacks.
Test(CallOutcomes, memberThatJoinsBetweenCallAndEffectIsPaused)
{
    auto unanswered = makeUnansweredPromotion();
    cr_expect(has(unanswered.onMembers({ { d, false, false } }), Kind::Pause, d));
    auto accepted = makeUnansweredPromotion();
    cr_assert(has(accepted.onTick(at(500)), Kind::Promote, b));
    accepted.onPromotionResult(PromotionResult::Accepted, at(520));
    cr_expect(has(accepted.onMembers({ { d, false, false } }), Kind::Pause, d));
    cr_expect(has(accepted.onTick(at(620)), Kind::Pause, d), "its restart would end the pause");
}

// Guards against a first call that is made although a compared replica has received more than the chosen one while the
// call waited for the daemons to hold writes.
Test(CallOutcomes, pauseBrokenBeforeTheFirstCallMakesTheChoiceIncomplete)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.setMissingHolders(std::vector<LogHolder>(), LogPosition());
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote, b));
    cr_assert(promotion.isChoiceComplete());
    cr_assert(has(promotion.onTick(at(200)), Kind::Pause, c));
    promotion.onStatus(c, Kind::Pause, replica(15), at(210));
    cr_assert(promotion.wasPauseBroken());
    cr_expect(!promotion.isChoiceComplete(), "the log of c is longer than that of the chosen endpoint");
}

// Guards against a recovery that confirms a former primary, which still answers as the primary of its term, because the
// present one does not answer: the call would make it lead without the commits of the newer term.
Test(CallOutcomes, recoveryConfirmsNoPrimaryOfAnOlderTerm)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, std::nullopt, at(10));
    promotion.onStatus(c, Kind::QueryStatus, replica(30, 5), at(10));
    GroupPromotion::Orders orders = promotion.onStatus(a, Kind::QueryStatus, primary(20), at(20));
    const auto due = ordersUntil(promotion, 25, 400);
    orders.insert(orders.end(), due.begin(), due.end());
    cr_expect(!has(orders, Kind::Promote, a), "c follows a primary of term 5");
}
