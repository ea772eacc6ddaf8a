#include "almondlever/serving/ServingHost.h"
#include "mocks/FakeEndpoint.h"
#include "mocks/FakeTimerService.h"
#include "mocks/SampleConfiguration.h"

#include <criterion/criterion.h>

// P1 to P8 are the guarantees that docs/design.md lists.

using namespace almondlever;

namespace {

const DatabaseId database("ledger-1");
const EndpointId here("ledger-1-a");

struct RecordingListener final : PrimaryListener {
    void primaryAnswered(const DatabaseId&, const EndpointId&, Term) override { ++answered; }
    void primaryFailed(const DatabaseId&, const EndpointId&) override { ++failed; }
    void writesPaused(const DatabaseId&, const EndpointId&, LogPosition) override { ++paused; }

    int answered = 0;
    int failed = 0;
    int paused = 0;
};

struct ServingFixture {
    ServingFixture()
        : host(ServingContext { connector, timers, listener, metrics, decisions, {},
            [](const std::vector<RankRule>& ranks, std::size_t slots) {
                return std::make_unique<RankScheduler>(ranks, slots);
            },
            [this] { return ++number; } })
    {
    }

    void start() { publish(); }
    void publish() { host.setSnapshot(std::make_shared<Snapshot>(*snapshot), timers.now()); }
    void tick(Duration by = Milliseconds(10))
    {
        timers.advance(by);
        host.onTick(timers.now());
    }

    std::size_t submit(OperationKind operation, ForwardKind kind = ForwardKind::Statement,
        const TransactionId& transaction = {}, LogPosition minimumPosition = {})
    {
        ForwardRequest request;
        request.kind = kind;
        request.requestId = RequestId(requestId.empty() ? "r" + std::to_string(replies.size()) : requestId);
        request.caller = CallerId("clerk");
        request.database = database;
        request.endpoint = here;
        request.rank = rank;
        request.operation = operation;
        request.key = "k";
        request.transaction = transaction;
        request.timeLeft = timeLeft;
        request.minimumPosition = minimumPosition;
        const std::size_t index = replies.size();
        replies.emplace_back();
        host.submit(std::move(request), timers.now(), [this, index](ForwardReply reply, TimePoint) {
            cr_assert(!replies[index], "a request was answered twice");
            replies[index] = std::move(reply);
        });
        return index;
    }

    bool isSuccess(std::size_t index)
    {
        return replies[index] && std::holds_alternative<ForwardSuccess>(replies[index]->result);
    }
    const ForwardError& error(std::size_t index) { return std::get<ForwardError>(replies[index].value().result); }
    FakeServer& server(int number) { return connector.servers["127.0.0.1:" + std::to_string(21000 + number)]; }
    /** Answers the position wait of a replica. */
    void report(int replica, Term promised, LogPosition logEnd)
    {
        FakeServer& fake = server(replica);
        for (std::size_t i = fake.controlCalls.size(); i-- > 0;) {
            if (fake.controlCalls[i].operation != "wait" || !fake.controlCalls[i].callback)
                continue;
            EndpointStatus status = fake.status;
            status.promisedTerm = promised;
            status.logEnd = logEnd;
            const auto callback = std::exchange(fake.controlCalls[i].callback, nullptr);
            return callback(status);
        }
        cr_assert_fail("no position wait is outstanding");
    }

    FakeEndpointConnector connector;
    FakeTimerService timers;
    RecordingListener listener;
    Metrics metrics;
    DecisionLog decisions { 0 };
    std::uint64_t number = 0;
    std::size_t rank = 0;
    std::string requestId;
    Milliseconds timeLeft { 1000 };
    std::vector<std::optional<ForwardReply>> replies;
    std::shared_ptr<Snapshot> snapshot = makeSampleSnapshot();
    ServingHost host;
};

} // namespace

