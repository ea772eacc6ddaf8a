#include "PromotionSteps.h"

using namespace almondlever;
using namespace almondlever::promotionSteps;

namespace {

/** A primary, a replica that a hand-over chooses and another one, up to the order to step down. */
GroupPromotion makeHandOver()
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false }, { c, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    promotion.onStatus(c, Kind::QueryStatus, replica(18), at(20));
    promotion.onStatus(c, Kind::Pause, replica(20), at(40));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(60));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(20), at(60)), Kind::StepDown, a));
    return promotion;
}

} // namespace

// Guards against losing an acknowledged commit by promoting the replica that answered first instead of the most
// advanced.
Test(GroupPromotion, promotesTheMostAdvancedReplica)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    const auto first = promotion.start(start);
    cr_assert(has(first, Kind::Pause, b));
    cr_assert(has(first, Kind::Pause, c));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::Pause, replica(10), at(20)), Kind::Promote));
    const auto orders = promotion.onStatus(c, Kind::Pause, replica(12), at(40));
    cr_assert(has(orders, Kind::Promote, c));
    cr_assert(promotion.chosenPosition() == LogPosition({ 3, 12 }));
}

// Guards against promoting after one answer: the other replica may hold an acknowledged commit.
Test(GroupPromotion, oneReplicaIsNotEnough)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    cr_assert(!hasAny(promotion.onTick(at(600)), Kind::Promote));
    const auto orders = promotion.onTick(at(1300));
    cr_assert(!hasAny(orders, Kind::Promote));
    cr_assert(has(orders, Kind::Resume, b), "a paused replica must not stay paused");
    cr_assert(has(orders, Kind::Resume, c), "it may have carried the order out, although its answer is missing");
    promotion.onStatus(b, Kind::Resume, replica(10), at(1320));
    promotion.onTick(at(1300) + PromotionSettings().unansweredResumeTime + Milliseconds(25));
    cr_assert(promotion.isFinished());
    cr_assert(!promotion.hasSucceeded());
}

// Guards against promoting after two of three answers in a group of four: the third replica may hold the commit.
Test(GroupPromotion, countsEveryMember)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed,
        { { a, true, false }, { b, false, false }, { c, false, false }, { d, false, true } });
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    cr_assert(!hasAny(promotion.onStatus(c, Kind::Pause, replica(11), at(30)), Kind::Promote));
    cr_assert(!hasAny(promotion.onTick(at(400)), Kind::Promote));
    cr_assert(
        has(promotion.onStatus(d, Kind::Pause, replica(11), at(420)), Kind::Promote, c), "the one that is not leaving");
}

// Guards against replacing a primary that answers after all.
Test(GroupPromotion, answeringPrimaryIsKept)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    const auto orders = promotion.onStatus(a, Kind::QueryStatus, primary(10), at(30));
    cr_assert(has(orders, Kind::Resume, b));
    cr_assert(!hasAny(orders, Kind::Promote));
    promotion.onStatus(b, Kind::Resume, replica(10), at(50));
    cr_assert(has(orders, Kind::Resume, c), "it may have carried the order out, although its answer is missing");
    promotion.onStatus(c, Kind::Resume, replica(10), at(60));
    cr_assert(promotion.isFinished());
    cr_assert(!promotion.hasSucceeded());
}

