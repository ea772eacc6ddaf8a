#include "HistoryBuilder.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::load;
using namespace almondlever::load::test;

namespace {

/** Two sessions, a primary change, a repeat after an unknown outcome, a transaction and a full log: nothing is wrong.
 */
HistoryBuilder cleanHistory()
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    history.log({ 1, 2 }, "a", "request-1");
    history.read("clerk", "a", "a1", { 1, 2 });
    history.failedWrite("clerk", "a", "a2", Outcome::Unknown).idempotencyKey = "k2";
    Operation& repeat = history.write("clerk", "a", "a2", { 1, 3 });
    repeat.idempotencyKey = "k2";
    repeat.requestId = "request-3";
    repeat.isDuplicate = true;
    history.log({ 1, 3 }, "a", "request-3");
    history.inTransaction(OperationType::Begin, "t1", "");
    history.inTransaction(OperationType::Write, "t1", "b", "b1");
    history.inTransaction(OperationType::Read, "t1", "b", "b1");
    history.inTransaction(OperationType::Write, "t1", "c", "c1");
    history.inTransaction(OperationType::Commit, "t1", "", "", { 2, 6 });
    history.log({ 2, 5 }, "b", "request-9");
    history.log({ 2, 6 }, "c", "request-9");
    history.failedWrite("clerk", "a", "a3", Outcome::NotRun);
    history.read("buyer", "a", "a1", { 1, 2 }).isFromReplica = true;
    history.read("buyer", "a", "a2", { 1, 3 });
    history.read("buyer", "b", "b1", { 2, 6 });
    history.finalRead("a", "a2");
    history.finalRead("b", "b1");
    history.finalRead("c", "c1");
    return history;
}

} // namespace

// Guards against a checker that cries wolf, and against one that checks nothing.
Test(HistoryChecker, passesCleanHistory)
{
    const CheckResult result = cleanHistory().check();
    for (const Violation& violation : result.violations)
        cr_log_warn("%s: %s", toText(violation.kind), violation.detail.c_str());
    cr_assert(result.violations.empty());
    cr_assert(result.counts.acknowledgedWrites == 2);
    cr_assert(result.counts.committedTransactions == 1);
    cr_assert(result.counts.keysReadBack == 3);
    cr_assert(result.counts.logEntriesCompared == 4);
}

// Guards against a run that is called incomplete because of keys that no write can have reached.
Test(HistoryChecker, countsKeysThatNeedReadingBack)
{
    HistoryBuilder history;
    history.failedWrite("clerk", "a", "a1", Outcome::NotRun);
    history.failedWrite("clerk", "b", "b1", Outcome::Unknown);
    cr_assert(history.check().counts.keysWritten == 1);
}

// Guards against a lost acknowledged write that nobody has overwritten.
Test(HistoryChecker, findsLostWriteByReadingBack)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    history.write("clerk", "a", "a2", { 1, 3 });
    history.finalRead("a", "a1");
    cr_assert(history.findsOnly(ViolationKind::LostWrite));

    HistoryBuilder emptied;
    emptied.write("clerk", "a", "a1", { 1, 2 });
    emptied.finalRead("a", "");
    cr_assert(emptied.findsOnly(ViolationKind::LostWrite));
}

// Guards against a write that was lost and then overwritten, which reading back cannot show.
Test(HistoryChecker, findsLostWriteByLog)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    history.write("clerk", "a", "a2", { 2, 3 });
    history.log({ 2, 3 }, "a", "request-2");
    history.finalRead("a", "a2");
    cr_assert(history.findsOnly(ViolationKind::LostWrite));
}

// Guards against calling a write lost that only a later write of unknown outcome has replaced.
Test(HistoryChecker, allowsLaterUnknownWriteToReplace)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    history.failedWrite("clerk", "a", "a2", Outcome::Unknown);
    history.finalRead("a", "a2");
    cr_assert(history.isClean());
}

// Guards against a repeat with the same key that runs a second time.
Test(HistoryChecker, findsDoubledWriteByPositions)
{
    HistoryBuilder history;
    history.failedWrite("clerk", "a", "a1", Outcome::Unknown).idempotencyKey = "k1";
    Operation& first = history.write("clerk", "a", "a1", { 1, 2 });
    first.idempotencyKey = "k1";
    first.requestId = "request-1";
    Operation& second = history.write("clerk", "a", "a1", { 1, 3 });
    second.idempotencyKey = "k1";
    second.requestId = "request-1";
    cr_assert(history.findsOnly(ViolationKind::DoubledWrite));
}

// Guards against a write that ran twice although it was acknowledged once.
Test(HistoryChecker, findsDoubledWriteByLog)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    history.write("clerk", "b", "b1", { 1, 3 });
    history.log({ 1, 2 }, "a", "request-1");
    history.log({ 1, 3 }, "b", "request-2");
    history.log({ 1, 4 }, "a", "request-1");
    cr_assert(history.findsOnly(ViolationKind::DoubledWrite));
}