// Guards P2: a write must not be acknowledged before a majority has confirmed it.
Test(ServedEndpoint, acknowledgesAWriteOnlyAfterAMajority)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write);
    f.server(1).answer(0, { 1, 7 });
    cr_assert(!f.replies[0]);
    f.report(2, 1, { 1, 6 });
    cr_assert(!f.replies[0], "a replica behind the position does not count");
    f.tick();
    f.report(2, 1, { 1, 7 });
    cr_assert(f.isSuccess(0));
}

// Guards P2: when servers have promised a later term, the outcome must be Unknown and never a success.
Test(ServedEndpoint, reportsUnknownWhenThePrimaryWasSuperseded)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write);
    f.server(1).answer(0, { 1, 7 });
    f.report(2, 2, { 1, 7 });
    f.tick();
    if (!f.replies[0])
        f.report(3, 2, { 1, 7 });
    cr_assert(!f.isSuccess(0));
    cr_assert(f.error(0).outcome == Outcome::Unknown);
}

// Guards P2: when no majority has confirmed by the deadline, the outcome is Unknown.
Test(ServedEndpoint, reportsUnknownWhenNoMajorityConfirms)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write);
    f.server(1).answer(0, { 1, 7 });
    f.tick(Milliseconds(1001));
    cr_assert(f.error(0).code == ForwardErrorCode::NotConfirmed);
    cr_assert(f.error(0).outcome == Outcome::Unknown);
}

// Guards P1: a read on a replica must not run before the replica has reached the session's position.
Test(ServedEndpoint, readWaitsForItsPosition)
{
    ServingFixture f;
    f.snapshot->primaries[database] = { database, 1, EndpointId("ledger-1-b") };
    f.start();
    f.submit(OperationKind::Read, ForwardKind::Statement, {}, { 1, 9 });
    cr_assert(f.server(1).calls.empty());
    f.report(1, 1, { 1, 9 });
    cr_assert(f.server(1).calls.size() == 1);
    f.server(1).answer(0, { 1, 9 }, EndpointRole::Replica);
    cr_assert(f.isSuccess(0));
}

// Guards against reads that wait until their deadline for a replica that does not catch up. They must be returned
// early, so that the entry daemon can try another endpoint.
Test(ServedEndpoint, readIsRefusedByAReplicaThatStaysBehind)
{
    ServingFixture f;
    f.snapshot->primaries[database] = { database, 1, EndpointId("ledger-1-b") };
    f.start();
    f.submit(OperationKind::Read, ForwardKind::Statement, {}, { 1, 9 });
    for (int i = 0; i < 20 && !f.replies[0]; ++i)
        f.tick();
    cr_assert(f.error(0).code == ForwardErrorCode::Behind);
    cr_assert(f.error(0).outcome == Outcome::NotRun);
}

// Guards writes during a primary change: they must wait while there is no primary, and then be redirected without
// having run.
Test(ServedEndpoint, writesWaitForThePrimaryAndAreRedirected)
{
    ServingFixture f;
    f.snapshot->primaries.clear();
    f.start();
    f.submit(OperationKind::Write);
    cr_assert(!f.replies[0]);
    f.snapshot->primaries[database] = { database, 2, EndpointId("ledger-1-c") };
    f.publish();
    cr_assert(f.error(0).code == ForwardErrorCode::NotPrimary);
    cr_assert(f.error(0).outcome == Outcome::NotRun);
    cr_assert(f.error(0).primary.primary == EndpointId("ledger-1-c"));
    cr_assert(f.server(1).calls.empty());
}

// Guards against a long interruption of writes during a failover: a write that is queued for a connection to a dead
// primary must be redirected to the new one. Seen with real processes: it stayed in the queue until its deadline.
Test(ServedEndpoint, queuedWritesAreRedirectedToANewPrimary)
{
    ServingFixture f;
    f.server(1).isReachable = false;
    f.start();
    f.submit(OperationKind::Write);
    cr_assert(!f.replies[0]);
    f.snapshot->primaries[database] = { database, 2, EndpointId("ledger-1-c") };
    f.publish();
    cr_assert(f.error(0).code == ForwardErrorCode::NotPrimary);
    cr_assert(f.error(0).outcome == Outcome::NotRun);
}

