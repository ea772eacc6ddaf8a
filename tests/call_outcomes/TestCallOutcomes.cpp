#include "failover/CallOutcomeSteps.h"

using namespace almondlever;
using namespace almondlever::promotionSteps;

// Guards against the loss of acknowledged commits when an unanswered call is carried out after the change was given up
// because the list of members could not be read: resumed replicas have helped the old primary to acknowledge commits
// that the called endpoint lacks.
Test(CallOutcomes, unreadableMembersLeaveAnUnansweredCallToARecovery)
{
    auto promotion = makeUnansweredPromotion();
    cr_assert(has(promotion.onTick(at(500)), Kind::Promote, b));
    const auto orders = promotion.onChoiceOutdated("the members could not be read", at(510));
    expectLeftOpen(promotion, orders, 525);
}

// Guards against the same when an endpoint started again while the list of members was read.
Test(CallOutcomes, changedMembersLeaveAnUnansweredCallToARecovery)
{
    auto promotion = makeUnansweredPromotion();
    cr_assert(has(promotion.onTick(at(500)), Kind::Promote, b));
    promotion.onMembers({ { a, true, false }, { b, false, false }, { c, false, false, Milliseconds(9) } });
    cr_assert_not(promotion.isChoiceComplete());
    const auto orders = promotion.onChoiceOutdated("the members have changed", at(510));
    expectLeftOpen(promotion, orders, 525);
}

// Guards against the same when the old primary answers meanwhile and still leads in the old term: it acknowledges
// commits with every replica that is resumed.
Test(CallOutcomes, returnedPrimaryDoesNotEndAnUnansweredCall)
{
    auto promotion = makeUnansweredPromotion();
    cr_expect(!hasAny(promotion.onStatus(a, Kind::QueryStatus, primary(14), at(200)), Kind::Resume));
    cr_assert(has(promotion.onTick(at(500)), Kind::Promote, b));
    const auto orders = promotion.onChoiceOutdated("the members could not be read", at(510));
    expectLeftOpen(promotion, orders, 525);
}

// Guards against an old primary that counts as promoted again because of an answer from before it stepped down:
// replicas would be resumed, and its former term recorded, before the call has taken effect.
Test(CallOutcomes, answerInTheFormerTermDoesNotConfirmTheOldPrimary)
{
    auto promotion = makePromotion(PromotionReason::PrimaryStalled);
    promotion.start(start, true);
    promotion.onStepDown(answered(replica(20)), at(20));
    promotion.onStatus(b, Kind::QueryStatus, std::nullopt, at(40));
    promotion.onStatus(c, Kind::QueryStatus, replica(18), at(40));
    cr_assert(has(promotion.onTick(at(500)), Kind::Promote, a));
    promotion.onPromotionResult(PromotionResult::Accepted, at(520));
    promotion.onStatus(a, Kind::QueryStatus, primary(20, 3), at(540));
    cr_expect_eq(promotion.leadingTerm(), 0U, "it led in term 3 before it stepped down");
    cr_expect(!promotion.isFinished());
    promotion.onStatus(a, Kind::QueryStatus, primary(20, 4), at(900));
    cr_expect_eq(promotion.leadingTerm(), 4U);
}

// Guards against commits that are lost to an older call: it was accepted just before the recovery's own call, and makes
// its endpoint the primary after the one that the recovery promoted was seen to lead.
Test(CallOutcomes, recoveryByCountWaitsUntilOlderCallsHaveTakenEffect)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(a, Kind::QueryStatus, std::nullopt, at(5));
    promotion.onStatus(b, Kind::QueryStatus, replica(12), at(10));
    promotion.onStatus(c, Kind::QueryStatus, replica(8), at(15));
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote, b));
    constexpr int acceptedAt = 60;
    const int resumedAt = acceptedAt + static_cast<int>(PromotionSettings().promotionEffectTime.count());
    promotion.onPromotionResult(PromotionResult::Accepted, at(acceptedAt));
    for (int time = 100; time < resumedAt; time += 60) {
        cr_expect(!hasAny(promotion.onStatus(b, Kind::QueryStatus, primary(12, 4), at(time)), Kind::Resume),
            "resumed at %d ms", time);
        cr_expect(!hasAny(promotion.onTick(at(time + 25)), Kind::Resume));
        cr_assert(!promotion.isFinished(), "ended at %d ms", time);
    }
    const auto orders = promotion.onStatus(b, Kind::QueryStatus, primary(12, 4), at(resumedAt));
    cr_expect(has(orders, Kind::Resume, c));
    promotion.onStatus(c, Kind::Resume, replica(12, 4), at(resumedAt + 20));
    promotion.onStatus(a, Kind::Resume, replica(12, 4), at(resumedAt + 20));
    cr_expect(promotion.hasSucceeded());
}