// Guards against a replica that restarts, or receives a delayed resume order, during the promote call: it would help a
// primary that is still alive to acknowledge commits which the chosen replica lacks.
Test(GroupPromotion, pausesAreRepeatedUntilTheChosenReplicaIsPrimary)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(12), at(40)), Kind::Promote, c));
    cr_assert(!hasAny(promotion.onTick(at(100)), Kind::Pause));
    const auto called = promotion.onTick(at(140));
    cr_assert(has(called, Kind::Pause, b));
    cr_assert(!has(called, Kind::Pause, c), "commits that the chosen replica receives are not lost");
    promotion.onStatus(b, Kind::Pause, replica(10), at(160));
    promotion.onPromotionResult(PromotionResult::Accepted, at(170));
    promotion.onStatus(c, Kind::QueryStatus, replica(12), at(200));
    cr_assert(has(promotion.onTick(at(241)), Kind::Pause, b));
    cr_assert(!promotion.wasPauseBroken());
    promotion.onStatus(b, Kind::Pause, replica(13), at(260));
    cr_assert(promotion.wasPauseBroken(), "operators must be able to see it");
    const auto orders = promotion.onStatus(c, Kind::QueryStatus, primary(12, 4), at(300));
    cr_assert(has(orders, Kind::Resume, b));
    cr_assert(promotion.onStatus(b, Kind::Resume, replica(12, 4), at(320)).empty());
    cr_assert(promotion.hasSucceeded());
}

// Guards against reporting a broken pause for a replica that already follows the new primary.
Test(GroupPromotion, replicaOfTheNewTermIsNoBrokenPause)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    promotion.onStatus(c, Kind::Pause, replica(12), at(40));
    promotion.onPromotionResult(PromotionResult::Accepted, at(60));
    promotion.onStatus(b, Kind::Pause, EndpointReplicationStatus { false, 4, { 4, 13 } }, at(260));
    cr_assert(!promotion.wasPauseBroken());
    cr_assert(!promotion.isFinished());
}

// Guards against a write gap: a leaving primary continues to serve while the other replicas are paused.
Test(GroupPromotion, leavingPrimaryServesUntilTheChosenReplicaIsPrimary)
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false }, { c, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    const auto fence = promotion.onStatus(c, Kind::QueryStatus, replica(18), at(20));
    cr_assert(has(fence, Kind::Pause, c));
    cr_assert(!has(fence, Kind::Pause, b), "the chosen replica must continue to receive");
    cr_assert(!has(fence, Kind::Pause, a));
    // The paused replica has meanwhile received more than the chosen one had reported.
    const auto questions = promotion.onStatus(c, Kind::Pause, replica(25), at(40));
    cr_assert(!hasAny(questions, Kind::Promote));
    cr_assert(has(questions, Kind::QueryStatus, a));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(25), at(60)), Kind::Promote));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(25), at(65)), Kind::StepDown, a));
    promotion.onStepDown(answered(replica(26)), at(90));
    promotion.onStatus(c, Kind::QueryStatus, replica(25), at(95));
    const auto orders = promotion.onStatus(b, Kind::QueryStatus, replica(26), at(100));
    cr_assert(has(orders, Kind::Promote, b));
}

// Review case 1: an endpoint joins during a hand-over and helps the primary to acknowledge commits that the chosen
// replica lacks. Guards against promoting a replica whose log ends before that of the primary which has stepped down.
Test(GroupPromotion, handOverPromotesOnlyALogWithTheEndOfThePrimarys)
{
    auto promotion = makeHandOver();
    const auto queries = promotion.onStepDown(answered(replica(25)), at(90));
    cr_assert(has(queries, Kind::QueryStatus, b));
    cr_assert(has(queries, Kind::QueryStatus, c));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(20), at(100)), Kind::Promote));
    cr_assert(!hasAny(promotion.onStatus(c, Kind::QueryStatus, replica(20), at(100)), Kind::Promote));
    const auto joined = promotion.onMembers({ { a, false, true }, { d, false, false } });
    cr_assert(has(joined, Kind::QueryStatus, d));
    cr_assert(has(promotion.onStatus(d, Kind::QueryStatus, replica(25), at(160)), Kind::Promote, d));
}

