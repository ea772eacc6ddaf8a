#include "mocks/DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

DispatcherSettings withSuspensionLimit()
{
    DispatcherSettings settings;
    settings.suspensionLimit = Milliseconds(1000);
    return settings;
}

struct Fixture : DispatcherFixture {
    using DispatcherFixture::DispatcherFixture;

    void hold() { dispatcher.holdWrites(group, true, timers.now()); }
    void release(const EndpointId& leader = EndpointId(), Term leaderTerm = 0)
    {
        dispatcher.holdWrites(group, false, timers.now(), leader, leaderTerm);
    }

    /** Another endpoint leads in a newer term; the former primary does not know. */
    void promoteUnseen()
    {
        endpoints.server(b).leads = true;
        endpoints.server(b).position = { 2, 100 };
    }

    /** A write that is on its way when the writes are held. */
    void sendBeforeHold(FakeCaller& caller, Milliseconds work)
    {
        endpoints.server(a).work = work;
        caller.write("w1");
        advance(Milliseconds(5));
        hold();
    }
};

} // namespace

// Guards against a write that the former primary acknowledges after the log of its successor was chosen.
Test(WriteHold, writesAndTransactionsWaitForTheEnd)
{
    Fixture fixture;
    cr_assert(!fixture.dispatcher.areWritesHeld(fixture.group));
    fixture.hold();
    cr_assert(fixture.dispatcher.areWritesHeld(fixture.group));
    FakeCaller writer(fixture, "orders");
    writer.write("w1");
    FakeCaller transaction(fixture, "orders");
    transaction.begin();
    transaction.read("r1");
    fixture.advance(Milliseconds(300));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
    cr_assert_eq(fixture.endpoints.runsOf("r1"), 0U);
    cr_assert(writer.replies.empty());
    fixture.release();
    cr_assert(!fixture.dispatcher.areWritesHeld(fixture.group));
    fixture.advance(Milliseconds(50));
    cr_assert(writer.succeeded());
    cr_assert(transaction.succeeded());
}

// Guards against a hold that ends with that of an order to step down, which ends by time and with a new primary.
Test(WriteHold, outlastsTheHoldOfAStepDown)
{
    Fixture fixture;
    fixture.hold();
    fixture.dispatcher.stepDown(
        fixture.group, fixture.a, 5, [](const StepDownReport&, TimePoint) {}, fixture.timers.now());
    fixture.dispatcher.endHold(fixture.group, fixture.timers.now());
    fixture.promoteUnseen();
    fixture.advance(DispatcherSettings().stepDownHoldTime);
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(500));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
    fixture.release(fixture.b);
    fixture.advance(Milliseconds(50));
    cr_assert(caller.succeeded() || caller.hasError(StatementError::Busy));
}

// Guards against a commit that a caller hears of although only a former primary has it: this daemon did not learn of
// the change in time to hold writes, and knows the present primary by now.
Test(WriteHold, acknowledgementOfAFormerPrimaryIsNoSuccess)
{
    for (const bool isReplaced : { false, true }) {
        Fixture fixture;
        fixture.endpoints.server(fixture.a).work = Milliseconds(100);
        FakeCaller caller(fixture, "orders");
        caller.write("w1");
        fixture.advance(Milliseconds(5));
        if (isReplaced) {
            fixture.promoteUnseen();
            fixture.directory.noteLeading(fixture.b, 2);
        }
        fixture.advance(Milliseconds(200));
        cr_assert_eq(fixture.endpoints.runsOf("w1"), 1U);
        cr_expect_eq(caller.succeeded(), !isReplaced);
        cr_expect_eq(caller.hasError(StatementError::Unknown), isReplaced);
    }
}

// Guards against reads that fail during a change of the primary although replicas serve them.
Test(WriteHold, readsAreServed)
{
    Fixture fixture;
    fixture.hold();
    FakeCaller caller(fixture, "proofs");
    caller.read("r1");
    fixture.advance(Milliseconds(50));
    cr_assert(caller.succeeded());
    FakeCaller transaction(fixture, "proofs");
    transaction.beginReadOnly();
    transaction.read("r2");
    fixture.advance(Milliseconds(50));
    transaction.read("r3");
    transaction.commit("c1");
    fixture.advance(Milliseconds(50));
    cr_assert(transaction.succeeded());
    cr_assert_eq(fixture.endpoints.runsOf("r3"), 1U);
}

// Guards against a commit that reaches the former primary through a transaction opened before the hold.
Test(WriteHold, commitOfAnOpenTransactionIsNotSent)
{
    Fixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(50));
    cr_assert(caller.succeeded());
    fixture.hold();
    const std::size_t replies = caller.replies.size();
    caller.commit("c1");
    fixture.advance(Milliseconds(200));
    cr_assert_eq(fixture.endpoints.runsOf("c1"), 0U);
    cr_assert_eq(caller.replies.size(), replies);
    fixture.release();
    fixture.advance(Milliseconds(50));
    cr_assert(caller.succeeded());
    cr_assert_eq(fixture.endpoints.runsOf("c1"), 1U);
}

