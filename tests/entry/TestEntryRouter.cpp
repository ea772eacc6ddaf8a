#include "almondlever/entry/EntryRouter.h"
#include "mocks/FakeForwarder.h"
#include "mocks/FakeTimerService.h"
#include "mocks/SampleConfiguration.h"

#include <criterion/criterion.h>

// P1 to P8 are the guarantees that docs/design.md lists.

using namespace almondlever;

namespace {

struct RouterFixture {
    RouterFixture() { router.setSnapshot(snapshot); }

    std::vector<CallerReply>& send(const char* caller, OperationKind operation, const std::string& token = "",
        const std::string& idempotencyKey = "", bool isRepeatable = true)
    {
        CallerRequest request;
        request.caller = CallerId(caller);
        request.database = DatabaseId("ledger-1");
        request.operation = operation;
        request.key = "lot-7";
        request.value = "v";
        request.sessionToken = token;
        request.idempotencyKey = idempotencyKey;
        request.isRepeatable = isRepeatable;
        router.handle(request, timers.now(), [this](CallerReply reply) { replies.push_back(std::move(reply)); });
        return replies;
    }

    const CallerError& error(std::size_t index) { return std::get<CallerError>(replies.at(index).result); }
    bool isSuccess(std::size_t index) { return std::holds_alternative<CallerSuccess>(replies.at(index).result); }

    FakeForwarder forwarder;
    FakeTimerService timers;
    SessionTokenCodec codec { "a cluster key of a test" };
    RetryBudget budget;
    Metrics metrics;
    DecisionLog decisions { 0 };
    EntryRouter router { forwarder, timers, codec, budget, metrics, decisions, 1 };
    std::shared_ptr<Snapshot> snapshot = makeSampleSnapshot();
    std::vector<CallerReply> replies;
};

const DatabaseId database("ledger-1");

} // namespace

// Guards P1: without a write's position in the session's token, the next read could miss the write.
Test(EntryRouter, writePositionTravelsInTokenToNextRead)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Write);
    f.forwarder.succeed(0, { 1, 42 }, f.timers.now());
    cr_assert(f.isSuccess(0));
    f.send("clerk", OperationKind::Read, f.replies[0].sessionToken);
    cr_assert((f.forwarder.sent.at(1).request.minimumPosition == LogPosition { 1, 42 }));
}

// Guards P1 for a lost token: without a position, the read must go to a primary whose leadership is confirmed.
Test(EntryRouter, lostTokenReadsFromAConfirmedPrimary)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Read);
    cr_assert(f.forwarder.sent.at(0).request.endpoint == EndpointId("ledger-1-a"));
    cr_assert(f.forwarder.sent.at(0).request.needsConfirmedLeadership);
}

// Guards against needless load on the primary: a read that may be stale must go to a replica.
Test(EntryRouter, staleReadsGoToReplicas)
{
    RouterFixture f;
    f.send("buyer", OperationKind::Read);
    cr_assert(f.forwarder.sent.at(0).request.endpoint != EndpointId("ledger-1-a"));
    cr_assert(!f.forwarder.sent.at(0).request.needsConfirmedLeadership);
}

// Guards P7: a replica that the VM list shows as leaving must get no new reads; they go to the rest of the group.
Test(EntryRouter, readsAvoidLeavingReplicas)
{
    RouterFixture f;
    f.snapshot->leavingEndpoints = { EndpointId("ledger-1-b") };
    f.send("buyer", OperationKind::Read);
    cr_assert(f.forwarder.sent.at(0).request.endpoint == EndpointId("ledger-1-c"));
    f.forwarder.fail(0, ForwardErrorCode::Behind, Outcome::NotRun, f.timers.now());
    cr_assert(f.forwarder.sent.at(1).request.endpoint == EndpointId("ledger-1-a"));
    f.snapshot->leavingEndpoints.insert(EndpointId("ledger-1-c"));
    f.send("buyer", OperationKind::Read);
    cr_assert(f.forwarder.sent.at(2).request.endpoint == EndpointId("ledger-1-a"));
}

// Guards against idle slots of primaries in a flood of reads while the replicas' queues are longer than the deadline.
Test(EntryRouter, readGoesToThePrimaryWhenReplicaQueuesAreTooLong)
{
    RouterFixture f;
    for (std::size_t index = 0; index < 2; ++index) {
        f.send("buyer", OperationKind::Read);
        cr_assert(f.forwarder.sent.at(index).request.endpoint != EndpointId("ledger-1-a"));
        ForwardReply reply;
        reply.result = ForwardSuccess { {}, "value", TransactionId(), false, true, {} };
        reply.expectedWait = { Milliseconds(0), Milliseconds(0), Milliseconds(5000) };
        f.forwarder.sent[index].callback(std::move(reply), f.timers.now());
    }
    f.send("buyer", OperationKind::Read);
    cr_assert(f.forwarder.sent.at(2).request.endpoint == EndpointId("ledger-1-a"));
}

