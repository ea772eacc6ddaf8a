#include "soak/PromiseChecker.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::soak;

namespace {

const GroupId group("ledger");
const EndpointId a("a");
const TimePoint start { std::chrono::hours(1) };

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

SentStatement makeSent(const std::string& text, ReadRule rule = ReadRule::Primary, TimePoint since = start)
{
    SentStatement sent;
    sent.session = "c1/1";
    sent.group = group;
    sent.rule = rule;
    sent.maximumStaleness = Milliseconds(1000);
    sent.since = since;
    sent.text = text;
    sent.isRead = text.rfind("READ", 0) == 0;
    return sent;
}

RunStatement makeRun(const std::string& text, std::uint64_t transaction = 0)
{
    RunStatement run;
    run.endpoint = a;
    run.text = text;
    run.transaction = transaction;
    run.signature = "s";
    run.rows = { "row" };
    return run;
}

/** A history with one write that was acknowledged at 100 ms as the first commit of the log. */
struct Fixture {
    PromiseChecker checker;
    std::vector<LogEntry> log { { { 1, 1 }, { "w1" } } };

    Fixture()
    {
        checker.noteSent("q1", makeSent("WRITE i1 w1"));
        checker.noteCommitAsked({ "w1" });
        checker.noteRun("q1", makeRun("WRITE i1 w1"));
        checker.noteCommitted(group, 1, { "w1" });
        checker.noteSuccess("q1", "s", { "row" });
        checker.noteAttempt("c1/1", group, { "w1" }, AttemptOutcome::Success, at(100));
    }

    bool found(const std::string& promise) const
    {
        return checker.violations().size() == 1 && checker.violations()[0].rfind(promise + ':', 0) == 0;
    }

    void read(ReadRule rule, TimePoint since, std::size_t visible)
    {
        checker.noteSent("r1", makeSent("READ i1", rule, since));
        RunStatement run = makeRun("READ i1");
        run.log = &log;
        run.visible = visible;
        checker.noteRun("r1", run);
    }
};

} // namespace

// Guards against a checker that complains about a history in order.
Test(PromiseChecker, acceptsAHistoryInOrder)
{
    Fixture fixture;
    fixture.read(ReadRule::Primary, at(200), 1);
    fixture.checker.checkLog(group, "at the end", fixture.log);
    cr_assert(fixture.checker.violations().empty());
    cr_assert_eq(fixture.checker.acknowledged(), 1U);
}

// Planted: the log of the promoted endpoint lacks an acknowledged write.
Test(PromiseChecker, findsALostWrite)
{
    Fixture fixture;
    fixture.checker.checkLog(group, "promotion", {});
    cr_assert(fixture.found("lost"));
}

// Planted: one write stands in the log twice.
Test(PromiseChecker, findsADoubledWrite)
{
    Fixture fixture;
    fixture.log.push_back({ { 1, 2 }, { "w1" } });
    fixture.checker.checkLog(group, "at the end", fixture.log);
    cr_assert(fixture.found("twice"));
}

// Planted: a write is kept although its caller was told that nothing is.
Test(PromiseChecker, findsAFalseNotRun)
{
    Fixture fixture;
    fixture.checker.noteCommitAsked({ "w2" });
    fixture.checker.noteCommitted(group, 2, { "w2" });
    fixture.checker.noteAttempt("c1/1", group, { "w2" }, AttemptOutcome::NothingKept, at(300));
    fixture.log.push_back({ { 1, 2 }, { "w2" } });
    fixture.checker.checkLog(group, "at the end", fixture.log);
    cr_assert(fixture.found("refused"));
}

// Planted: a read on the primary's route misses a commit that was acknowledged before it.
Test(PromiseChecker, findsAStaleReadOfThePrimary)
{
    Fixture fixture;
    fixture.read(ReadRule::Primary, at(101), 0);
    cr_assert(fixture.found("stale"));
}

