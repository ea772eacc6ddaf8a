#include "mocks/DispatcherFixture.h"

#include <criterion/criterion.h>
#include <functional>

using namespace almondlever;

// Guards against running a transaction's statements on several connections or mixing them with those of another caller.
Test(Session, transactionStaysOnOneConnection)
{
    DispatcherFixture fixture;
    FakeCaller first(fixture, "orders");
    FakeCaller second(fixture, "orders");
    first.begin();
    first.write("1");
    fixture.advance(Milliseconds(50));
    second.write("2");
    fixture.advance(Milliseconds(50));
    first.read("3");
    fixture.advance(Milliseconds(50));
    first.commit("4");
    fixture.advance(Milliseconds(50));
    cr_assert(first.succeeded());
    cr_assert(second.succeeded());
    std::size_t connection = 0;
    for (const RunStatement& run : fixture.endpoints.runs()) {
        if (run.id == "2")
            continue;
        if (connection == 0)
            connection = run.connection;
        cr_assert_eq(run.connection, connection);
        cr_assert(run.wasInTransaction);
    }
    for (const RunStatement& run : fixture.endpoints.runs()) {
        if (run.id == "2")
            cr_assert_neq(run.connection, connection);
    }
}

// Guards against running statements with the session values of another caller.
Test(Session, statementsRunWithValuesOfTheirCaller)
{
    DispatcherFixture fixture;
    FakeCaller first(fixture, "orders");
    FakeCaller second(fixture, "orders");
    first.say(StatementKind::SetValue, "s", "SET zone 1", "zone", "1");
    second.say(StatementKind::SetValue, "s", "SET limit 2", "limit", "2");
    for (int i = 0; i < 4; ++i) {
        first.write("f" + std::to_string(i));
        second.write("s" + std::to_string(i));
        fixture.advance(Milliseconds(100));
    }
    for (const RunStatement& run : fixture.endpoints.runs()) {
        const std::map<std::string, std::string> expected = run.id[0] == 'f'
            ? std::map<std::string, std::string> { { "zone", "1" } }
            : std::map<std::string, std::string> { { "limit", "2" } };
        cr_assert(run.values == expected, "statement %s ran with other values", run.id.c_str());
    }
    cr_assert_eq(fixture.endpoints.runs().size(), 8U);
}

// Guards against executing an acknowledged prepared statement on an endpoint that does not have it.
Test(Session, preparedStatementsFollowTheSession)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "jobs");
    caller.say(StatementKind::Prepare, "p", "PREPARE s1 READ q2c", "s1", "q2c", false);
    cr_assert(caller.succeeded());
    for (int i = 0; i < 6; ++i) {
        caller.say(StatementKind::Execute, "e" + std::to_string(i), "EXECUTE s1 x", "s1", "x");
        fixture.advance(Milliseconds(60));
        cr_assert(caller.succeeded());
    }
    caller.say(StatementKind::Deallocate, "d", "DEALLOC s1", "s1");
    caller.say(StatementKind::Execute, "e9", "EXECUTE s1 x", "s1", "x");
    cr_assert(caller.hasError(StatementError::UnknownStatement));
}

// Guards against reading from a replica that lacks the session's own commit.
Test(Session, readsItsOwnWrites)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "jobs");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    caller.read("r1");
    fixture.advance(Milliseconds(200));
    cr_assert(caller.succeeded());
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.a, "the replicas do not have the commit");
}

// Guards against an idle transaction that occupies a connection forever, and against ending it without an error to its
// caller.
Test(Session, idleTransactionIsEnded)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    fixture.advance(Milliseconds(3000));
    caller.session.onTick(fixture.timers.now());
    caller.write("w2");
    cr_assert(caller.hasError(StatementError::Aborted));
    cr_assert(caller.replies.back().state == TransactionState::Failed);
    caller.commit("c1");
    cr_assert(caller.hasError(StatementError::Aborted));
    cr_assert(caller.replies.back().state == TransactionState::None);
    caller.write("w3");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
}