// Guards against a read that fails because a replica is behind: the other replica and then the primary must be tried.
Test(EntryRouter, readFallsBackFromReplicasToPrimary)
{
    RouterFixture f;
    f.send("buyer", OperationKind::Read);
    f.forwarder.fail(0, ForwardErrorCode::Behind, Outcome::NotRun, f.timers.now());
    f.forwarder.fail(1, ForwardErrorCode::Behind, Outcome::NotRun, f.timers.now());
    cr_assert(f.forwarder.sent.size() == 3);
    cr_assert(f.forwarder.sent[2].request.endpoint == EndpointId("ledger-1-a"));
}

// Guards P6: a request with an Idempotency-Key must not be sent again once it may have reached an endpoint.
Test(EntryRouter, doesNotRepeatAKeyedWriteOfUnknownOutcome)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Write, "", "order-1");
    f.forwarder.fail(0, ForwardErrorCode::EndpointUnavailable, Outcome::Unknown, f.timers.now());
    f.timers.advance(Milliseconds(500));
    cr_assert(f.forwarder.sent.size() == 1);
    cr_assert(f.error(0).outcome == Outcome::Unknown);
}

// Guards P6 for a write without a key that the caller marked as not repeatable.
Test(EntryRouter, doesNotRepeatAWriteMarkedNotRepeatable)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Write, "", "", false);
    f.forwarder.fail(0, ForwardErrorCode::EndpointUnavailable, Outcome::Unknown, f.timers.now());
    f.timers.advance(Milliseconds(500));
    cr_assert(f.forwarder.sent.size() == 1);
    cr_assert(f.error(0).outcome == Outcome::Unknown);
}

// Guards P2: a repeated write must carry the same request id, by which the endpoint detects duplicates.
Test(EntryRouter, repeatsAnOrdinaryWriteUnderTheSameRequestId)
{
    RouterFixture f;
    f.send("shed", OperationKind::Write);
    f.forwarder.fail(0, ForwardErrorCode::NotConfirmed, Outcome::Unknown, f.timers.now());
    f.timers.advance(Milliseconds(100));
    cr_assert(f.forwarder.sent.size() == 2);
    cr_assert(f.forwarder.sent[0].request.requestId == f.forwarder.sent[1].request.requestId);
}

// Guards against reporting a result as a duplicate of an earlier request although only this daemon repeated the
// request. A duplicate that this daemon did not cause is still reported.
Test(EntryRouter, ownRepeatIsNotReportedAsADuplicate)
{
    RouterFixture f;
    f.send("shed", OperationKind::Write);
    f.forwarder.fail(0, ForwardErrorCode::NotConfirmed, Outcome::Unknown, f.timers.now());
    f.timers.advance(Milliseconds(100));
    f.send("clerk", OperationKind::Write, "", "order-1");
    ForwardReply reply;
    reply.result = ForwardSuccess { { 1, 7 }, std::nullopt, TransactionId(), true, false, {} };
    f.forwarder.sent.at(1).callback(reply, f.timers.now());
    f.forwarder.sent.at(2).callback(reply, f.timers.now());
    cr_assert(!std::get<CallerSuccess>(f.replies.at(0).result).isDuplicate);
    cr_assert(std::get<CallerSuccess>(f.replies.at(1).result).isDuplicate);
}

// Guards P5: once an attempt may have run, a later refusal must not be reported as NotRun.
Test(EntryRouter, neverReportsNotRunAfterAnAttemptOfUnknownOutcome)
{
    RouterFixture f;
    f.send("shed", OperationKind::Write);
    f.forwarder.fail(0, ForwardErrorCode::NotConfirmed, Outcome::Unknown, f.timers.now());
    f.timers.advance(Milliseconds(100));
    f.forwarder.fail(1, ForwardErrorCode::Overloaded, Outcome::NotRun, f.timers.now());
    cr_assert(f.error(0).outcome == Outcome::Unknown);
}

// Guards against a longer interruption by a failover: a redirect must be followed at once, and later writes must go
// directly to the new primary.
Test(EntryRouter, followsAndRemembersANewPrimary)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Write);
    f.forwarder.fail(
        0, ForwardErrorCode::NotPrimary, Outcome::NotRun, f.timers.now(), { database, 2, EndpointId("ledger-1-b") });
    cr_assert(f.forwarder.sent.at(1).request.endpoint == EndpointId("ledger-1-b"));
    f.send("clerk", OperationKind::Write);
    cr_assert(f.forwarder.sent.at(2).request.endpoint == EndpointId("ledger-1-b"));
}

