#include "PromotionSteps.h"

using namespace almondlever;
using namespace almondlever::promotionSteps;

namespace {

LogHolder holder(const EndpointId& id)
{
    LogHolder holder;
    holder.id = id;
    return holder;
}

/** A promotion without a primary: b and c are listed, and d, which took the address of the missing holder a. */
GroupPromotion makePromotionWithSuccessor(bool wasPrimary, const EndpointId& successor)
{
    GroupPromotion promotion({ { b, false, false, Milliseconds(1), "b:1" }, { c, false, false, Milliseconds(1), "c:1" },
                                 { successor, false, false, Milliseconds(5), "a:1", true } },
        1, 3, PromotionReason::PrimaryFailed, PromotionSettings());
    LogHolder missing = holder(a);
    missing.startedAt = Milliseconds(1);
    missing.address = "a:1";
    missing.isPrimary = wasPrimary;
    promotion.setMissingHolders(std::vector<LogHolder> { missing }, { 3, 10 });
    promotion.start(start);
    for (const EndpointId& id : { b, c, successor })
        promotion.onStatus(id, Kind::QueryStatus, std::nullopt, at(5));
    return promotion;
}

} // namespace

// Guards against promoting the only log that answers once the entry of a holder has lapsed (issues 59 and 63).
Test(GroupPromotion, holdersThatAreNotListedCount)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed, { { b, false, false }, { c, false, false } });
    promotion.setMissingHolders(std::vector<LogHolder> { holder(a) });
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(12), at(5));
    promotion.onStatus(c, Kind::QueryStatus, std::nullopt, at(5));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::Pause, replica(12), at(20)), Kind::Promote));
    const auto orders = promotion.onStatus(c, Kind::Pause, std::nullopt, at(30));
    cr_assert(!hasAny(orders, Kind::Promote));
    cr_assert_eq(promotion.requiredLogs(), 2U);
    cr_assert(promotion.unseenHolders() == (std::set<EndpointId> { a, c }), "an operator learns who is waited for");
}

// Guards against a group that stays without a primary although enough logs are known.
Test(GroupPromotion, enoughLogsReplaceAHolderThatIsNotListed)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed, { { b, false, false }, { c, false, false } });
    promotion.setMissingHolders(std::vector<LogHolder> { holder(a) });
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(12), at(5));
    promotion.onStatus(c, Kind::QueryStatus, replica(10), at(5));
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(10), at(30)), Kind::Promote, b));
}

// Guards against counting logs while it is not known whose logs there are.
Test(GroupPromotion, unknownHoldersPreventAChoiceByCount)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.setMissingHolders(std::nullopt);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    cr_assert(!hasAny(promotion.onStatus(c, Kind::Pause, replica(12), at(40)), Kind::Promote));
    cr_assert(!promotion.hasSucceeded());
}

// Guards against a group that loses its primary for good: it steps down although no endpoint can take its place, since
// neither the log holders are known nor whether it led until then.
Test(GroupPromotion, primaryIsNotOrderedToStepDownWhenNobodyCanReplaceIt)
{
    for (const PromotionReason reason : { PromotionReason::PrimaryFailed, PromotionReason::PrimaryStalled }) {
        GroupPromotion promotion(
            { { a, true, false }, { b, false, false }, { c, false, false } }, 1, 3, reason, PromotionSettings());
        promotion.setMissingHolders(std::nullopt);
        cr_expect(!hasAny(promotion.start(start, true), Kind::StepDown));
        auto known = makePromotion(reason);
        known.setMissingHolders(std::nullopt);
        cr_expect(hasAny(known.start(start, true), Kind::StepDown), "the end of its log is final");
    }
}

// Guards against counting the log of a replica that started again, empty, after it was paused.
Test(GroupPromotion, pauseOfAFormerRunDoesNotCount)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    const auto orders
        = promotion.onMembers({ { a, true, false }, { b, false, false, Milliseconds(9) }, { c, false, false } });
    cr_assert(has(orders, Kind::Pause, b));
    promotion.onStatus(b, Kind::Pause, replica(0), at(30));
    cr_assert(!hasAny(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote),
        "the former run of b and the primary may hold a commit that c lacks");
}

// Guards against confirming the promotion of a replica that started again, empty, before the call took effect.
Test(GroupPromotion, chosenReplicaThatRestartsRequiresRecovery)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote, b));
    promotion.onMembers({ { a, true, false }, { b, false, false, Milliseconds(9) }, { c, false, false } });
    cr_assert(promotion.isFinished());
    cr_assert(!promotion.hasSucceeded());
    cr_assert(promotion.needsRecovery());
}