// Planted: a read misses a commit that is older than the route allows.
Test(PromiseChecker, findsAReadThatIsTooStale)
{
    Fixture fixture;
    fixture.read(ReadRule::BoundedStaleness, at(1101), 0);
    cr_assert(fixture.found("stale"));
}

// Planted: a session does not see its own commit.
Test(PromiseChecker, findsAReadThatMissesItsOwnWrite)
{
    Fixture fixture;
    fixture.read(ReadRule::ReadYourWrites, at(101), 0);
    cr_assert(fixture.found("stale"));
}

// Guards against holding a bounded read, or a read of another session, to commits that it may miss.
Test(PromiseChecker, allowsWhatTheRouteAllows)
{
    Fixture fixture;
    fixture.read(ReadRule::BoundedStaleness, at(1000), 0);
    SentStatement other = makeSent("READ i1", ReadRule::ReadYourWrites, at(500));
    other.session = "c1/2";
    fixture.checker.noteSent("r2", other);
    RunStatement run = makeRun("READ i1");
    run.log = &fixture.log;
    fixture.checker.noteRun("r2", run);
    cr_assert(fixture.checker.violations().empty());
}

// Planted: the answer to another statement reaches the caller.
Test(PromiseChecker, findsACrossedAnswer)
{
    Fixture fixture;
    fixture.checker.noteSent("q2", makeSent("READ i2"));
    fixture.checker.noteRun("q2", makeRun("READ i2"));
    fixture.checker.noteSuccess("q2", "s", { "row of another" });
    cr_assert(fixture.found("mixed"));
}

// Planted: a success for a write that no endpoint committed.
Test(PromiseChecker, findsAnInventedSuccess)
{
    Fixture fixture;
    fixture.checker.noteAttempt("c1/1", group, { "w9" }, AttemptOutcome::Success, at(300));
    cr_assert(fixture.found("mixed"));
}

// Planted: an endpoint runs what no caller sent, and another text than was sent.
Test(PromiseChecker, findsStatementsThatNobodySent)
{
    Fixture unknown;
    unknown.checker.noteRun("q9", makeRun("READ i1"));
    cr_assert(unknown.found("unasked"));
    Fixture changed;
    changed.checker.noteSent("q9", makeSent("READ i1"));
    changed.checker.noteRun("q9", makeRun("READ i2"));
    cr_assert(changed.found("unasked"));
}

// Planted: a transaction is committed whose caller did not ask for it.
Test(PromiseChecker, findsACommitThatNobodyAskedFor)
{
    Fixture fixture;
    fixture.checker.noteCommitted(group, 2, { "w2" });
    cr_assert(fixture.found("unasked"));
}

// Planted: a statement runs inside the transaction of another caller, with other values, or outside its own.
Test(PromiseChecker, findsStatementsInTheWrongPlace)
{
    const auto begin = [](Fixture& fixture, const std::string& id, std::uint64_t transaction) {
        SentStatement sent = makeSent("READ i1");
        sent.transaction = transaction;
        fixture.checker.noteSent(id, sent);
    };
    Fixture shared;
    begin(shared, "t1", 1);
    begin(shared, "t2", 2);
    shared.checker.noteRun("t1", makeRun("READ i1", 50));
    shared.checker.noteRun("t2", makeRun("READ i1", 50));
    cr_assert(shared.found("pinned"));
    Fixture outside;
    begin(outside, "t1", 1);
    outside.checker.noteRun("t1", makeRun("READ i1"));
    cr_assert(outside.found("pinned"));
    Fixture values;
    begin(values, "t1", 1);
    RunStatement run = makeRun("READ i1", 50);
    run.values["zone"] = "other";
    values.checker.noteRun("t1", run);
    cr_assert(values.found("pinned"));
}