// Guards against a commit that is sent to a former primary, or reported as possibly run although it was not sent.
Test(WriteHold, heldCommitIsAbortedAtItsDeadlineOrByANewPrimary)
{
    for (const bool hasNewPrimary : { false, true }) {
        Fixture fixture;
        FakeCaller caller(fixture, "orders");
        caller.begin();
        caller.write("w1");
        fixture.advance(Milliseconds(50));
        fixture.hold();
        caller.commit("c1");
        if (hasNewPrimary) {
            fixture.promoteUnseen();
            fixture.advance(Milliseconds(300));
            fixture.release();
        } else {
            fixture.advance(Milliseconds(1100));
        }
        cr_assert(caller.hasError(StatementError::Aborted));
        cr_assert(caller.replies.back().state == TransactionState::None);
        fixture.release();
        fixture.advance(Milliseconds(100));
        cr_assert_eq(fixture.endpoints.runsOf("c1"), 0U);
    }
}

// Guards against a held commit of a connection that was lost, which nobody would answer before its deadline.
Test(WriteHold, heldCommitOfALostConnectionIsAborted)
{
    Fixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(50));
    fixture.hold();
    caller.commit("c1");
    fixture.endpoints.crash(fixture.a);
    fixture.advance(Milliseconds(100));
    cr_assert(caller.hasError(StatementError::Aborted));
}

// Guards against a statement that is sent after the beginning of the hold because its connection was still being
// prepared for it then.
Test(WriteHold, statementWhoseTransactionIsBeingBegunIsNotSent)
{
    Fixture fixture;
    fixture.endpoints.server(fixture.a).distance = Milliseconds(5);
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(3));
    fixture.hold();
    fixture.advance(Milliseconds(200));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
    cr_assert_eq(caller.replies.size(), 1U);
    fixture.release();
    fixture.advance(Milliseconds(100));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 1U);
    cr_assert(caller.succeeded());
}

// Guards against a success for a commit that the promoted server may lack, and against an unknown outcome where no
// other server was promoted.
Test(WriteHold, acknowledgementIsDecidedAtTheEnd)
{
    Fixture unchanged;
    FakeCaller first(unchanged, "orders");
    unchanged.sendBeforeHold(first, Milliseconds(30));
    unchanged.advance(Milliseconds(100));
    cr_assert_eq(unchanged.endpoints.runsOf("w1"), 1U);
    cr_assert(first.replies.empty());
    const LogPosition before = unchanged.dispatcher.acknowledgedPositionOf(unchanged.group, unchanged.timers.now());
    unchanged.release();
    cr_assert(first.succeeded());
    cr_assert(before < unchanged.dispatcher.acknowledgedPositionOf(unchanged.group, unchanged.timers.now()));

    Fixture changed;
    FakeCaller second(changed, "orders");
    changed.sendBeforeHold(second, Milliseconds(30));
    changed.advance(Milliseconds(100));
    changed.promoteUnseen();
    changed.advance(Milliseconds(300));
    cr_assert(second.replies.empty());
    changed.release();
    cr_assert(second.hasError(StatementError::Unknown));
}

// Guards against a success that rests on a directory that has not learnt of the new primary, and against writes that
// are sent to the former one after the hold.
Test(WriteHold, primaryOfTheRecordDecides)
{
    Fixture fixture;
    FakeCaller caller(fixture, "orders");
    fixture.sendBeforeHold(caller, Milliseconds(30));
    fixture.advance(Milliseconds(100));
    cr_assert(caller.replies.empty());
    fixture.promoteUnseen();
    FakeCaller next(fixture, "orders");
    next.write("w2");
    fixture.release(fixture.b, 2);
    cr_assert(caller.hasError(StatementError::Unknown));
    fixture.advance(Milliseconds(300));
    cr_assert(next.succeeded());
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.b);
}

// Guards against a record of an earlier change that makes the present primary's acknowledgements count for nothing.
Test(WriteHold, recordOfAnEarlierTermDoesNotCount)
{
    Fixture fixture;
    fixture.endpoints.server(fixture.a).position = { 4, 200 };
    fixture.advance(Milliseconds(500));
    FakeCaller caller(fixture, "orders");
    fixture.sendBeforeHold(caller, Milliseconds(30));
    fixture.advance(Milliseconds(100));
    cr_assert(caller.replies.empty());
    fixture.release(fixture.b, 3);
    cr_assert(caller.succeeded());
}

// Guards against a caller without an answer while the change does not end.
Test(WriteHold, acknowledgementIsUnknownAtTheDeadline)
{
    Fixture fixture;
    FakeCaller caller(fixture, "orders");
    fixture.sendBeforeHold(caller, Milliseconds(30));
    fixture.advance(Milliseconds(950));
    cr_assert(caller.replies.empty());
    fixture.advance(Milliseconds(100));
    cr_assert(caller.hasError(StatementError::Unknown));
    cr_assert_eq(caller.replies.size(), 1U);
    fixture.release();
    cr_assert_eq(caller.replies.size(), 1U);
}