// Guards against the same when this daemon does not know the endpoint that joined, since its entry is missing; and
// against a group that stays without a primary when the change is given up.
Test(GroupPromotion, oldPrimaryReturnsWhenNoReplicaHasItsLog)
{
    auto promotion = makeHandOver();
    promotion.onStepDown(answered(replica(25)), at(90));
    for (int time = 100; time < 480; time += 20) {
        cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(20), at(time)), Kind::Promote));
        cr_assert(!hasAny(promotion.onStatus(c, Kind::QueryStatus, replica(20), at(time)), Kind::Promote));
    }
    cr_assert(has(promotion.onTick(at(490)), Kind::Promote, a), "within lastEntriesTimeout");
    promotion.onPromotionResult(PromotionResult::Accepted, at(500));
    cr_assert(has(promotion.onStatus(a, Kind::QueryStatus, primary(25, 5), at(1500)), Kind::Resume, c));
    promotion.onStatus(c, Kind::Resume, replica(20), at(1520));
    cr_assert(promotion.isFinished() && !promotion.hasSucceeded());
    cr_assert(!promotion.needsRecovery());
    cr_assert_eq(promotion.leadingTerm(), 5U);
    cr_assert(promotion.chosen() == a);
}

// Guards against a group without a primary while the platform accepts no calls.
Test(GroupPromotion, primaryStepsDownOnlyWhenThePlatformAnswers)
{
    for (const bool isRefused : { false, true }) {
        auto promotion = makePromotion(PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false } });
        promotion.start(start);
        promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
        cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10)), Kind::Promote, a));
        const auto orders
            = isRefused ? promotion.onPromotionResult(PromotionResult::Refused, at(80)) : promotion.onTick(at(600));
        cr_assert(!hasAny(orders, Kind::StepDown));
        cr_assert(promotion.isFinished() && !promotion.hasSucceeded());
        cr_assert_eq(promotion.needsRecovery(), !isRefused, "a call without an answer may take effect late");
    }
}

// Guards against two promotions under one fencing token: a call without an answer may take effect after the second.
Test(GroupPromotion, unansweredCallIsNotFollowedByAnotherChoice)
{
    auto promotion = makeHandOver();
    promotion.onStepDown(answered(replica(20)), at(90));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(100));
    promotion.onStatus(c, Kind::QueryStatus, replica(20), at(100));
    promotion.onPromotionResult(PromotionResult::Unknown, at(120));
    cr_assert(has(promotion.onTick(at(400)), Kind::Promote, b));
    cr_assert(!hasAny(promotion.onPromotionResult(PromotionResult::Refused, at(420)), Kind::Promote));
    cr_assert(promotion.isFinished() && promotion.needsRecovery());
}

// Guards against a group without a primary after the chosen endpoint has crashed: the platform refuses its promotion.
Test(GroupPromotion, anotherEndpointIsPromotedWhenTheChosenOneIsRefused)
{
    auto promotion = makeHandOver();
    promotion.onStepDown(answered(replica(20)), at(90));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(100));
    cr_assert(has(promotion.onStatus(c, Kind::QueryStatus, replica(20), at(100)), Kind::Promote, b));
    promotion.onPromotionResult(PromotionResult::Refused, at(120));
    cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, std::nullopt, at(130)), Kind::Promote, c));
}

// Guards against taking a primary for one that has stepped down because it answered an order of an old term.
Test(GroupPromotion, stepDownIsRepeatedInANewerTerm)
{
    auto promotion = makeHandOver();
    const auto orders = promotion.onStepDown(answered(primary(20, 9)), at(90));
    cr_assert(has(orders, Kind::StepDown, a));
    cr_assert_gt(orders.front().term, 9U);
    cr_assert(!promotion.steppedDownPosition().has_value());
}

// Guards against a hand-over by old rules once the primary is gone: the chosen replica may lack what others hold.
Test(GroupPromotion, handOverWithoutAnAnswerOfThePrimaryComparesAllLogs)
{
    auto promotion = makeHandOver();
    const auto pauses = promotion.onStepDown(StepDownReport(), at(100));
    cr_assert(has(pauses, Kind::Pause, b));
    cr_assert(has(pauses, Kind::Pause, c));
    promotion.onStatus(b, Kind::Pause, replica(20), at(120));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(22), at(120)), Kind::Promote, c));
}