// Guards against running further statements of a transaction after one has failed.
Test(Session, failedTransactionRunsNoStatements)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.say(StatementKind::Malformed, "m", "NONSENSE");
    cr_assert(caller.hasError(StatementError::Malformed));
    caller.write("w1");
    cr_assert(caller.hasError(StatementError::Malformed));
    caller.say(StatementKind::Rollback, "b", "ROLLBACK");
    cr_assert(caller.succeeded());
    cr_assert(caller.replies.back().state == TransactionState::None);
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
}

// Guards against a transaction that stays open on an endpoint after its caller disconnected.
Test(Session, callerDisconnectRollsBackTransaction)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    caller.session.onCallerClosed(fixture.timers.now());
    fixture.advance(Milliseconds(100));
    FakeCaller next(fixture, "orders");
    next.write("w2");
    fixture.advance(Milliseconds(100));
    cr_assert(next.succeeded());
    cr_assert(!fixture.endpoints.runs().back().wasInTransaction);
}

// Guards against answers in a different order from the statements.
Test(Session, pipelinedStatementsAreAnsweredInOrder)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "jobs");
    caller.write("w1");
    caller.read("r1");
    caller.say(StatementKind::SetValue, "s", "SET a 1", "a", "1");
    caller.read("r2");
    fixture.advance(Milliseconds(400));
    cr_assert_eq(caller.replies.size(), 4U);
    for (const Reply& reply : caller.replies)
        cr_assert(!reply.error);
    cr_assert_eq(fixture.endpoints.runs()[0].id, "w1");
    cr_assert_eq(caller.replies[2].detail, "-");
}

// Guards against a route that changes within a transaction, and against using a removed route afterwards.
Test(Session, removedRouteEndsSessionAtNextOperation)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.begin();
    auto next = std::make_shared<RoutingConfiguration>(*fixture.configuration);
    next->routes.erase(DatabaseId("orders"));
    fixture.configuration = next;
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    caller.commit("c1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    caller.write("w2");
    cr_assert(caller.hasError(StatementError::UnknownDatabase));
    cr_assert(caller.isClosed);
}

// Guards against interrupting a running statement when the daemon shuts down.
Test(Session, closesOnlyWhenQuiescent)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    caller.session.closeWhenQuiescent();
    cr_assert(!caller.isClosed);
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    cr_assert(caller.isClosed);
}

// Guards against unbounded memory use by a caller that sends without waiting for answers.
Test(Session, tooManyPipelinedStatementsCloseTheSession)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    for (std::size_t i = 0; i < Session::maximumPipelined + 2; ++i)
        caller.write("w" + std::to_string(i));
    cr_assert(caller.isClosed);
}

// Guards against a stopping daemon that leaves a request unanswered or wrongly reports it as not run.
Test(Session, immediateCloseAnswersRunningStatements)
{
    DispatcherFixture fixture;
    fixture.endpoints.server(fixture.a).work = Milliseconds(500);
    FakeCaller reader(fixture, "orders");
    FakeCaller writer(fixture, "orders");
    FakeCaller inTransaction(fixture, "orders");
    reader.read("r1");
    writer.write("w1");
    inTransaction.begin();
    inTransaction.write("w2");
    fixture.advance(Milliseconds(50));
    for (FakeCaller* caller : { &reader, &writer, &inTransaction })
        caller->session.closeImmediately("the daemon stops", fixture.timers.now());
    cr_assert(reader.hasError(StatementError::Busy));
    cr_assert(writer.hasError(StatementError::Unknown));
    cr_assert(inTransaction.hasError(StatementError::Aborted));
    cr_assert(reader.isClosed && writer.isClosed && inTransaction.isClosed);
    fixture.advance(Milliseconds(1500));
    cr_assert_eq(reader.replies.size(), 1U);
    FakeCaller next(fixture, "orders");
    fixture.endpoints.server(fixture.a).work = Milliseconds(10);
    next.write("w3");
    fixture.advance(Milliseconds(200));
    cr_assert(next.succeeded(), "the connections are free again");
}