// Guards against an acknowledgement of the former primary that arrives after the change has ended.
Test(WriteHold, lateAcknowledgementOfTheFormerPrimaryIsUnknown)
{
    Fixture fixture;
    FakeCaller caller(fixture, "orders");
    fixture.sendBeforeHold(caller, Milliseconds(600));
    fixture.promoteUnseen();
    fixture.advance(Milliseconds(300));
    fixture.release();
    cr_assert(caller.replies.empty());
    fixture.advance(Milliseconds(400));
    cr_assert(caller.hasError(StatementError::Unknown));
}

// Guards against a held write that is reported as not run because no primary is expected before its deadline.
Test(WriteHold, heldAcknowledgementIsNotRefused)
{
    Fixture fixture;
    FakeCaller caller(fixture, "orders");
    fixture.sendBeforeHold(caller, Milliseconds(30));
    fixture.advance(Milliseconds(75));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 1U);
    FakeCaller waiting(fixture, "orders");
    waiting.write("w2");
    fixture.dispatcher.setMissingLogs(fixture.group, 1);
    fixture.advance(Milliseconds(100));
    cr_assert(waiting.hasError(StatementError::Busy));
    cr_assert(caller.replies.empty());
    fixture.release();
    cr_assert(caller.succeeded());
}

// Guards against answering a caller that has gone, and against a connection that stays reserved for it.
Test(WriteHold, callersMayLeaveDuringTheHold)
{
    Fixture fixture;
    {
        FakeCaller writer(fixture, "orders");
        FakeCaller transaction(fixture, "orders");
        transaction.begin();
        transaction.write("w0");
        fixture.advance(Milliseconds(50));
        fixture.sendBeforeHold(writer, Milliseconds(10));
        transaction.commit("c0");
        fixture.advance(Milliseconds(100));
        cr_assert_eq(fixture.endpoints.runsOf("w1"), 1U);
        writer.session.onCallerClosed(fixture.timers.now());
        transaction.session.onCallerClosed(fixture.timers.now());
    }
    fixture.release();
    fixture.advance(Milliseconds(100));
    cr_assert_eq(fixture.endpoints.runsOf("c0"), 0U);
    FakeCaller next(fixture, "orders");
    next.write("w2");
    fixture.advance(Milliseconds(50));
    cr_assert(next.succeeded());
}

// A daemon that was suspended handles the answers in its sockets before its first tick. Guards against passing on an
// acknowledgement of the former primary then, and against writing to it before the news of its successor.
Test(WriteHold, answersAfterASuspensionWaitForNews)
{
    for (const bool hasNewPrimary : { false, true }) {
        Fixture fixture(withSuspensionLimit());
        fixture.configuration->routes[DatabaseId("orders")].statementTimeout = Milliseconds(5000);
        FakeCaller caller(fixture, "orders");
        fixture.endpoints.server(fixture.a).work = Milliseconds(2000);
        caller.write("w1");
        // Answers arrive while no tick runs.
        fixture.timers.advance(Milliseconds(2500));
        cr_assert_eq(fixture.endpoints.runsOf("w1"), 1U);
        cr_assert(caller.replies.empty());
        cr_assert(fixture.dispatcher.awaitsNewsSince().has_value());
        fixture.endpoints.server(fixture.a).work = Milliseconds(10);
        FakeCaller next(fixture, "orders");
        next.write("w2");
        fixture.advance(Milliseconds(100));
        cr_assert(!fixture.dispatcher.areWritesHeld(fixture.group));
        cr_assert_eq(fixture.endpoints.runsOf("w2"), 0U);
        const TimePoint since = *fixture.dispatcher.awaitsNewsSince();
        fixture.dispatcher.noteNews(since - Milliseconds(1), fixture.timers.now());
        cr_assert(caller.replies.empty(), "the news are from before the end of the suspension");
        if (hasNewPrimary) {
            fixture.hold();
            fixture.release(fixture.b);
            cr_assert(caller.replies.empty(), "records of other changes may follow");
        }
        fixture.dispatcher.noteNews(since, fixture.timers.now());
        cr_assert(!fixture.dispatcher.awaitsNewsSince().has_value());
        cr_assert(hasNewPrimary ? caller.hasError(StatementError::Unknown) : caller.succeeded());
        fixture.advance(Milliseconds(100));
        cr_assert(next.succeeded());
    }
}

// Guards against a group without writes for as long as the store is away, and against a hold after each slow tick.
Test(WriteHold, holdAfterASuspensionIsBounded)
{
    Fixture fixture(withSuspensionLimit());
    fixture.timers.advance(Milliseconds(900));
    fixture.advance(Milliseconds(25));
    cr_assert(!fixture.dispatcher.awaitsNewsSince().has_value());
    fixture.timers.advance(Milliseconds(1100));
    fixture.advance(DispatcherSettings().suspensionHoldLimit - Milliseconds(100));
    cr_assert(fixture.dispatcher.awaitsNewsSince().has_value());
    fixture.advance(Milliseconds(200));
    cr_assert(!fixture.dispatcher.awaitsNewsSince().has_value());
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
}