// Guards urgent work during a primary change: waiting requests of another rank must not exhaust its limit.
Test(ServedEndpoint, waitingWorkIsBoundedByRank)
{
    ServingFixture f;
    f.snapshot->primaries.clear();
    f.start();
    f.rank = 2;
    for (int i = 0; i < 101; ++i)
        f.submit(OperationKind::Write);
    cr_assert(f.error(100).code == ForwardErrorCode::Overloaded);
    f.rank = 0;
    f.submit(OperationKind::Write);
    cr_assert(!f.replies[101]);
}

// Guards P4 and P5: after a connection was lost, the outcome is Unknown and the connection is not used again.
Test(ServedEndpoint, brokenConnectionIsUnknownAndNotPooled)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write);
    const int broken = f.server(1).calls[0].connection;
    f.server(1).fail(0, EndpointErrorCode::ConnectionLost, Outcome::Unknown);
    cr_assert(f.error(0).outcome == Outcome::Unknown);
    cr_assert(f.listener.failed == 1);
    for (int i = 0; i < 4; ++i)
        f.submit(OperationKind::Write);
    for (std::size_t i = 1; i < f.server(1).calls.size(); ++i)
        cr_assert(f.server(1).calls[i].connection != broken);
}

// Guards against more statements or connections than the endpoint's limits allow under load.
Test(ServedEndpoint, neverExceedsSlotsOrConnections)
{
    ServingFixture f;
    f.start();
    for (int i = 0; i < 50; ++i)
        f.submit(OperationKind::Write);
    cr_assert(f.server(1).calls.size() == 2, "%zu statements run at once on 2 slots", f.server(1).calls.size());
    cr_assert(f.server(1).peakConnections <= 2);
}

// Guards the connection limit while two daemons both consider themselves the owner of an endpoint: the claim must not
// be taken from a holder that is alive.
Test(ServedEndpoint, waitsForALiveHolderOfTheClaim)
{
    ServingFixture f;
    f.server(1).status.claim = { 4, VmId("vm-2") };
    f.start();
    f.submit(OperationKind::Write);
    f.tick(Milliseconds(500));
    cr_assert(f.server(1).calls.empty());
    f.server(1).status.claim = { 5, VmId() };
    f.tick(Milliseconds(100));
    cr_assert(f.server(1).calls.size() == 1);
    cr_assert(f.server(1).calls[0].statement.claimEpoch == 6);
}

// Guards against a delay of the failover after a daemon died: its claim must be acquired at once.
Test(ServedEndpoint, acquiresTheClaimOfADeadHolderAtOnce)
{
    ServingFixture f;
    f.server(1).status.claim = { 4, VmId("vm-gone") };
    f.start();
    f.submit(OperationKind::Write);
    cr_assert(f.server(1).calls.size() == 1);
}

// Guards P3: the statements of a transaction must use its connection, and no other request may use it.
Test(ServedEndpoint, transactionKeepsItsConnection)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write, ForwardKind::Begin);
    f.server(1).answer(0, {});
    const TransactionId id = std::get<ForwardSuccess>(f.replies[0]->result).transaction;
    const int pinned = f.server(1).calls[0].connection;
    f.submit(OperationKind::Write);
    cr_assert(f.server(1).calls[1].connection != pinned);
    f.submit(OperationKind::Write, ForwardKind::Statement, id);
    cr_assert(f.server(1).calls[2].connection == pinned);
    f.submit(OperationKind::Write, ForwardKind::Statement, id);
    cr_assert(f.error(3).outcome == Outcome::NotRun, "a second statement must not enter while one runs");
}