// Guards against a hand-over that never ends with endpoints that do not know the order to step down.
Test(GroupPromotion, handOverWithoutStepDownComparesThePositionsAnew)
{
    auto promotion = makeHandOver();
    cr_assert(!hasAny(promotion.onStepDown({ StepDownResult::NotSupported, {} }, at(90)), Kind::Promote));
    cr_assert(!hasAny(promotion.onStatus(a, Kind::QueryStatus, primary(24), at(100)), Kind::Promote));
    cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, replica(24), at(100)), Kind::Promote, b));
}

// Review case 2: a primary that only others reach is replaced, and a paused replica restarts meanwhile. Guards against
// pauses before the primary has stepped down: a commit that waits for them is acknowledged by the restart.
Test(GroupPromotion, primaryThatOthersReachStepsDownFirst)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    const auto first = promotion.start(start, true);
    cr_assert(has(first, Kind::StepDown, a));
    cr_assert(!hasAny(first, Kind::Pause));
    promotion.onStepDown(answered(replica(14)), at(50));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(12), at(60)), Kind::Promote));
    const auto orders = promotion.onStatus(c, Kind::QueryStatus, replica(14), at(70));
    cr_assert(has(orders, Kind::Promote, c));
    cr_assert(!hasAny(promotion.onTick(at(200)), Kind::Pause), "nobody acknowledges commits any more");
}

// Guards against waiting for owners that are dead while a crashed primary is replaced.
Test(GroupPromotion, unreachablePrimaryIsReplacedByPausingReplicas)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start, true);
    cr_assert(!hasAny(promotion.onTick(at(240)), Kind::Pause));
    const auto pauses = promotion.onTick(at(260));
    cr_assert(has(pauses, Kind::Pause, b));
    cr_assert(has(pauses, Kind::Pause, c));
    promotion.onStatus(b, Kind::Pause, replica(12), at(280));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(10), at(290)), Kind::Promote, b));
    const auto repeated = promotion.onTick(at(700));
    cr_assert(has(repeated, Kind::StepDown, a), "it may return while the promotion takes effect");
}

// Guards against an endpoint that joins during the promotion and that nobody pauses, while the primary may return.
Test(GroupPromotion, joiningEndpointsArePausedWhileThePrimaryMayReturn)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    promotion.onStatus(c, Kind::Pause, replica(10), at(30));
    const auto joined = promotion.onMembers({ { b, false, false }, { d, false, false } });
    cr_assert_eq(joined.size(), 1U);
    cr_assert(has(joined, Kind::Pause, d));
    cr_assert(promotion.onMembers({ { d, false, false } }).empty());
    promotion.onStatus(d, Kind::Pause, replica(13), at(60));
    cr_assert(promotion.wasPauseBroken(), "operators must be able to see it");
    cr_assert(has(promotion.onTick(at(200)), Kind::Pause, d));
}

// Guards against handing over to an endpoint that is also leaving.
Test(GroupPromotion, leavingReplicaIsNotChosen)
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, true }, { c, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    const auto fence = promotion.onStatus(c, Kind::QueryStatus, replica(18), at(20));
    cr_assert(has(fence, Kind::Pause, b));
    cr_assert(!has(fence, Kind::Pause, c));
}

// Guards against a hand-over while an unpaused replica may acknowledge commits that the chosen one lacks.
Test(GroupPromotion, handOverNeedsEveryOtherReplicaPaused)
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false }, { c, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    promotion.onStatus(c, Kind::QueryStatus, replica(18), at(20));
    const auto orders = promotion.onStatus(c, Kind::Pause, std::nullopt, at(40));
    cr_assert(!hasAny(orders, Kind::Promote));
    cr_assert(has(orders, Kind::Resume, c), "it may have carried the order out, although its answer is missing");
    promotion.onStatus(c, Kind::Resume, replica(18), at(60));
    cr_assert(promotion.isFinished());
    cr_assert(!promotion.hasSucceeded());
}