// Guards against a session that does not read its own write, or reads back behind what it has read.
Test(HistoryChecker, findsStaleReadOfSession)
{
    HistoryBuilder own;
    own.write("clerk", "a", "a1", { 1, 2 });
    own.write("clerk", "a", "a2", { 1, 3 });
    own.read("clerk", "a", "a1", { 1, 3 });
    cr_assert(own.findsOnly(ViolationKind::StaleRead));

    HistoryBuilder foreign;
    foreign.write("clerk", "a", "a1", { 1, 2 });
    foreign.write("clerk", "a", "a2", { 1, 3 });
    foreign.read("buyer", "a", "a2", { 1, 3 });
    foreign.read("buyer", "a", "a1", { 1, 3 });
    cr_assert(foreign.findsOnly(ViolationKind::StaleRead));

    HistoryBuilder byPosition;
    byPosition.write("clerk", "a", "a1", { 2, 5 });
    byPosition.read("clerk", "z", "", { 1, 9 });
    cr_assert(byPosition.findsOnly(ViolationKind::StaleRead));
}

// Guards against missing that a session reads behind an unconfirmed value that it had already been shown.
Test(HistoryChecker, findsReadThatGoesBackBehindUnconfirmedWrite)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    history.failedWrite("clerk", "a", "a2", Outcome::Unknown);
    history.read("buyer", "a", "a2", { 1, 3 });
    history.read("buyer", "a", "a1", { 2, 3 });
    cr_assert(history.findsOnly(ViolationKind::StaleRead));
}

// Guards against claims beyond the promise: without its token, a session is owed only its own writes, if its rules say
// so.
Test(HistoryChecker, holdsSessionWithoutTokenToItsRules)
{
    HistoryBuilder allowed;
    allowed.write("clerk", "a", "a1", { 1, 2 });
    allowed.write("clerk", "a", "a2", { 1, 3 });
    allowed.read("buyer", "a", "a2", { 1, 3 });
    allowed.read("buyer", "a", "a1", { 1, 2 }).isTokenSent = false;
    allowed.read("buyer", "a", "a1", { 1, 2 });
    cr_assert(allowed.isClean());

    HistoryBuilder broken;
    broken.write("clerk", "a", "a1", { 1, 2 });
    broken.read("clerk", "a", "", { 1, 1 }).isTokenSent = false;
    cr_assert(broken.findsOnly(ViolationKind::StaleRead));
}

// Guards against an answer that was given to another request.
Test(HistoryChecker, findsCrossedAnswer)
{
    HistoryBuilder otherKey;
    otherKey.write("clerk", "a", "a1", { 1, 2 });
    otherKey.read("buyer", "b", "a1", { 1, 2 });
    cr_assert(otherKey.findsOnly(ViolationKind::CrossedAnswer));

    HistoryBuilder unwritten;
    unwritten.read("buyer", "a", "never written", { 1, 2 });
    cr_assert(unwritten.findsOnly(ViolationKind::CrossedAnswer));

    HistoryBuilder sameRequestId;
    sameRequestId.read("buyer", "a", "", { 1, 2 });
    sameRequestId.read("clerk", "a", "", { 1, 2 }).requestId = "request-1";
    cr_assert(sameRequestId.findsOnly(ViolationKind::CrossedAnswer));

    HistoryBuilder otherTrace;
    otherTrace.read("buyer", "a", "", { 1, 2 }).hasMatchingTrace = false;
    cr_assert(otherTrace.findsOnly(ViolationKind::CrossedAnswer));
}

// Guards against a refusal that claims not_run for a request that took effect.
Test(HistoryChecker, findsFalseNotRun)
{
    HistoryBuilder byRead;
    byRead.failedWrite("clerk", "a", "a1", Outcome::NotRun);
    byRead.read("buyer", "a", "a1", { 1, 2 });
    cr_assert(byRead.findsOnly(ViolationKind::FalseNotRun));

    HistoryBuilder byDuplicate;
    byDuplicate.failedWrite("clerk", "a", "a1", Outcome::NotRun).idempotencyKey = "k1";
    Operation& repeat = byDuplicate.write("clerk", "a", "a1", { 1, 2 });
    repeat.idempotencyKey = "k1";
    repeat.requestId = "request-1";
    repeat.isDuplicate = true;
    cr_assert(byDuplicate.findsOnly(ViolationKind::FalseNotRun));

    HistoryBuilder byLog;
    byLog.failedWrite("clerk", "a", "a1", Outcome::NotRun);
    byLog.log({ 1, 2 }, "a", "request-1");
    cr_assert(byLog.findsOnly(ViolationKind::FalseNotRun));
}

// Guards against a repeat that was refused being blamed for the write of an attempt that got no answer and hence no
// request id.
Test(HistoryChecker, allowsNotRunBesideUnansweredAttempt)
{
    HistoryBuilder history;
    Operation& unanswered = history.failedWrite("clerk", "a", "a1", Outcome::Unknown);
    unanswered.idempotencyKey = "k1";
    unanswered.requestId.clear();
    Operation& refused = history.failedWrite("clerk", "a", "a1", Outcome::NotRun);
    refused.idempotencyKey = "k1";
    refused.firstAttempt = unanswered.number;
    history.log({ 1, 2 }, "a", refused.requestId);
    cr_assert(history.isClean());

    // The unanswered attempt of another request excuses nothing.
    refused.firstAttempt = refused.number;
    cr_assert(history.findsOnly(ViolationKind::FalseNotRun));
}