// Guards against a hand-over without a step down while an endpoint that is not listed can help the old primary.
Test(GroupPromotion, handOverWithoutStepDownNeedsEveryHolderPaused)
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false }, { c, false, false } });
    promotion.setMissingHolders(std::vector<LogHolder> { holder(d) });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    promotion.onStatus(c, Kind::QueryStatus, replica(18), at(20));
    promotion.onStatus(c, Kind::Pause, replica(20), at(40));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(60));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(60)), Kind::StepDown, a));
    promotion.onStepDown({ StepDownResult::NotSupported, {} }, at(70));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(90));
    cr_assert(!hasAny(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(90)), Kind::Promote));
}

// Guards against taking the end of a former primary's log for the end of everything acknowledged: its entry came back
// with the role that it has lost.
Test(GroupPromotion, endOfALogIsFinalOnlyIfItsEndpointIsKnownToHaveLed)
{
    GroupPromotion promotion({ { a, true, false }, { b, false, false }, { c, false, false }, { d, false, false } }, 1,
        4, PromotionReason::PrimaryFailed, PromotionSettings());
    promotion.notePrimaryTerm(3);
    promotion.start(start, true);
    const auto orders = promotion.onStepDown(answered(replica(20, 4)), at(20));
    cr_assert(has(orders, Kind::Pause, a), "an ordinary log");
    cr_assert(has(orders, Kind::Pause, b));
    promotion.onStatus(a, Kind::Pause, replica(20, 4), at(40));
    promotion.onStatus(b, Kind::Pause, replica(20, 4), at(40));
    cr_assert(!hasAny(promotion.onTick(at(500)), Kind::Promote), "c and d may hold a commit of term 4");
}

// Guards against making a former primary the primary again in order to probe the platform: only one that answers as the
// primary is named to it.
Test(GroupPromotion, recoveryNamesNoEndpointThatDoesNotAnswerAsThePrimary)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start, true);
    promotion.onStatus(a, Kind::QueryStatus, std::nullopt, at(20));
    promotion.onStatus(b, Kind::QueryStatus, replica(10), at(20));
    const auto orders = promotion.onStatus(c, Kind::QueryStatus, replica(10), at(20));
    cr_assert(!hasAny(orders, Kind::Promote));
    cr_assert(has(orders, Kind::Pause, b));
}

// Guards against a group that waits for a crashed primary which is back with its log, under another id.
Test(GroupPromotion, logOfAReturnedPrimaryCounts)
{
    auto promotion = makePromotionWithSuccessor(true, d);
    promotion.onStatus(b, Kind::Pause, std::nullopt, at(10));
    promotion.onStatus(c, Kind::Pause, replica(11), at(20));
    cr_assert(has(promotion.onStatus(d, Kind::Pause, replica(12), at(30)), Kind::Promote, d));
}

// Guards against taking an empty server at the address of a primary that is gone for good for that primary.
Test(GroupPromotion, emptyServerAtThePrimarysAddressIsNoSuccessor)
{
    auto promotion = makePromotionWithSuccessor(true, d);
    promotion.onStatus(b, Kind::Pause, std::nullopt, at(10));
    promotion.onStatus(c, Kind::Pause, replica(11), at(20));
    cr_assert(!hasAny(promotion.onStatus(d, Kind::Pause, replica(0), at(30)), Kind::Promote));
    cr_assert(promotion.lacksLogs());
}

// Guards against counting the log of a replica's successor, which may have begun empty.
Test(GroupPromotion, successorOfAReplicaIsAnotherHolder)
{
    auto promotion = makePromotionWithSuccessor(false, d);
    promotion.onStatus(b, Kind::Pause, std::nullopt, at(10));
    promotion.onStatus(c, Kind::Pause, replica(11), at(20));
    cr_assert(!hasAny(promotion.onStatus(d, Kind::Pause, replica(12), at(30)), Kind::Promote));
}

// Guards against counting an endpoint that started again under its id, which holds nothing of before.
Test(GroupPromotion, restartUnderTheSameIdIsNoSuccessor)
{
    auto promotion = makePromotionWithSuccessor(true, a);
    promotion.onStatus(b, Kind::Pause, std::nullopt, at(10));
    promotion.onStatus(c, Kind::Pause, replica(11), at(20));
    cr_assert(!hasAny(promotion.onStatus(a, Kind::Pause, replica(12), at(30)), Kind::Promote));
}