// Guards against a promote call that takes effect late: it is repeated, and the others stay paused until it is
// answered. The copy without an answer may have been accepted as well, and has its own effect: the others stay paused
// until that has passed.
Test(GroupPromotion, repeatsAnUnansweredPromoteCall)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    promotion.onStatus(c, Kind::Pause, replica(9), at(30));
    cr_assert(promotion.onPromotionResult(PromotionResult::Unknown, at(1500)).empty());
    const auto again = promotion.onTick(at(1800));
    cr_assert(has(again, Kind::Promote, b));
    cr_assert(!hasAny(again, Kind::Resume));
    cr_assert(!hasAny(promotion.onTick(at(1900)), Kind::Promote), "one call at a time");
    promotion.onPromotionResult(PromotionResult::Accepted, at(1950));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, primary(10, 4), at(2300)), Kind::Resume));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, primary(10, 4), at(3780)), Kind::Resume));
    cr_assert(!promotion.isFinished());
    const auto done = promotion.onStatus(b, Kind::QueryStatus, primary(10, 4), at(3800));
    cr_assert(has(done, Kind::Resume, c));
    promotion.onStatus(c, Kind::Resume, replica(9), at(3820));
    cr_assert(promotion.hasSucceeded());
    cr_assert(!promotion.needsRecovery());
}

// Guards against resuming replicas whose pause a newer promotion by another daemon may depend on.
Test(GroupPromotion, refusedPromoteCallRequiresRecovery)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    promotion.onStatus(c, Kind::Pause, replica(9), at(30));
    cr_assert(promotion.onPromotionResult(PromotionResult::Refused, at(60)).empty());
    cr_assert(promotion.isFinished());
    cr_assert(promotion.needsRecovery());
}

// Guards against replicas that stay paused, and delayed calls that stay valid, after the promoting daemon died.
Test(GroupPromotion, recoveryPromotesTheCurrentPrimaryAndResumesAll)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(10));
    const auto orders = promotion.onStatus(c, Kind::QueryStatus, replica(11), at(20));
    cr_assert(has(orders, Kind::Promote, a));
    promotion.onPromotionResult(PromotionResult::Accepted, at(40));
    const auto early = promotion.onStatus(a, Kind::QueryStatus, primary(20), at(1500));
    cr_assert(!hasAny(early, Kind::Resume), "a call that was accepted just before may still take effect");
    const auto resumed = promotion.onStatus(a, Kind::QueryStatus, primary(20), at(1560));
    cr_assert(has(resumed, Kind::Resume, b));
    cr_assert(has(resumed, Kind::Resume, c));
    promotion.onStatus(b, Kind::Resume, replica(20), at(1580));
    const auto repeated = promotion.onTick(at(1900));
    cr_assert(has(repeated, Kind::Resume, c));
    cr_assert(!has(repeated, Kind::Resume, b));
    promotion.onTick(at(3700));
    cr_assert(promotion.isFinished());
    cr_assert(promotion.needsRecovery(), "one replica may still be paused");
}

// Guards against a pause in a term that the replicas have already passed, which they refuse.
Test(GroupPromotion, pausesAboveEveryTermSeen)
{
    auto promotion = makePromotion(
        PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false }, { c, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20, 7), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20, 7), at(10));
    const auto fence = promotion.onStatus(c, Kind::QueryStatus, replica(20, 6), at(20));
    for (const GroupPromotion::Order& order : fence) {
        if (order.kind == Kind::Pause)
            cr_assert_gt(order.term, 7U);
    }
}

// Guards against losing a commit (kpa-almond trouble-3, seed 1009794462983): a daemon that knows only term 3 pauses in
// term 4, which the replica has already reached, so the replica continues to receive.
Test(GroupPromotion, pauseInAnOutdatedTermIsIneffective)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed);
    promotion.start(start);
    promotion.onStatus(b, Kind::Pause, replica(10), at(20));
    const auto orders = promotion.onStatus(c, Kind::Pause, replica(12, 4), at(30));
    cr_assert(!hasAny(orders, Kind::Promote));
    cr_assert(has(orders, Kind::Resume, b));
    promotion.onStatus(b, Kind::Resume, replica(10), at(50));
    promotion.onStatus(c, Kind::Resume, replica(12, 4), at(50));
    cr_assert(promotion.isFinished());
    cr_assert(!promotion.hasSucceeded());
}