// Guards against slots lost in a flood: a transaction that began after its caller's deadline must not occupy a slot.
Test(ServedEndpoint, transactionThatBeganTooLateIsRolledBack)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write, ForwardKind::Begin);
    f.timers.advance(Milliseconds(1001));
    f.server(1).answer(0, {});
    cr_assert(f.error(0).code == ForwardErrorCode::DeadlineExceeded);
    cr_assert(f.error(0).outcome == Outcome::NotRun);
    f.submit(OperationKind::Write);
    f.submit(OperationKind::Write);
    cr_assert(f.server(1).calls.size() == 3);
}

// Guards P8: a commit whose confirmation is pending after the claim was released must be answered before the process
// ends. Seen with real processes: commits got 503 unknown during a graceful shutdown.
Test(ServedEndpoint, isNotIdleBeforeACommitIsConfirmed)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write, ForwardKind::Begin);
    f.server(1).answer(0, {});
    const TransactionId id = std::get<ForwardSuccess>(f.replies[0]->result).transaction;
    auto owners = std::make_shared<OwnerTable>(*f.snapshot->owners);
    owners->owners[here] = VmId("vm-2");
    f.snapshot->owners = owners;
    f.publish();
    f.tick();
    f.submit(OperationKind::Write, ForwardKind::Commit, id);
    f.server(1).answer(1, { 1, 9 });
    f.tick();
    cr_assert(!f.host.isIdle());
    f.report(2, 1, { 1, 9 });
    cr_assert(f.isSuccess(1));
    f.tick();
    cr_assert(f.host.isIdle());
}

// Guards P5 for repeated keys: a repeat that is refused while queued must not report not_run when an earlier attempt
// may have run. Seen with real processes: repeats of a write that timed out were refused with not_run although the
// write was in the log.
Test(ServedEndpoint, refusedRepeatOfASentWriteIsUnknown)
{
    ServingFixture f;
    f.start();
    f.tick(std::chrono::seconds(11));
    f.requestId = "booking";
    f.submit(OperationKind::Write);
    f.server(1).fail(0, EndpointErrorCode::TimedOut, Outcome::Unknown);
    f.timeLeft = Milliseconds(0);
    f.submit(OperationKind::Write);
    cr_assert(f.error(1).outcome == Outcome::Unknown);
    f.requestId = "another";
    f.submit(OperationKind::Write);
    cr_assert(f.error(2).outcome == Outcome::NotRun, "a first attempt that was refused has not run");
}

// Guards P5 after a hand-over: the new owner does not know which writes the previous owner sent.
Test(ServedEndpoint, refusedKeyedWriteAfterAHandOverIsUnknown)
{
    ServingFixture f;
    f.start();
    f.timeLeft = Milliseconds(0);
    f.submit(OperationKind::Write);
    cr_assert(f.error(0).outcome == Outcome::Unknown);
    f.tick(std::chrono::seconds(11));
    f.submit(OperationKind::Write);
    cr_assert(f.error(1).outcome == Outcome::NotRun);
}

// Guards against slots that abandoned transactions occupy.
Test(ServedEndpoint, idleTransactionIsEndedAndItsSlotFreed)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write, ForwardKind::Begin);
    f.server(1).answer(0, {});
    const TransactionId id = std::get<ForwardSuccess>(f.replies[0]->result).transaction;
    f.tick(Milliseconds(5100));
    f.submit(OperationKind::Write, ForwardKind::Statement, id);
    cr_assert(f.error(1).code == ForwardErrorCode::TransactionLost);
    f.submit(OperationKind::Write);
    f.submit(OperationKind::Write);
    cr_assert(f.server(1).calls.size() == 3);
}

// Guards against slots lost in a flood: while requests are queued, an abandoned transaction must be ended after the
// shorter limit.
Test(ServedEndpoint, idleTransactionIsEndedSoonerWhenASlotIsWanted)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write, ForwardKind::Begin);
    f.server(1).answer(0, {});
    const TransactionId id = std::get<ForwardSuccess>(f.replies[0]->result).transaction;
    f.tick(Milliseconds(500));
    f.submit(OperationKind::Write, ForwardKind::Begin);
    f.tick(Milliseconds(450));
    cr_assert(f.server(1).calls.size() == 1, "the first transaction has not reached its idle limit");
    f.tick(Milliseconds(100));
    f.tick();
    cr_assert(f.server(1).calls.size() == 2);
    f.submit(OperationKind::Write, ForwardKind::Statement, id);
    cr_assert(f.error(2).code == ForwardErrorCode::TransactionLost);
}