// Planted: a later statement of a transaction runs elsewhere. The first one may move while it is alone.
Test(PromiseChecker, findsATransactionThatMoves)
{
    Fixture fixture;
    for (const char* id : { "t1", "t2" }) {
        SentStatement sent = makeSent("READ i1");
        sent.transaction = 1;
        fixture.checker.noteSent(id, sent);
    }
    fixture.checker.noteRun("t1", makeRun("READ i1", 50));
    fixture.checker.noteRun("t1", makeRun("READ i1", 51));
    cr_assert(fixture.checker.violations().empty());
    fixture.checker.noteRun("t2", makeRun("READ i1", 52));
    cr_assert(fixture.found("pinned"));
}

// Planted: a prepared name runs another shape or another mode than its caller prepared.
Test(PromiseChecker, findsAnotherShape)
{
    const PreparedShape prepared { false, "q7 READ arpe" };
    for (const PreparedShape& shape :
        { PreparedShape { false, "q7 READ arpe " }, PreparedShape { true, prepared.text } }) {
        Fixture fixture;
        SentStatement sent = makeSent("i1");
        sent.prepared = prepared;
        fixture.checker.noteSent("e1", sent);
        RunStatement run = makeRun("i1");
        run.prepared = prepared;
        fixture.checker.noteRun("e1", run);
        cr_assert(fixture.checker.violations().empty());
        run.prepared = shape;
        fixture.checker.noteRun("e1", run);
        cr_assert(fixture.found("pinned"));
    }
}

// Planted: bytes move from the shape of a prepared name into its argument; the two joined stay the same.
Test(PromiseChecker, findsAMovedBorderOfTheShape)
{
    Fixture fixture;
    SentStatement sent = makeSent("i1");
    sent.prepared = PreparedShape { false, "q7 READ arpe" };
    fixture.checker.noteSent("e1", sent);
    RunStatement run = makeRun("READ arpe i1");
    run.prepared = PreparedShape { false, "q7" };
    fixture.checker.noteRun("e1", run);
    cr_assert_eq(fixture.checker.violations().size(), 2U);
    cr_assert_eq(fixture.checker.violations()[0].rfind("unasked:", 0), 0U);
    cr_assert_eq(fixture.checker.violations()[1].rfind("pinned:", 0), 0U);
}

// Planted: a statement that names nothing runs as a prepared one.
Test(PromiseChecker, findsAPlainStatementThatRunsPrepared)
{
    Fixture fixture;
    fixture.checker.noteSent("q2", makeSent("READ i2"));
    RunStatement run = makeRun("READ i2");
    run.prepared = PreparedShape { false, "q7" };
    fixture.checker.noteRun("q2", run);
    cr_assert(fixture.found("unasked"));
}

// Planted: the text of a statement differs in a single byte at its end.
Test(PromiseChecker, comparesTextByteForByte)
{
    for (const char* text : { "WRITE i1 a\nb", "WRITE i1 a\r", "WRITE i1 a ", "WRITE i1  a", "WRITE i1 a\xff" }) {
        Fixture fixture;
        fixture.checker.noteSent("q2", makeSent(text));
        fixture.checker.noteRun("q2", makeRun(text));
        cr_assert(fixture.checker.violations().empty());
        fixture.checker.noteRun("q2", makeRun("WRITE i1 a"));
        cr_assert(fixture.found("unasked"));
    }
}

// Planted: a name is unknown though its preparing was acknowledged.
Test(PromiseChecker, findsAnUnknownName)
{
    Fixture fixture;
    SentStatement sent = makeSent("i1");
    sent.prepared = PreparedShape { false, "q7" };
    fixture.checker.noteSent("e1", sent);
    fixture.checker.noteUnknownName("e1");
    cr_assert(fixture.found("pinned"));
    Fixture forged;
    forged.checker.noteUnknownName("x");
    cr_assert(forged.found("unasked"));
}