// A primary that is partitioned from its replicas answers queries but acknowledges no write.
// Guards against keeping such a primary because it answers, and against losing a commit when it is replaced.
Test(GroupPromotion, stalledPrimaryIsReplacedAlthoughItAnswers)
{
    auto promotion = makePromotion(PromotionReason::PrimaryStalled);
    const auto first = promotion.start(start);
    cr_assert(!has(first, Kind::QueryStatus, a));
    cr_assert(has(first, Kind::StepDown, a));
    // Its last commits reached no replica, and none is acknowledged any more.
    const auto queries = promotion.onStepDown(answered(replica(15)), at(20));
    cr_assert(has(queries, Kind::QueryStatus, b));
    cr_assert(has(queries, Kind::QueryStatus, c));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(12), at(30)), Kind::Promote));
    cr_assert(!hasAny(promotion.onStatus(c, Kind::QueryStatus, replica(10), at(40)), Kind::Promote));
    cr_assert(has(promotion.onTick(at(430)), Kind::Promote, b));
}

// Guards against the loss of a commit when a stalled primary does not answer the order to step down.
Test(GroupPromotion, stalledPrimaryThatDoesNotStepDownIsReplacedByPausingReplicas)
{
    auto promotion = makePromotion(PromotionReason::PrimaryStalled);
    promotion.start(start);
    const auto pauses = promotion.onStepDown(StepDownReport(), at(20));
    cr_assert(has(pauses, Kind::Pause, b));
    cr_assert(has(pauses, Kind::Pause, c));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::Pause, replica(12), at(30)), Kind::Promote));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(10), at(40)), Kind::Promote, b));
}

// Guards against promoting a stalled primary's replica while the log of another one is unknown.
Test(GroupPromotion, stalledPrimaryReturnsWhenTooFewReplicasAnswer)
{
    auto promotion = makePromotion(PromotionReason::PrimaryStalled);
    promotion.start(start);
    promotion.onStepDown(answered(replica(15)), at(20));
    promotion.onStatus(b, Kind::QueryStatus, replica(12), at(30));
    promotion.onStatus(c, Kind::QueryStatus, std::nullopt, at(40));
    cr_assert(has(promotion.onTick(at(430)), Kind::Promote, a));
}

// Guards against a second change when another endpoint is already the primary.
Test(GroupPromotion, stalledPrimaryThatWasReplacedIsLeftAlone)
{
    auto promotion = makePromotion(PromotionReason::PrimaryStalled);
    promotion.start(start);
    promotion.onStepDown(answered(replica(12)), at(10));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, primary(12, 4), at(20)), Kind::Promote));
    cr_assert(!hasAny(promotion.onStatus(c, Kind::QueryStatus, replica(12), at(40)), Kind::Promote));
    cr_assert(promotion.isFinished() && !promotion.hasSucceeded());
    auto paused = makePromotion(PromotionReason::PrimaryStalled);
    paused.start(start);
    paused.onStepDown(StepDownReport(), at(10));
    paused.onStatus(b, Kind::Pause, primary(12, 2), at(20));
    cr_assert(!hasAny(paused.onStatus(c, Kind::Pause, replica(10), at(40)), Kind::Promote));
}

// The only replica with a commit is lost, the other replica was unreachable meanwhile, and then the primary crashes.
// The remaining members appear to suffice.
// Guards against promoting a log that lacks a commit acknowledged to a caller.
Test(GroupPromotion, logBelowAnAcknowledgedPositionIsNotPromoted)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed, { { a, true, false }, { b, false, false } });
    promotion.noteAcknowledged({ 3, 15 });
    promotion.start(start);
    const auto orders = promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(!hasAny(orders, Kind::Promote));
    cr_assert(has(orders, Kind::Resume, b));
    promotion.onStatus(b, Kind::Resume, replica(12), at(40));
    cr_assert(promotion.isFinished() && !promotion.hasSucceeded());
}