// Guards P8: when the placement moves an endpoint, waiting requests must be refused as NotRun, and running ones finish
// before the claim is released.
Test(ServedEndpoint, handOverRedirectsWaitingAndFinishesRunning)
{
    ServingFixture f;
    f.start();
    for (int i = 0; i < 3; ++i)
        f.submit(OperationKind::Write);
    auto owners = std::make_shared<OwnerTable>(*f.snapshot->owners);
    owners->owners[here] = VmId("vm-2");
    f.snapshot->owners = owners;
    f.publish();
    cr_assert(f.error(2).code == ForwardErrorCode::NotOwner);
    f.tick();
    cr_assert(f.server(1).status.claim.owner == VmId("vm-1"), "the claim must be held while statements run");
    f.server(1).answer(0, { 1, 7 });
    f.server(1).answer(1, { 1, 8 });
    f.report(2, 1, { 1, 8 });
    f.tick();
    cr_assert(f.isSuccess(0) && f.isSuccess(1));
    f.tick();
    cr_assert(f.server(1).status.claim.owner.isEmpty());
    cr_assert(f.host.isIdle());
}

// Guards P8: when a process ends before the release of its claim was answered, the next owner may have to wait for
// takeOverTimeout. Seen with real processes: writes waited 1.7 s after a graceful shutdown.
Test(ServedEndpoint, isNotIdleBeforeTheReleaseIsAnswered)
{
    ServingFixture f;
    f.start();
    f.server(1).answersControl = false;
    auto owners = std::make_shared<OwnerTable>(*f.snapshot->owners);
    owners->owners[here] = VmId("vm-2");
    f.snapshot->owners = owners;
    f.publish();
    f.tick();
    f.tick();
    cr_assert(!f.host.isIdle());
    cr_assert(f.server(1).controlCalls.back().operation == "claim");
    f.server(1).controlCalls.back().callback(f.server(1).status);
    f.tick();
    cr_assert(f.host.isIdle());
}

// Guards P2 for repeated keys after a primary change: the result of the first attempt must not be returned before an
// entry of the new term is confirmed.
Test(ServedEndpoint, duplicateOfAnEarlierTermIsConfirmedInThePresentTerm)
{
    ServingFixture f;
    f.snapshot->primaries[database] = { database, 3, here };
    f.start();
    f.submit(OperationKind::Write);
    f.server(1).answer(0, { 2, 15 }, EndpointRole::Primary, true);
    cr_assert(!f.replies[0]);
    f.report(2, 3, { 3, 20 });
    cr_assert(f.isSuccess(0));
    cr_assert(std::get<ForwardSuccess>(f.replies[0]->result).isDuplicate);
}

// Guards the availability of primary reads: a majority must be able to confirm the primary while one replica is down.
Test(ServedEndpoint, primaryReadIsConfirmedWithOneReplicaDown)
{
    ServingFixture f;
    f.server(2).isReachable = false;
    f.server(3).status.promisedTerm = 1;
    f.start();
    f.submit(OperationKind::Read);
    f.server(1).answer(0, { 1, 7 });
    cr_assert(f.isSuccess(0));
}

// Guards against stale reads: a primary must not answer when a majority has promised a later term.
Test(ServedEndpoint, primaryReadIsRefusedWhenAMajorityHasALaterTerm)
{
    ServingFixture f;
    f.server(2).status.promisedTerm = 2;
    f.server(3).status.promisedTerm = 2;
    f.start();
    f.submit(OperationKind::Read);
    f.server(1).answer(0, { 1, 7 });
    cr_assert(!f.isSuccess(0));
    cr_assert(f.error(0).outcome == Outcome::NotRun);
}