// Guards against forwarding statements that exceed the operator's size limit.
Test(Session, tooLargeStatementIsRefused)
{
    DispatcherFixture fixture;
    fixture.configuration->maximumStatementBytes = 100;
    FakeCaller caller(fixture, "orders");
    caller.say(StatementKind::Write, "w1", "WRITE x " + std::string(100, 'y'));
    cr_assert(caller.hasError(StatementError::TooBig));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
    caller.write("w2");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
}

// Guards against running a statement for a caller whose key no customer holds, and against telling the endpoint a
// customer other than the one that holds the key.
Test(Session, runsStatementsForTheCustomerOfItsKey)
{
    DispatcherFixture fixture;
    fixture.dispatcher.setConnectionsByCustomer(true);
    fixture.access.addKey("k1", "curing");
    fixture.access.addKey("k2", "buyers");
    FakeCaller first(fixture, "orders", "k1");
    FakeCaller second(fixture, "orders", "k2");
    FakeCaller stranger(fixture, "orders", "k3");
    for (const char* id : { "1", "2", "3" }) {
        first.write(std::string("f") + id);
        second.write(std::string("s") + id);
        stranger.write(std::string("x") + id);
        fixture.advance(Milliseconds(100));
    }
    cr_assert(first.succeeded());
    cr_assert(second.succeeded());
    cr_assert(stranger.hasError(StatementError::NotAuthorized));
    cr_assert(stranger.isClosed);
    cr_assert_eq(fixture.endpoints.runs().size(), 6U);
    for (const RunStatement& run : fixture.endpoints.runs())
        cr_assert_eq(run.customer.text(), run.id[0] == 'f' ? "curing" : "buyers");
}

