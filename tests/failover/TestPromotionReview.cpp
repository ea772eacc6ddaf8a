#include "PromotionSteps.h"

using namespace almondlever;
using namespace almondlever::promotionSteps;

namespace {

/** b is chosen by count with position 12 and c is paused at 8; the platform has not answered the call. */
GroupPromotion makeUnansweredPromotion()
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote, b));
    promotion.onPromotionResult(PromotionResult::Unknown, at(60));
    return promotion;
}

} // namespace

// Guards against calling the platform again after a replica has received commits that the chosen one lacks: its pause
// was ended by a delayed resume order or a restart, and an unreachable primary acknowledged them with its help.
Test(GroupPromotion, callIsNotRepeatedAfterAPauseWasBroken)
{
    auto promotion = makeUnansweredPromotion();
    promotion.onStatus(c, Kind::Pause, replica(15), at(200));
    cr_assert(promotion.wasPauseBroken());
    cr_assert(!hasAny(promotion.onTick(at(500)), Kind::Promote), "b lacks commits up to 15");
}

// Guards against calling the platform again after a compared replica has started again without its log and without its
// pause: the logs that are left are too few.
Test(GroupPromotion, callIsNotRepeatedAfterAComparedReplicaRestarted)
{
    auto promotion = makeUnansweredPromotion();
    promotion.onMembers({ { a, true, false }, { b, false, false }, { c, false, false, Milliseconds(9) } });
    cr_assert_not(promotion.isChoiceComplete());
    cr_assert(!hasAny(promotion.onTick(at(500)), Kind::Promote));
}

// Guards against making a former primary lead again: while the recovery's call for the present primary is unanswered,
// the late call of the unfinished change makes another endpoint the primary, which acknowledges commits.
Test(GroupPromotion, recoveryAsksAgainBeforeItRepeatsItsCall)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(20));
    promotion.onStatus(c, Kind::QueryStatus, replica(20), at(20));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(20)), Kind::Promote, a));
    promotion.onPromotionResult(PromotionResult::Unknown, at(520));
    cr_assert(!has(promotion.onTick(at(1000)), Kind::Promote, a), "a may have lost its lead since it answered");
}

// Guards against the same when the answer that shows the loss of the lead has arrived.
Test(GroupPromotion, recoveryDoesNotRepeatItsCallForAPrimaryThatLostItsLead)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(20));
    promotion.onStatus(c, Kind::QueryStatus, replica(20), at(20));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(20)), Kind::Promote, a));
    promotion.onPromotionResult(PromotionResult::Unknown, at(520));
    promotion.onStatus(b, Kind::QueryStatus, primary(25, 4), at(530));
    promotion.onStatus(a, Kind::QueryStatus, replica(20, 4), at(540));
    cr_assert(!has(promotion.onTick(at(1000)), Kind::Promote, a), "b leads in term 4 and has acknowledged more");
}

// Guards against a daemon that ends when the primary starts again without its log during a hand-over.
Test(GroupPromotion, primaryThatRestartsDuringAHandOverEndsIt)
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false }, { c, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    promotion.onStatus(c, Kind::QueryStatus, replica(18), at(20));
    promotion.onStatus(c, Kind::Pause, replica(18), at(40));
    promotion.onMembers({ { a, false, false, Milliseconds(9) }, { b, false, false }, { c, false, false } });
    cr_assert(!hasAny(promotion.onTick(at(200)), Kind::Promote));
}

// Guards against a daemon that ends when the old primary starts again without its log after it has stepped down, and no
// replica has reached the end of its log.
Test(GroupPromotion, oldPrimaryThatRestartsAfterItSteppedDownIsNotPromoted)
{
    auto promotion = makePromotion(PromotionReason::PrimaryStalled);
    promotion.start(start, true);
    promotion.onStepDown(answered(replica(20)), at(20));
    promotion.onStatus(b, Kind::QueryStatus, replica(18), at(40));
    promotion.onStatus(c, Kind::QueryStatus, replica(18), at(40));
    promotion.onMembers({ { a, false, false, Milliseconds(9) }, { b, false, false }, { c, false, false } });
    cr_assert(!has(promotion.onTick(at(1000)), Kind::Promote, a), "a holds nothing");
}

// Guards against a replica that stays paused: it carried out the order, but its answer was lost or late.
Test(GroupPromotion, replicaWhosePauseWasNotConfirmedIsResumed)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, std::nullopt, at(20));
    promotion.onStatus(c, Kind::Pause, replica(8), at(40));
    const auto orders = promotion.onTick(at(1300));
    cr_assert(promotion.lacksLogs());
    cr_expect(has(orders, Kind::Resume, b));
}

// Guards against a group that cannot be served although enough logs can be compared: an endpoint that is listed as the
// primary, and answers as a replica, has a log like any other.
Test(GroupPromotion, recoveryComparesTheLogOfAFormerPrimary)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(a, Kind::QueryStatus, replica(20), at(20));
    promotion.onStatus(b, Kind::QueryStatus, std::nullopt, at(20));
    const auto orders = promotion.onStatus(c, Kind::QueryStatus, replica(18), at(20));
    cr_expect(has(orders, Kind::Pause, c));
    cr_expect(has(orders, Kind::Pause, a));
    promotion.onStatus(a, Kind::Pause, replica(20), at(40));
    promotion.onStatus(b, Kind::Pause, std::nullopt, at(40));
    cr_expect(has(promotion.onStatus(c, Kind::Pause, replica(18), at(40)), Kind::Promote, a));
}