// Guards against a recovery of one endpoint, which has no replica to resume, that ends while an older call can still
// take effect.
Test(CallOutcomes, recoveryWithoutReplicasEndsAfterOlderCallsHaveTakenEffect)
{
    auto promotion = makePromotion(PromotionReason::Recovery, { { b, false, false } });
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(12), at(10));
    cr_assert(has(promotion.onStatus(b, Kind::Pause, replica(12), at(20)), Kind::Promote, b));
    promotion.onPromotionResult(PromotionResult::Accepted, at(60));
    promotion.onStatus(b, Kind::QueryStatus, primary(12, 4), at(100));
    cr_expect(!promotion.isFinished());
    const int limit = 60 + static_cast<int>(PromotionSettings().promotionEffectTime.count());
    promotion.onStatus(b, Kind::QueryStatus, primary(12, 4), at(limit));
    cr_expect(promotion.hasSucceeded());
}

// Guards against two endpoints called with one fencing token: the platform accepts an equal token, so that the first
// call, carried out after the second one, makes an endpoint the primary that lacks what the second one acknowledged.
// Here the primary that the recovery called answers late, and is then ordered to step down for another endpoint.
Test(CallOutcomes, recoveryCallsNoReplicaAfterThePrimaryThatItCalledSteppedDown)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start, true);
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
    add(promotion.onStatus(a, Kind::QueryStatus, primary(22), at(1070)));
    add(promotion.onStepDown(answered(replica(22)), at(1090)));
    add(promotion.onStatus(c, Kind::QueryStatus, replica(20), at(1100)));
    add(promotion.onStatus(b, Kind::QueryStatus, replica(22), at(1110)));
    cr_expect(!has(orders, Kind::Promote, b));
    cr_expect(!has(orders, Kind::Promote, c));
    expectLeftOpen(promotion, orders, 1125);
}

// Guards against the same when another endpoint leads meanwhile, through a late call of the unfinished change.
Test(CallOutcomes, recoveryCallsNoOtherPrimaryAfterAnUnansweredCall)
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
    add(promotion.onStatus(a, Kind::QueryStatus, replica(20, 4), at(1010)));
    add(promotion.onStatus(c, Kind::QueryStatus, replica(20, 4), at(1020)));
    add(promotion.onStatus(b, Kind::QueryStatus, primary(25, 4), at(1030)));
    cr_expect(!has(orders, Kind::Promote, b));
    expectLeftOpen(promotion, orders, 1050);
}

// Guards against an attempt that ends before its time limits, and a longer time without a primary: the failed query to
// the primary counted as the answer of a replica.
Test(CallOutcomes, unreachablePrimaryIsNotCountedAsAReplica)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(a, Kind::QueryStatus, std::nullopt, at(10));
    const auto first = promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_expect(!hasAny(first, Kind::Resume));
    const auto limit = static_cast<int>(PromotionSettings().fenceTimeout.count());
    cr_expect(!hasAny(ordersUntil(promotion, 45, limit), Kind::Resume), "b may have to wait for c until the limit");
    cr_expect(has(promotion.onStatus(c, Kind::Pause, replica(8), at(limit)), Kind::Promote, b));
}

// Guards against a replica that stays paused: it joined during the call, and its answer to the pause is late or lost.
Test(CallOutcomes, joinedMemberWhosePauseIsUnansweredIsResumed)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote, b));
    promotion.onPromotionResult(PromotionResult::Accepted, at(60));
    cr_assert(has(promotion.onMembers({ { d, false, false } }), Kind::Pause, d));
    const auto orders = promotion.onStatus(b, Kind::QueryStatus, primary(12, 4), at(400));
    cr_expect(has(orders, Kind::Resume, c));
    cr_expect(has(orders, Kind::Resume, d));
}