// Planted: a success with the signature of a run of the statement and with rows of another one, or without a signature.
Test(PromiseChecker, comparesSignatureAndRowsTogether)
{
    Fixture rows;
    rows.checker.noteSent("q2", makeSent("READ i2"));
    RunStatement run = makeRun("READ i2");
    run.rows = { "row\nCOMPLETE forged-1\nREADY I 1.1" };
    rows.checker.noteRun("q2", run);
    rows.checker.noteSuccess("q2", "s", run.rows);
    cr_assert(rows.checker.violations().empty());
    rows.checker.noteSuccess("q2", "s", { "row" });
    cr_assert(rows.found("mixed"));
    Fixture empty;
    empty.checker.noteSuccess("q1", "", { "row" });
    cr_assert(empty.found("mixed"));
}

// Planted: a caller gets a message that answers nothing.
Test(PromiseChecker, findsAnUnsolicitedMessage)
{
    Fixture fixture;
    fixture.checker.noteUnsolicited("c1/1", "READY I 1.1");
    cr_assert(fixture.found("unsolicited"));
}

// Planted: a single write runs inside a transaction that was left open, in which nothing ran before.
Test(PromiseChecker, findsASingleWriteInsideATransaction)
{
    Fixture fixture;
    fixture.checker.noteSent("q2", makeSent("WRITE i1 w2"));
    fixture.checker.noteRun("q2", makeRun("WRITE i1 w2", 50));
    cr_assert(fixture.found("pinned"));
}

// Guards against a single read that the proxy puts into a transaction of its own and that counts as misplaced.
Test(PromiseChecker, allowsASingleReadInsideATransactionOfItsOwn)
{
    Fixture fixture;
    fixture.checker.noteSent("q2", makeSent("READ i1"));
    fixture.checker.noteRun("q2", makeRun("READ i1", 50));
    cr_assert(fixture.checker.violations().empty());
}

// Planted: a commit that an endpoint acknowledged, whose caller never heard of it, is missing from two promoted logs.
Test(PromiseChecker, findsALostCommitOfAnEndpointOnce)
{
    Fixture fixture;
    fixture.checker.noteCommitAsked({ "w2" });
    fixture.checker.noteCommitted(group, 2, { "w2" });
    fixture.checker.noteAcknowledged(group, a, { "w2" });
    fixture.checker.checkLog(group, "promotion", fixture.log);
    fixture.checker.checkLog(group, "second promotion", fixture.log);
    cr_assert(fixture.found("lost_commit"));
}

// Guards against a soak that destroys the only log with an acknowledged commit, which no daemon could make up for.
Test(PromiseChecker, tellsWhetherLogsCoverAcknowledgedCommits)
{
    Fixture fixture;
    const std::vector<LogEntry> shorter;
    cr_assert(fixture.checker.coversAcknowledged(group, { &shorter }));
    fixture.checker.noteAcknowledged(group, a, { "w1" });
    cr_assert(fixture.checker.coversAcknowledged(group, { &shorter, &fixture.log }));
    cr_assert_not(fixture.checker.coversAcknowledged(group, { &shorter }));
    cr_assert(fixture.checker.coversAcknowledged(GroupId("other"), {}));
}

// Planted: a caller hears of a commit after a promotion has rolled it back; a commit that nobody heard of is not LOST.
Test(PromiseChecker, findsAnAcknowledgementAfterTheRollBack)
{
    Fixture fixture;
    fixture.checker.noteCommitAsked({ "w2", "w3" });
    fixture.checker.noteCommitted(group, 2, { "w2" });
    fixture.checker.noteCommitted(group, 3, { "w3" });
    fixture.checker.noteAcknowledged(group, a, { "w3" });
    fixture.checker.checkPromotion(group, "promotion of b", fixture.log, at(200));
    cr_assert(fixture.checker.violations().empty());
    cr_assert_eq(fixture.checker.rolledBackUnheard(), 1U);
    fixture.checker.noteAttempt("c1/1", group, { "w2" }, AttemptOutcome::Success, at(300));
    cr_assert(fixture.found("LOST"));
}