// Guards against a late refusal that names the primary of an older term and would redirect writes to it.
Test(EntryRouter, ignoresAPrimaryOfAnOlderTerm)
{
    RouterFixture f;
    f.snapshot->primaries[database] = { database, 5, EndpointId("ledger-1-c") };
    f.send("clerk", OperationKind::Write);
    f.forwarder.fail(
        0, ForwardErrorCode::NotPrimary, Outcome::NotRun, f.timers.now(), { database, 2, EndpointId("ledger-1-b") });
    f.timers.advance(Milliseconds(100));
    cr_assert(f.forwarder.sent.back().request.endpoint == EndpointId("ledger-1-c"));
}

// Guards writes during the hand-over of a primary: two owners that each name the other's endpoint must not use up all
// attempts of a request at once. Seen with real processes: writes got 503 not_run within milliseconds while a leaving
// primary handed over.
Test(EntryRouter, delaysTheRetryWhenOwnersNameEachOther)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Write);
    std::size_t answered = 0;
    while (answered < f.forwarder.sent.size() && answered < 60) {
        const bool isFirst = f.forwarder.sent[answered].request.endpoint == EndpointId("ledger-1-a");
        const PrimaryView hint { database, Term(isFirst ? 2 : 1), EndpointId(isFirst ? "ledger-1-b" : "ledger-1-a") };
        f.forwarder.fail(answered++, ForwardErrorCode::NotPrimary, Outcome::NotRun, f.timers.now(), hint);
    }
    cr_assert(answered <= 3, "%zu attempts without a pause", answered);
    cr_assert(f.replies.empty());
}

// Guards P5 for repeated keys: unless the owner of the primary refuses the write, an earlier attempt may have run.
Test(EntryRouter, keyedWriteThatReachedNoOwnerIsUnknown)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Write, "", "order-1");
    std::size_t answered = 0;
    for (int i = 0; i < 200 && f.replies.empty(); ++i) {
        while (answered < f.forwarder.sent.size())
            f.forwarder.fail(answered++, ForwardErrorCode::NotOwner, Outcome::NotRun, f.timers.now());
        f.timers.advance(Milliseconds(20));
    }
    cr_assert(f.error(0).outcome == Outcome::Unknown);
    f.send("clerk", OperationKind::Write, "", "order-2");
    f.forwarder.fail(answered, ForwardErrorCode::Overloaded, Outcome::NotRun, f.timers.now());
    cr_assert(f.error(1).outcome == Outcome::NotRun, "the owner knows which writes it sent");
}

// Guards P3: a commit whose daemon dies before it answers must be reported as a lost transaction of unknown outcome.
Test(EntryRouter, brokenChannelInACommitIsALostTransaction)
{
    RouterFixture f;
    CallerRequest request;
    request.kind = ForwardKind::Commit;
    request.caller = CallerId("clerk");
    request.database = database;
    request.operation = OperationKind::Write;
    request.transaction = TransactionId("vm-3.17");
    f.router.handle(request, f.timers.now(), [&](CallerReply reply) { f.replies.push_back(std::move(reply)); });
    f.forwarder.fail(0, ForwardErrorCode::EndpointUnavailable, Outcome::Unknown, f.timers.now());
    cr_assert(f.error(0).code == CallerErrorCode::TransactionLost);
    cr_assert(f.error(0).outcome == Outcome::Unknown);
}

// Guards against retries that amplify an overload: when the budget is exhausted, a failed read must return its error.
Test(EntryRouter, retriesStayInsideTheBudget)
{
    RouterFixture f;
    std::size_t answered = 0;
    for (int i = 0; i < 200; ++i) {
        f.send("buyer", OperationKind::Read);
        while (answered < f.forwarder.sent.size())
            f.forwarder.fail(answered++, ForwardErrorCode::EndpointUnavailable, Outcome::Unknown, f.timers.now());
    }
    const std::size_t repeats = f.forwarder.sent.size() - 200;
    cr_assert(repeats <= 200 / 10 + 3, "%zu repeats for 200 requests", repeats);
}

// Guards against a request that is forwarded forever while daemons disagree about the owner.
Test(EntryRouter, endsWhenNoDaemonOwnsTheEndpoint)
{
    RouterFixture f;
    f.send("clerk", OperationKind::Write);
    std::size_t answered = 0;
    for (int i = 0; i < 200 && f.replies.empty(); ++i) {
        while (answered < f.forwarder.sent.size())
            f.forwarder.fail(answered++, ForwardErrorCode::NotOwner, Outcome::NotRun, f.timers.now());
        f.timers.advance(Milliseconds(20));
    }
    cr_assert(f.replies.size() == 1);
    cr_assert(f.error(0).outcome == Outcome::NotRun);
}