// Guards against a repeat after not_run being taken for evidence that the first attempt ran.
Test(HistoryChecker, allowsRepeatAfterNotRun)
{
    HistoryBuilder history;
    history.failedWrite("clerk", "a", "a1", Outcome::NotRun);
    history.write("clerk", "a", "a1", { 1, 2 });
    history.read("buyer", "a", "a1", { 1, 2 });
    history.finalRead("a", "a1");
    cr_assert(history.isClean());
}

// Guards against transactions of which a part is visible: uncommitted, half read, half kept.
Test(HistoryChecker, findsPartlyVisibleTransaction)
{
    HistoryBuilder uncommitted;
    uncommitted.inTransaction(OperationType::Write, "t1", "a", "a1");
    uncommitted.read("buyer", "a", "a1", { 1, 2 });
    cr_assert(uncommitted.findsOnly(ViolationKind::TransactionPartlyVisible));

    HistoryBuilder halfRead;
    halfRead.inTransaction(OperationType::Write, "t1", "a", "a1");
    halfRead.inTransaction(OperationType::Write, "t1", "b", "b1");
    halfRead.inTransaction(OperationType::Commit, "t1", "", "", { 1, 3 });
    halfRead.read("buyer", "a", "a1", { 1, 3 });
    halfRead.read("buyer", "b", "", { 1, 3 });
    cr_assert(halfRead.findsOnly(ViolationKind::TransactionPartlyVisible));

    HistoryBuilder halfKept;
    halfKept.inTransaction(OperationType::Write, "t1", "a", "a1");
    halfKept.inTransaction(OperationType::Write, "t1", "b", "b1");
    Operation& commit = halfKept.inTransaction(OperationType::Commit, "t1", "");
    commit.isAcknowledged = false;
    commit.outcome = Outcome::Unknown;
    halfKept.finalRead("a", "a1");
    halfKept.finalRead("b", "");
    cr_assert(halfKept.findsOnly(ViolationKind::TransactionPartlyVisible));

    HistoryBuilder halfLogged;
    halfLogged.inTransaction(OperationType::Write, "t1", "a", "a1");
    halfLogged.inTransaction(OperationType::Write, "t1", "b", "b1");
    halfLogged.inTransaction(OperationType::Commit, "t1", "", "", { 1, 3 });
    halfLogged.log({ 1, 3 }, "b", "request-3");
    cr_assert(halfLogged.findsOnly(ViolationKind::TransactionPartlyVisible));
}

// Guards against statements of another request inside a transaction.
Test(HistoryChecker, findsMixedTransaction)
{
    HistoryBuilder inLog;
    inLog.inTransaction(OperationType::Write, "t1", "a", "a1");
    inLog.inTransaction(OperationType::Write, "t1", "b", "b1");
    inLog.inTransaction(OperationType::Commit, "t1", "", "", { 1, 4 });
    inLog.log({ 1, 2 }, "a", "request-3");
    inLog.log({ 1, 3 }, "z", "someone else");
    inLog.log({ 1, 4 }, "b", "request-3");
    cr_assert(inLog.findsOnly(ViolationKind::TransactionMixed));

    HistoryBuilder inRead;
    inRead.write("buyer", "a", "foreign", { 1, 2 });
    inRead.inTransaction(OperationType::Write, "t1", "a", "a1");
    inRead.inTransaction(OperationType::Read, "t1", "a", "foreign");
    cr_assert(inRead.findsOnly(ViolationKind::TransactionMixed));
}

// Guards against two primaries of one term.
Test(HistoryChecker, findsTwoWritesAtOnePosition)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    history.write("buyer", "b", "b1", { 1, 2 });
    cr_assert(history.findsOnly(ViolationKind::PositionConflict));

    HistoryBuilder insideTransaction;
    insideTransaction.inTransaction(OperationType::Write, "t1", "a", "a1");
    insideTransaction.inTransaction(OperationType::Write, "t1", "b", "b1");
    Operation& commit = insideTransaction.inTransaction(OperationType::Commit, "t1", "", "", { 1, 3 });
    commit.answeredAt += Microseconds(5000);
    insideTransaction.write("buyer", "c", "c1", { 1, 2 });
    cr_assert(insideTransaction.findsOnly(ViolationKind::PositionConflict));
}

// Guards against an acknowledgement by a primary that a later term has superseded.
Test(HistoryChecker, findsSupersededPrimary)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 2, 5 });
    history.write("buyer", "b", "b1", { 1, 6 });
    cr_assert(history.findsOnly(ViolationKind::SupersededPrimary));
}

// Guards against calling a late answer of the old term an acknowledgement after the new one.
Test(HistoryChecker, allowsOverlappingAnswersOfTwoTerms)
{
    HistoryBuilder history;
    history.write("buyer", "b", "b1", { 1, 6 }).answeredAt += Microseconds(5000);
    history.write("clerk", "a", "a1", { 2, 7 });
    cr_assert(history.isClean());
}