// A key is withdrawn inside a transaction. Guards against committing it, and against a session that stays open.
Test(Session, withdrawnKeyEndsItsTransaction)
{
    DispatcherFixture fixture;
    fixture.access.addKey("k1", "curing");
    FakeCaller caller(fixture, "orders", "k1");
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    fixture.access.removeKey("k1");
    caller.commit("c1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.hasError(StatementError::NotAuthorized));
    cr_assert(caller.replies.back().state == TransactionState::None);
    cr_assert_eq(fixture.endpoints.runsOf("c1"), 0U);
    cr_assert(caller.isClosed);
}

// Guards against idle sessions of a withdrawn key that keep a caller from connecting with its new one.
Test(Session, withdrawnKeyClosesIdleSession)
{
    DispatcherFixture fixture;
    fixture.access.addKey("k1", "curing");
    FakeCaller caller(fixture, "orders", "k1");
    caller.session.endIfKeyWithdrawn(fixture.timers.now());
    cr_assert(!caller.isClosed);
    fixture.access.removeKey("k1");
    caller.session.endIfKeyWithdrawn(fixture.timers.now());
    cr_assert(caller.isClosed);
}

// The store turns this daemon away. Guards against a refusal that does not say when to return, and against one that
// leaves a transaction open.
Test(Session, unconfirmedKeyIsRefusedAtOnce)
{
    DispatcherFixture fixture;
    fixture.access.addKey("k1", "curing");
    FakeCaller outside(fixture, "orders", "k1");
    FakeCaller inside(fixture, "orders", "k1");
    inside.begin();
    inside.write("w1");
    fixture.advance(Milliseconds(100));
    fixture.access.isConfirmed = false;
    outside.write("w2");
    cr_assert(outside.hasError(StatementError::Busy));
    cr_assert_neq(outside.replies.back().detail.find("retry after"), std::string::npos);
    inside.write("w3");
    cr_assert(inside.hasError(StatementError::Aborted));
    inside.commit("c1");
    cr_assert(inside.hasError(StatementError::Aborted));
    cr_assert(inside.replies.back().state == TransactionState::None);
    cr_assert_eq(fixture.endpoints.runsOf("w2") + fixture.endpoints.runsOf("w3") + fixture.endpoints.runsOf("c1"), 0U);
}

// Guards against callers that stay with a daemon that cannot confirm their keys, while other daemons could serve them,
// and against a session that is closed before its statement is answered.
Test(Session, unconfirmedKeyEndsTheSessionOnceItIsAnswered)
{
    DispatcherFixture fixture;
    fixture.access.addKey("k1", "curing");
    fixture.access.isConfirmed = false;
    FakeCaller staying(fixture, "orders", "k1");
    staying.write("w1");
    cr_assert(staying.hasError(StatementError::Busy));
    cr_assert(!staying.isClosed);
    fixture.access.endsUnconfirmedSessions = true;
    FakeCaller moving(fixture, "orders", "k1");
    moving.write("w2");
    cr_assert(moving.hasError(StatementError::Busy));
    cr_assert(moving.isClosed);
}

// Guards against keys demanded on a public route.
Test(Session, publicRouteNeedsNoKey)
{
    DispatcherFixture fixture;
    fixture.access.addKey("k1", "curing");
    fixture.configuration->routes[DatabaseId("orders")].isPublic = true;
    FakeCaller caller(fixture, "orders", "k9");
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
}

// Guards against an operation beyond the limit that takes a connection, a queue place or a slot, against a limit that
// counts statements instead of operations, and against a decision that arrives after the caller has left.
Test(Session, operationWaitsForItsCustomersLimit)
{
    DispatcherFixture fixture;
    fixture.access.addKey("k1", "curing");
    FakeCaller caller(fixture, "orders", "k1");
    fixture.access.refusal = QuotaRefusal { "quota_exceeded", Milliseconds(70) };
    caller.write("w1");
    cr_assert(caller.hasError(StatementError::Busy));
    cr_assert_eq(caller.replies.back().detail, "quota_exceeded, retry after 70 ms");
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
    fixture.access.refusal.reset();
    const std::size_t before = fixture.access.requests;
    caller.begin();
    caller.write("w2");
    fixture.advance(Milliseconds(100));
    caller.commit("c2");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    cr_assert_eq(fixture.access.requests - before, 1U);
    fixture.access.isDeferring = true;
    caller.write("w3");
    cr_assert(caller.session.isRunning());
    caller.session.onCallerClosed(fixture.timers.now());
    cr_assert_eq(fixture.access.cancelled.size(), 1U);
}

// Guards against telling a caller that nothing of its transaction is kept, when the answer to the commit is lost on a
// database whose log was empty: the answers to its writes then hold no position.
Test(Session, lostAnswerOfTheFirstCommitIsUnknown)
{
    DispatcherFixture fixture;
    auto& primary = fixture.endpoints.server(fixture.a);
    FakeCaller caller(fixture, "orders");
    caller.begin();
    primary.reportsPosition = false;
    caller.write("w1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    primary.lostAnswers = 1;
    caller.commit("c1");
    fixture.advance(Milliseconds(300));
    cr_assert_eq(fixture.endpoints.runsOf("c1"), 1U);
    cr_assert(caller.hasError(StatementError::Unknown));
}

// Guards against a statement that runs inside the former transaction, whose commit was refused after a statement that
// no endpoint ran, and against writes that are acknowledged in it and never committed.
Test(Session, transactionEndsWithAStatementThatTheProxyRefused)
{
    using Say = std::function<void(FakeCaller&)>;
    const std::vector<Say> refused {
        [](FakeCaller& caller) { caller.say(StatementKind::Execute, "e", "EXECUTE none x", "none", "x"); },
        [](FakeCaller& caller) { caller.begin(); },
        [](FakeCaller& caller) { caller.say(StatementKind::Malformed, "m", "?"); },
    };
    for (const Say& say : refused) {
        DispatcherFixture fixture;
        FakeCaller caller(fixture, "orders");
        caller.begin();
        caller.write("w1");
        fixture.advance(Milliseconds(50));
        say(caller);
        cr_assert(caller.replies.back().error.has_value());
        caller.commit("c1");
        cr_assert(caller.hasError(StatementError::Aborted));
        caller.write("w2");
        fixture.advance(Milliseconds(50));
        cr_assert(caller.succeeded());
        cr_assert_eq(fixture.endpoints.runs().back().id, "w2");
        cr_assert(!fixture.endpoints.runs().back().wasInTransaction);
    }
}

// Guards against clearing and setting up a connection anew for each statement of a transaction that prepared one.
Test(Session, transactionKeepsItsPreparedStatements)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    caller.say(StatementKind::Prepare, "p", "PREPARE s1 READ q1", "s1", "q1", false);
    caller.say(StatementKind::Prepare, "p", "PREPARE s2 READ q2", "s2", "q2", false);
    caller.begin();
    const std::size_t before = fixture.endpoints.server(fixture.a).commands;
    for (const std::string name : { "s1", "s2", "s1", "s2" }) {
        caller.say(StatementKind::Execute, "e", "EXECUTE " + name + " x", name, "x");
        fixture.advance(Milliseconds(30));
        cr_assert(caller.succeeded());
        cr_assert_eq(fixture.endpoints.runs().back().prepared.shape, "q" + name.substr(1));
    }
    constexpr std::size_t statements = 4;
    // PREPARE, BEGIN, whose answer equals that to an earlier one, so ROLLBACK and BEGIN again, and PREPARE.
    constexpr std::size_t setupCommands = 5;
    cr_assert_eq(fixture.endpoints.server(fixture.a).commands - before, statements + setupCommands);
}

// Guards against a statement that runs with what a rollback of another session's transaction undid.
Test(Session, connectionIsClearedAfterATransactionThatChangedIt)
{
    DispatcherFixture fixture;
    FakeCaller first(fixture, "orders");
    FakeCaller second(fixture, "orders");
    first.begin();
    first.write("w1");
    fixture.advance(Milliseconds(30));
    first.say(StatementKind::SetValue, "s", "SET zone 1", "zone", "1");
    first.write("w2");
    fixture.advance(Milliseconds(30));
    cr_assert_eq(fixture.endpoints.runs().back().values.at("zone"), "1");
    first.say(StatementKind::Rollback, "r", "ROLLBACK");
    fixture.advance(Milliseconds(30));
    const std::size_t before = fixture.endpoints.server(fixture.a).commands;
    second.say(StatementKind::SetValue, "s", "SET zone 1", "zone", "1");
    second.write("w3");
    fixture.advance(Milliseconds(30));
    cr_assert_eq(fixture.endpoints.runs().back().values.at("zone"), "1");
    const bool isSameConnection
        = fixture.endpoints.runs().back().connection == fixture.endpoints.runs().front().connection;
    cr_assert(!isSameConnection || fixture.endpoints.server(fixture.a).commands - before >= 3, "RESET, SET, WRITE");
}

// Guards against a transaction of which the endpoint lost the first statements: the session believes it open, and the
// next statement begins another one.
Test(Session, transactionThatTheEndpointEndedIsAborted)
{
    for (const bool isFirst : { true, false }) {
        DispatcherFixture fixture;
        FakeCaller caller(fixture, "orders");
        caller.begin();
        if (!isFirst) {
            caller.write("w1");
            fixture.advance(Milliseconds(50));
            cr_assert(caller.succeeded());
        }
        fixture.endpoints.server(fixture.a).droppedTransactions = 1;
        caller.write("w2");
        fixture.advance(Milliseconds(50));
        cr_assert(caller.hasError(StatementError::Aborted));
        cr_assert(caller.replies.back().state == TransactionState::Failed);
        const std::size_t runs = fixture.endpoints.runs().size();
        caller.write("w3");
        fixture.advance(Milliseconds(50));
        cr_assert(!caller.succeeded());
        caller.commit("c1");
        cr_assert(caller.hasError(StatementError::Aborted));
        cr_assert_eq(fixture.endpoints.runs().size(), runs);
        caller.write("w4");
        fixture.advance(Milliseconds(50));
        cr_assert(caller.succeeded());
        cr_assert(!fixture.endpoints.runs().back().wasInTransaction);
    }
}

// Guards against a session that goes on in a transaction of which its runner reports success without a connection, as a
// daemon does that answers for another one.
Test(Session, transactionWithoutAConnectionIsAborted)
{
    class Runner final : public StatementRunner {
    public:
        Ticket submit(StatementRequest, StatementCallback callback, TimePoint now) override
        {
            ++submitted;
            StatementResult result;
            result.reply.detail = "signature";
            result.reply.state = TransactionState::Open;
            callback(std::move(result), now);
            return submitted;
        }
        Ticket submit(const TransactionHandle&, StatementRequest, StatementCallback, TimePoint) override { return 0; }
        void abandon(Ticket, TimePoint) override { }
        void endTransaction(const TransactionHandle&, TimePoint) override { }

        Ticket submitted = 0;
    };
    class Link final : public CallerLink {
    public:
        void send(const Reply& reply) override { replies.push_back(reply); }
        void close() override { }

        std::vector<Reply> replies;
    };
    DispatcherFixture fixture;
    Runner runner;
    Link link;
    Session session(DatabaseId("orders"), KeyDigest(), link, fixture, fixture.access, runner, fixture.metrics);
    session.onStatement({ "b", StatementKind::Begin, "BEGIN", "", "", false }, fixture.timers.now());
    session.onStatement({ "w", StatementKind::Write, "WRITE x 1", "", "", false }, fixture.timers.now());
    cr_assert(link.replies.back().error == StatementError::Aborted);
    session.onStatement({ "v", StatementKind::Write, "WRITE x 2", "", "", false }, fixture.timers.now());
    cr_assert_eq(runner.submitted, 1U);
    session.onStatement({ "c", StatementKind::Commit, "COMMIT", "", "", false }, fixture.timers.now());
    cr_assert(link.replies.back().error == StatementError::Aborted);
    cr_assert_eq(runner.submitted, 1U);
}

// Guards against a session whose state grows without limit, and then ends the process when an endpoint is to take it.
Test(Session, limitsItsState)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    const std::string value(Session::maximumContentsBytes / 4, 'v');
    for (const std::string name : { "a", "b", "c" }) {
        caller.say(StatementKind::SetValue, "s", "SET " + name + ' ' + value, name, value);
        cr_assert(caller.succeeded());
    }
    caller.say(StatementKind::SetValue, "s", "SET a " + value, "a", value);
    cr_assert(caller.succeeded(), "a value that replaces another one does not add to the state");
    caller.say(StatementKind::Prepare, "p", "PREPARE d READ " + value, "d", value);
    cr_assert(caller.hasError(StatementError::TooBig));
    caller.say(StatementKind::SetValue, "s", "SET e 1", "e", "1");
    cr_assert(caller.succeeded());
    caller.read("r1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    cr_assert_eq(fixture.endpoints.runs().back().values.size(), 4U);
}

// Guards against a statement of almost 1 MiB that no message to an endpoint can hold: it must be refused at once, not
// time out.
Test(Session, statementThatNoMessageHoldsIsRefused)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "orders");
    const std::string item(Session::maximumStatementBytes, 'x');
    caller.say(StatementKind::Read, "r1", "READ " + item);
    cr_assert(caller.hasError(StatementError::TooBig));
    caller.say(StatementKind::Read, std::string(Session::maximumStatementBytes, 'i'), "READ x");
    cr_assert(caller.hasError(StatementError::TooBig));
    cr_assert(fixture.endpoints.runs().empty());
}

// Guards against reads of a session that do not see what its own transaction has committed.
Test(Session, readsSeeTheCommitsOfTheirOwnTransactions)
{
    DispatcherFixture fixture;
    FakeCaller caller(fixture, "jobs");
    fixture.endpoints.server(fixture.a).position = { 1, 300 };
    caller.begin();
    caller.write("w1");
    fixture.advance(Milliseconds(50));
    caller.commit("c1");
    fixture.advance(Milliseconds(50));
    cr_assert(caller.succeeded());
    caller.read("r1");
    fixture.advance(Milliseconds(100));
    cr_assert(caller.succeeded());
    cr_assert(fixture.endpoints.runs().back().id == "r1");
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.a);
}