// Guards P1: a token of another cluster or a modified one must not be treated as an empty session.
Test(EntryRouter, refusesAForgedToken)
{
    RouterFixture f;
    SessionState state;
    state.observe(database, { 3, 3 });
    f.send("clerk", OperationKind::Read, SessionTokenCodec("another cluster's key!").encode(state));
    cr_assert(f.error(0).code == CallerErrorCode::BadSessionToken);
    cr_assert(f.error(0).outcome == Outcome::NotRun);
    cr_assert(f.forwarder.sent.empty());
}

// Guards early refusal: when the owner has reported that its queue is longer than the deadline, the entry daemon must
// refuse at once.
Test(EntryRouter, refusesEarlyWhenTheOwnerIsOverwhelmed)
{
    RouterFixture f;
    f.send("shed", OperationKind::Write);
    ForwardReply reply;
    reply.result = ForwardSuccess { { 1, 1 }, std::nullopt, TransactionId(), false, false, {} };
    reply.expectedWait = { Milliseconds(1), Milliseconds(9000), Milliseconds(9000) };
    f.forwarder.sent.at(0).callback(reply, f.timers.now());
    f.send("shed", OperationKind::Write);
    cr_assert(f.forwarder.sent.size() == 1);
    cr_assert(f.error(1).code == CallerErrorCode::Overloaded);
    cr_assert(f.error(1).retryAfter == Milliseconds(9000));
    f.send("clerk", OperationKind::Write);
    cr_assert(f.forwarder.sent.size() == 2, "the urgent rank has a short queue and must go on");
}

// Guards against a Retry-After of an hour, which the estimate for a starved rank gave during a flood.
Test(EntryRouter, capsRetryAfter)
{
    RouterFixture f;
    f.send("shed", OperationKind::Write);
    ForwardReply reply;
    reply.result
        = ForwardError { ForwardErrorCode::DeadlineExceeded, Outcome::NotRun, "starved", Milliseconds(3600000), {} };
    f.forwarder.sent.at(0).callback(reply, f.timers.now());
    cr_assert(f.error(0).retryAfter <= Milliseconds(30000));
}

// Guards against requests of unknown callers and for unknown databases.
Test(EntryRouter, refusesUnknownCallersAndDatabases)
{
    RouterFixture f;
    f.send("stranger", OperationKind::Read);
    cr_assert(f.error(0).code == CallerErrorCode::UnknownCaller);
    CallerRequest request;
    request.caller = CallerId("clerk");
    request.database = DatabaseId("ledger-9");
    f.router.handle(request, f.timers.now(), [&](CallerReply reply) { f.replies.push_back(std::move(reply)); });
    cr_assert(f.error(1).code == CallerErrorCode::UnknownDatabase);
}

// Guards P3: a statement of a transaction must go to the daemon that holds it, and fail when that daemon is dead.
Test(EntryRouter, transactionStatementsGoToTheirDaemon)
{
    RouterFixture f;
    CallerRequest request;
    request.caller = CallerId("clerk");
    request.database = database;
    request.operation = OperationKind::Write;
    request.transaction = TransactionId("vm-3.17");
    f.router.handle(request, f.timers.now(), [&](CallerReply reply) { f.replies.push_back(std::move(reply)); });
    cr_assert(f.forwarder.sent.at(0).owner == VmId("vm-3"));
    request.transaction = TransactionId("vm-8.17");
    f.router.handle(request, f.timers.now(), [&](CallerReply reply) { f.replies.push_back(std::move(reply)); });
    cr_assert(f.error(0).code == CallerErrorCode::TransactionLost);
}

// Guards against a transaction that seems to continue although its daemon died: the caller must get an error once the
// death is known.
Test(EntryRouter, transactionOfAnUnreachableDaemonIsReportedAsLost)
{
    RouterFixture f;
    CallerRequest request;
    request.kind = ForwardKind::Commit;
    request.caller = CallerId("clerk");
    request.database = database;
    request.transaction = TransactionId("vm-3.17");
    f.router.handle(request, f.timers.now(), [&](CallerReply reply) { f.replies.push_back(std::move(reply)); });
    f.forwarder.fail(0, ForwardErrorCode::EndpointUnavailable, Outcome::NotRun, f.timers.now());
    f.timers.advance(Milliseconds(50));
    cr_assert(f.replies.empty());
    auto next = std::make_shared<Snapshot>(*f.snapshot);
    next->members.daemons.pop_back();
    f.router.setSnapshot(next);
    f.forwarder.fail(1, ForwardErrorCode::EndpointUnavailable, Outcome::NotRun, f.timers.now());
    f.timers.advance(Milliseconds(200));
    cr_assert(f.error(0).code == CallerErrorCode::TransactionLost);
    cr_assert(f.error(0).outcome == Outcome::NotRun);
}