// Guards against not promoting a replica that holds every acknowledged commit.
Test(GroupPromotion, logAtTheAcknowledgedPositionIsPromoted)
{
    auto promotion = makePromotion(PromotionReason::PrimaryFailed, { { a, true, false }, { b, false, false } });
    promotion.noteAcknowledged({ 3, 12 });
    promotion.start(start);
    cr_assert(has(promotion.onStatus(b, Kind::Pause, replica(12), at(20)), Kind::Promote, b));
}

// Guards against handing over to a replica that lacks commits acknowledged in the meantime.
Test(GroupPromotion, handOverWaitsForTheAcknowledgedPosition)
{
    auto promotion = makePromotion(PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.noteAcknowledged({ 3, 15 });
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(12), at(20)), Kind::Promote));
    promotion.onStatus(a, Kind::QueryStatus, primary(12), at(30));
    promotion.onTick(at(100));
    cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, replica(15), at(120)), Kind::StepDown, a));
    promotion.onStepDown(answered(replica(12)), at(150));
    promotion.noteAcknowledged({ 3, 16 });
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(15), at(160)), Kind::Promote));
    cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, replica(16), at(170)), Kind::Promote, b));
}

// A replica that returned helps the leaving primary to acknowledge commits before the promoting daemon knows of it; the
// only replica known to that daemon receives nothing (soak seed 135).
// Guards against handing over to a replica that lacks those commits.
Test(GroupPromotion, handOverWaitsForThePrimarysOwnPosition)
{
    auto promotion = makePromotion(PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(445), at(10));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(415), at(20)), Kind::Promote));
    cr_assert(!hasAny(promotion.onStatus(a, Kind::QueryStatus, primary(446), at(30)), Kind::Promote));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(445), at(40)), Kind::Promote));
    // Commits after the first reported position require the chosen replica.
    promotion.onStatus(a, Kind::QueryStatus, primary(460), at(50));
    cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, replica(446), at(60)), Kind::StepDown, a));
    promotion.onStepDown(answered(replica(460)), at(80));
    cr_assert(!hasAny(promotion.onStatus(b, Kind::QueryStatus, replica(459), at(90)), Kind::Promote));
    cr_assert(has(promotion.onStatus(b, Kind::QueryStatus, replica(460), at(95)), Kind::Promote, b));
}

// Guards against a hand-over from an endpoint that is no longer the primary.
Test(GroupPromotion, handOverFailsWhenThePrimaryIsSuperseded)
{
    auto promotion = makePromotion(PromotionReason::PrimaryLeaving, { { a, true, true }, { b, false, false } });
    probe(promotion);
    promotion.onStatus(a, Kind::QueryStatus, primary(20), at(10));
    promotion.onStatus(b, Kind::QueryStatus, replica(20), at(20));
    promotion.onStatus(a, Kind::QueryStatus, replica(20, 4), at(30));
    cr_assert(promotion.isFinished() && !promotion.hasSucceeded());
}

// A daemon dies after its promote call, which takes effect late; the next daemon reaches too few endpoints. Found by
// model/GroupPromotion.pml.
// Guards against resuming a replica that then helps to acknowledge commits which the late-promoted endpoint lacks.
Test(GroupPromotion, failedRecoveryResumesNothing)
{
    auto promotion = makePromotion(PromotionReason::Recovery);
    promotion.start(start);
    promotion.onStatus(b, Kind::QueryStatus, replica(10), at(20));
    promotion.onTick(at(300));
    promotion.onStatus(b, Kind::Pause, replica(10), at(320));
    const auto orders = promotion.onTick(at(2000));
    cr_assert(!hasAny(orders, Kind::Resume));
    cr_assert(promotion.isFinished() && !promotion.hasSucceeded());
    cr_assert(promotion.needsRecovery());
}