// Guards against a long interruption of writes: a primary that stops answering must be reported long before the
// statement's deadline.
Test(ServedEndpoint, unansweredStatementIsReportedEarly)
{
    ServingFixture f;
    f.start();
    f.submit(OperationKind::Write);
    f.tick(Milliseconds(90));
    cr_assert(f.listener.failed == 0);
    f.tick(Milliseconds(30));
    cr_assert(f.listener.failed == 1);
}

// Guards against reads that wait for an unreachable endpoint: they must be refused as NotRun.
Test(ServedEndpoint, readsAreRefusedByAnUnreachableEndpoint)
{
    ServingFixture f;
    f.snapshot->primaries[database] = { database, 1, EndpointId("ledger-1-b") };
    f.start();
    f.server(1).isReachable = false;
    f.submit(OperationKind::Read);
    f.server(1).fail(0, EndpointErrorCode::ConnectionLost, Outcome::Unknown);
    f.submit(OperationKind::Read);
    f.server(1).fail(1, EndpointErrorCode::ConnectionLost, Outcome::Unknown);
    f.tick(Milliseconds(100));
    f.submit(OperationKind::Read);
    cr_assert(f.error(2).code == ForwardErrorCode::EndpointUnavailable);
    cr_assert(f.error(2).outcome == Outcome::NotRun);
}

// Guards P7: a leaving replica must refuse queued and new reads, also from entry daemons that do not yet know that it
// is leaving.
Test(ServedEndpoint, leavingReplicaRunsNoNewReads)
{
    ServingFixture f;
    f.snapshot->primaries[database] = { database, 1, EndpointId("ledger-1-b") };
    f.start();
    for (int i = 0; i < 3; ++i)
        f.submit(OperationKind::Read);
    const std::size_t started = f.server(1).calls.size();
    cr_assert(started < 3, "the third read must queue behind two slots");
    f.snapshot->leavingEndpoints = { here };
    f.publish();
    f.submit(OperationKind::Read);
    for (const std::size_t index : { 2, 3 }) {
        cr_assert(f.replies[index].has_value());
        cr_assert(f.error(index).code == ForwardErrorCode::Behind);
        cr_assert(f.error(index).outcome == Outcome::NotRun);
    }
    f.server(1).answer(0, { 1, 9 }, EndpointRole::Replica);
    cr_assert(f.isSuccess(0));
    cr_assert(f.server(1).calls.size() == started);
}

// Guards the availability of a group whose leaving primary has not handed over yet: it must continue to serve.
Test(ServedEndpoint, leavingPrimaryServesUntilItHandsOver)
{
    ServingFixture f;
    f.server(2).status.promisedTerm = 1;
    f.server(3).status.promisedTerm = 1;
    f.snapshot->leavingEndpoints = { here };
    f.start();
    f.submit(OperationKind::Read);
    f.server(1).answer(0, { 1, 7 });
    cr_assert(f.isSuccess(0));
}

// Guards against statements that wait for idle transactions to end: these occupied all slots once slow answers had
// reduced the concurrency limit.
Test(ServedEndpoint, idleTransactionsLeaveASlotOfAReducedLimit)
{
    ServingFixture f;
    f.snapshot->primaries[database] = { database, 1, here };
    f.start();
    const auto runWrites = [&](int count, Duration latency) {
        for (int i = 0; i < count; ++i) {
            f.submit(OperationKind::Write);
            f.timers.advance(latency);
            f.server(1).answer(f.server(1).calls.size() - 1, { 1, 7 });
        }
    };
    runWrites(100, Milliseconds(4));
    runWrites(60, Milliseconds(200));
    f.submit(OperationKind::Write, ForwardKind::Begin);
    f.server(1).answer(f.server(1).calls.size() - 1, { 1, 7 });
    const std::size_t before = f.server(1).calls.size();
    f.submit(OperationKind::Write);
    cr_assert(f.server(1).calls.size() == before + 1, "the write waits although a slot is free");
}
