#include "almondlever/forwarding/ForwardedStatements.h"
#include "almondlever/forwarding/StatementForwarder.h"
#include "mocks/DispatcherFixture.h"
#include "mocks/FakePeerNetwork.h"
#include "wire/CborReader.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** Delivers messages between two daemons in virtual time; can drop messages or cut the channel. */
class FakeNetwork final : public PeerNetwork {
public:
    FakeNetwork(FakeTimerService& timers, PeerIdentity self)
        : timers_(timers)
        , self_(std::move(self))
    {
    }

    Result<Done, std::string> listen() override { return Done {}; }
    bool send(const VmId& id, const std::string&, const Message& message) override
    {
        if (isCut || !other || id != other->self_.id || encodeMessage(message).size() > maximumMessageBytes)
            return false;
        ++sent;
        if (isSilent)
            return true;
        const auto decoded = decodeMessage(encodeMessage(message));
        cr_assert(decoded.hasValue());
        timers_.callAfter(Milliseconds(1), [this, message = decoded.value()](TimePoint) {
            if (!isCut && other->handler_)
                other->handler_(self_, message);
        });
        return true;
    }
    bool isConnected(const VmId&) const override { return !isCut; }
    void onMessage(MessageHandler handler) override { handler_ = std::move(handler); }
    void onLoss(LossHandler) override { }
    void onUnsent(UnsentHandler) override { }
    std::uint64_t bytesTransferred() const override { return 0; }
    PeerTraffic traffic() const override { return {}; }
    void stop() override { }

    FakeNetwork* other = nullptr;
    bool isCut = false;
    bool isSilent = false;
    std::size_t sent = 0;

private:
    FakeTimerService& timers_;
    PeerIdentity self_;
    MessageHandler handler_;
};

/** A value of this distance to the limit of a message, and a statement of twice this size, do not fit into one. */
constexpr std::size_t largeBytes = std::size_t { 64 } * 1024;

/** Two daemons: the caller's, which owns no group, and the owner, which runs the fixture's dispatcher. */
struct Fixture : DispatcherFixture {
    const VmId entryVm { "entry" };
    const VmId ownerVm { "owner" };
    FakeNetwork entryNetwork { timers, { entryVm, FailureDomainId("d"), "1" } };
    FakeNetwork ownerNetwork { timers, { ownerVm, FailureDomainId("d"), "2" } };
    EndpointDirectory entryDirectory;
    StatementDispatcher entryDispatcher { entryDirectory, endpoints, log, metrics, {} };
    StatementForwarder forwarder { entryDispatcher, log, metrics, settings() };
    ForwardedStatements owner { dispatcher, 77 };

    Fixture()
    {
        entryNetwork.other = &ownerNetwork;
        ownerNetwork.other = &entryNetwork;
        forwarder.setNetwork(&entryNetwork);
        owner.setNetwork(&ownerNetwork);
        forwarder.setOwners({ { group, { { ownerVm, FailureDomainId("d"), "2", false } } } });
        entryDispatcher.setGroups(configuration->groups, timers.now());
        entryDispatcher.setSharing({ { group, 0 } }, timers.now());
        for (const EndpointId& id : { a, b, c })
            entryDirectory.update(entryOf(id), timers.now());
        ownerNetwork.onMessage([this](const PeerIdentity& from, Message message) {
            if (auto* statement = std::get_if<SessionStatement>(&message))
                owner.onStatement(from.id, std::move(*statement), timers.now());
            else if (const auto* end = std::get_if<SessionTransactionEnd>(&message))
                owner.onTransactionEnd(from.id, *end, timers.now());
            else if (const auto* abandon = std::get_if<SessionAbandon>(&message))
                owner.onAbandon(from.id, *abandon, timers.now());
            else if (std::holds_alternative<OwnerProbe>(message))
                owner.onProbe(from.id);
        });
        entryNetwork.onMessage([this](const PeerIdentity& from, Message message) {
            if (auto* answer = std::get_if<SessionAnswer>(&message))
                forwarder.onAnswer(from.id, std::move(*answer), timers.now());
            else if (std::holds_alternative<OwnerProbeAnswer>(message))
                forwarder.onAlive(from.id, timers.now());
        });
    }

    static ForwarderSettings settings()
    {
        ForwarderSettings settings;
        settings.failureDomain = FailureDomainId("d");
        return settings;
    }

    void run(Duration by)
    {
        const TimePoint end = timers.now() + by;
        while (timers.now() < end) {
            advance(std::min<Duration>(Milliseconds(25), end - timers.now()));
            entryDispatcher.onTick(timers.now());
            forwarder.onTick(timers.now());
        }
    }
};

/** A caller whose session uses the forwarder. */
struct RemoteCaller final : CallerLink {
    RemoteCaller(Fixture& fixture, const std::string& database)
        : fixture_(fixture)
        , session(DatabaseId(database), KeyDigest(), *this, fixture, access, fixture.forwarder, fixture.metrics)
    {
    }
    void send(const Reply& reply) override { replies.push_back(reply); }
    void close() override { }
    void say(StatementKind kind, const std::string& id, const std::string& text)
    {
        session.onStatement({ id, kind, text, "", "", false }, fixture_.timers.now());
    }

    Fixture& fixture_;
    std::vector<Reply> replies;
    FakeCustomerAccess access;
    Session session;
};

void setValue(Fixture& fixture, RemoteCaller& caller, const std::string& value)
{
    caller.session.onStatement({ "s", StatementKind::SetValue, "", "v", value, false }, fixture.timers.now());
}

} // namespace

// Guards against statements or answers that are lost or altered between the caller's daemon and the owner.
Test(Forwarding, statementsRunAtTheOwner)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "jobs");
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    fixture.run(Milliseconds(100));
    caller.say(StatementKind::Read, "r1", "READ x");
    fixture.run(Milliseconds(200));
    cr_assert_eq(caller.replies.size(), 2U);
    cr_assert(!caller.replies[0].error);
    cr_assert(!caller.replies[1].error);
    cr_assert_eq(caller.replies[0].detail, "signed-by-a-1");
    cr_assert(fixture.endpoints.runs().back().endpoint == fixture.a,
        "the replicas have not received the session's own write");
}

// Guards against a forwarded transaction that changes its connection or stays open.
Test(Forwarding, transactionStaysOnOneConnection)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    caller.say(StatementKind::Begin, "b", "BEGIN");
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    caller.say(StatementKind::Read, "r1", "READ x");
    caller.say(StatementKind::Commit, "c1", "COMMIT");
    fixture.run(Milliseconds(300));
    cr_assert_eq(caller.replies.size(), 4U);
    for (const Reply& reply : caller.replies)
        cr_assert(!reply.error);
    const auto& runs = fixture.endpoints.runs();
    cr_assert_eq(runs.size(), 3U);
    cr_assert(runs[0].connection == runs[1].connection && runs[1].connection == runs[2].connection);
    cr_assert_eq(fixture.owner.openTransactions(), 0U);
}

// Guards against reporting NotRun for a write whose owner was lost while it was running.
Test(Forwarding, lostOwnerOfAWriteIsUnknown)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    fixture.run(Milliseconds(5));
    fixture.forwarder.onLoss(fixture.ownerVm, fixture.timers.now());
    cr_assert(caller.replies.back().error == StatementError::Unknown);
}

// Guards against failing a read that can run on a connection of the caller's daemon.
Test(Forwarding, readRunsLocallyWhenTheOwnerIsLost)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    fixture.entryNetwork.isCut = true;
    caller.say(StatementKind::Read, "r1", "READ x");
    fixture.run(Milliseconds(400));
    cr_assert_eq(caller.replies.size(), 1U);
    cr_assert(!caller.replies[0].error);
}

// Guards against waiting forever for an owner that does not answer, and against repeating a write that was sent to it.
Test(Forwarding, unansweredWriteIsUnknownAtTheDeadline)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    fixture.entryNetwork.isSilent = true;
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    fixture.run(Milliseconds(1300));
    cr_assert_eq(caller.replies.size(), 1U);
    cr_assert(caller.replies[0].error == StatementError::Unknown);
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
}

// Guards against transactions that stay open at the owner after the channel to the caller's daemon was lost.
Test(Forwarding, lossOfADaemonRollsItsTransactionsBack)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    caller.say(StatementKind::Begin, "b", "BEGIN");
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    fixture.run(Milliseconds(100));
    cr_assert_eq(fixture.owner.openTransactions(), 1U);
    fixture.owner.onLoss(fixture.entryVm, fixture.timers.now());
    cr_assert_eq(fixture.owner.openTransactions(), 0U);
    caller.say(StatementKind::Commit, "c1", "COMMIT");
    fixture.run(Milliseconds(100));
    cr_assert(caller.replies.back().error == StatementError::Aborted);
    cr_assert_eq(fixture.endpoints.runsOf("c1"), 0U);
}

// Guards against a transaction that stays open because the answer to its BEGIN arrives after the caller disconnected.
Test(Forwarding, lateAnswerOfAnAbandonedBeginEndsTheTransaction)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    caller.say(StatementKind::Begin, "b", "BEGIN");
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    fixture.run(Milliseconds(5));
    caller.session.onCallerClosed(fixture.timers.now());
    fixture.run(Milliseconds(200));
    cr_assert_eq(fixture.owner.openTransactions(), 0U);
}

// Guards against an answer that comes again and ends a transaction that its session still uses.
Test(Forwarding, secondAnswerDoesNotEndAnOpenTransaction)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    std::vector<SessionAnswer> answers;
    fixture.entryNetwork.onMessage([&](const PeerIdentity& from, Message message) {
        if (auto* answer = std::get_if<SessionAnswer>(&message)) {
            answers.push_back(*answer);
            fixture.forwarder.onAnswer(from.id, std::move(*answer), fixture.timers.now());
        }
    });
    caller.say(StatementKind::Begin, "b", "BEGIN");
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    fixture.run(Milliseconds(100));
    cr_assert_eq(answers.size(), 1U);
    fixture.forwarder.onAnswer(fixture.ownerVm, SessionAnswer(answers[0]), fixture.timers.now());
    fixture.run(Milliseconds(50));
    cr_assert_eq(fixture.owner.openTransactions(), 1U);
    caller.say(StatementKind::Read, "r1", "READ x");
    caller.say(StatementKind::Commit, "c1", "COMMIT");
    fixture.run(Milliseconds(200));
    cr_assert(!caller.replies.back().error);
    // The transaction has ended, so an answer that names it has to end what it may have opened.
    const std::size_t sent = fixture.entryNetwork.sent;
    fixture.forwarder.onAnswer(fixture.ownerVm, SessionAnswer(answers[0]), fixture.timers.now());
    cr_assert_eq(fixture.entryNetwork.sent, sent + 1);
}

// Guards against a statement that runs twice because its message comes again while it runs.
Test(Forwarding, secondMessageOfARunningStatementIsIgnored)
{
    Fixture fixture;
    SessionStatement message;
    message.correlation = 9;
    message.statement = { "w1", StatementKind::Write, "WRITE x 1", "", "", false };
    message.group = fixture.group;
    message.timeLeft = Milliseconds(1000);
    message.isWrite = message.needsPrimary = true;
    fixture.owner.onStatement(fixture.entryVm, SessionStatement(message), fixture.timers.now());
    fixture.owner.onStatement(fixture.entryVm, SessionStatement(message), fixture.timers.now());
    fixture.run(Milliseconds(200));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 1U);
}

// Guards against reads that wait until their time-out for an owner that has stopped responding, and against sending it
// further reads.
Test(Forwarding, readsAreMovedFromAnUnresponsiveOwner)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "proofs");
    fixture.entryNetwork.isSilent = true;
    caller.say(StatementKind::Read, "r1", "READ x");
    fixture.run(Milliseconds(700));
    cr_assert_eq(caller.replies.size(), 1U);
    cr_assert(!caller.replies[0].error);
    const std::size_t sentBefore = fixture.entryNetwork.sent;
    caller.say(StatementKind::Read, "r2", "READ x");
    fixture.run(Milliseconds(200));
    cr_assert_eq(caller.replies.size(), 2U);
    cr_assert(!caller.replies[1].error);
    cr_assert_leq(fixture.entryNetwork.sent, sentBefore + 1, "only a probe may be sent");
}

// Guards against repeating a write, or a statement of an open transaction, that a suspended owner may run when it
// resumes.
Test(Forwarding, writesAreNotMovedFromAnUnresponsiveOwner)
{
    Fixture fixture;
    RemoteCaller writer(fixture, "orders");
    RemoteCaller inTransaction(fixture, "orders");
    inTransaction.say(StatementKind::Begin, "b", "BEGIN");
    inTransaction.say(StatementKind::Write, "w2", "WRITE x 2");
    fixture.run(Milliseconds(100));
    const std::size_t repliesBefore = inTransaction.replies.size();
    fixture.entryNetwork.isSilent = true;
    writer.say(StatementKind::Write, "w1", "WRITE x 1");
    inTransaction.say(StatementKind::Commit, "c1", "COMMIT");
    fixture.run(Milliseconds(700));
    cr_assert_eq(writer.replies.size(), 0U);
    cr_assert_eq(inTransaction.replies.size(), repliesBefore);
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
    cr_assert_eq(fixture.endpoints.runsOf("c1"), 0U);
}

// Guards against abandoning an owner that answers probes while a statement takes long.
Test(Forwarding, slowStatementStaysWithItsOwner)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "proofs");
    for (const EndpointId& id : { fixture.a, fixture.b, fixture.c })
        fixture.endpoints.server(id).work = Milliseconds(700);
    caller.say(StatementKind::Read, "r1", "READ x");
    fixture.run(Milliseconds(900));
    cr_assert_eq(caller.replies.size(), 1U);
    cr_assert(!caller.replies[0].error);
    cr_assert_eq(fixture.endpoints.runsOf("r1"), 1U);
}

// Guards against a statement that the owner refuses, whereupon it closes the channel and with it ends the statements of
// other callers; and against taking the owner for unresponsive because of it.
Test(Forwarding, statementTooLargeForAMessageRunsHere)
{
    for (const bool isIdTooLong : { false, true }) {
        Fixture fixture;
        RemoteCaller caller(fixture, "proofs");
        const std::string id(isIdTooLong ? maximumNameBytes + 1 : 1, 'i');
        const std::string value(maximumMessageBytes - largeBytes, 'v');
        setValue(fixture, caller, isIdTooLong ? "" : value);
        caller.say(StatementKind::Read, id, "READ " + std::string(isIdTooLong ? 1 : 2 * largeBytes, 'x'));
        fixture.run(Milliseconds(100));
        cr_assert_eq(caller.replies.size(), 2U);
        cr_assert(!caller.replies[1].error);
        cr_assert_eq(fixture.endpoints.runsOf(id), 1U);
        cr_assert_eq(fixture.entryNetwork.sent, 0U);
        caller.say(StatementKind::Read, "r2", "READ x");
        fixture.run(Milliseconds(100));
        cr_assert_eq(caller.replies.size(), 3U);
        cr_assert_eq(fixture.entryNetwork.sent, 1U);
    }
}

// Guards against session values in a number for which the owner closes the channel.
Test(Forwarding, tooManySessionValuesAreNotSent)
{
    constexpr std::size_t values = 1025;
    Fixture fixture;
    RemoteCaller caller(fixture, "proofs");
    for (std::size_t number = 0; number < values; ++number)
        caller.session.onStatement(
            { "s", StatementKind::SetValue, "", std::to_string(number), "1", false }, fixture.timers.now());
    caller.say(StatementKind::Read, "r1", "READ x");
    fixture.run(Milliseconds(1500));
    cr_assert_eq(caller.replies.size(), values + 1);
    cr_assert_eq(fixture.entryNetwork.sent, 0U);
}

// Guards against a transaction that stays open at the owner when one of its statements cannot be sent there.
Test(Forwarding, statementTooLargeForAMessageEndsItsTransaction)
{
    Fixture fixture;
    RemoteCaller caller(fixture, "orders");
    caller.say(StatementKind::Begin, "b", "BEGIN");
    caller.say(StatementKind::Write, "w1", "WRITE x 1");
    fixture.run(Milliseconds(100));
    cr_assert_eq(fixture.owner.openTransactions(), 1U);
    setValue(fixture, caller, std::string(maximumMessageBytes - largeBytes, 'v'));
    caller.say(StatementKind::Write, "w2", "WRITE x " + std::string(2 * largeBytes, '2'));
    fixture.run(Milliseconds(100));
    cr_assert(caller.replies.back().error == StatementError::Aborted);
    cr_assert_eq(fixture.owner.openTransactions(), 0U);
    caller.say(StatementKind::Commit, "c1", "COMMIT");
    fixture.run(Milliseconds(100));
    cr_assert(caller.replies.back().error == StatementError::Aborted);
    cr_assert_eq(fixture.endpoints.runsOf("c1"), 0U);
}

namespace {

struct FakeTransaction final : OpenTransaction { };

/** Records the statement that was submitted last and the transactions that were ended. */
struct FakeRunner final : StatementRunner {
    Ticket submit(StatementRequest, StatementCallback callback, TimePoint) override
    {
        callbacks.push_back(std::move(callback));
        return callbacks.size();
    }
    Ticket submit(const TransactionHandle&, StatementRequest, StatementCallback callback, TimePoint) override
    {
        callbacks.push_back(std::move(callback));
        return callbacks.size();
    }
    void abandon(Ticket, TimePoint) override { }
    void endTransaction(const TransactionHandle& transaction, TimePoint) override { ended.push_back(transaction); }

    std::vector<StatementCallback> callbacks;
    std::vector<TransactionHandle> ended;
};

/** An owner whose answers are recorded. */
struct OwnerFixture {
    OwnerFixture() { owner.setNetwork(&network); }

    /** Lets a statement succeed with these rows and returns the answer that was sent. */
    SessionAnswer answer(SessionStatement message, const std::vector<std::string>& rows, const TransactionHandle& open)
    {
        message.timeLeft = Milliseconds(1000);
        owner.onStatement(peer, std::move(message), now);
        StatementResult result;
        result.reply.rows = rows;
        result.reply.detail = "signature";
        result.transaction = open;
        runner.callbacks.back()(std::move(result), now);
        const Message sent = network.sent.back().second;
        const std::string bytes = encodeMessage(sent);
        cr_assert_leq(bytes.size(), maximumMessageBytes);
        cr_assert(decodeMessage(bytes).hasValue());
        return std::get<SessionAnswer>(sent);
    }

    const VmId peer { "entry" };
    const TimePoint now {};
    FakePeerNetwork network;
    FakeRunner runner;
    ForwardedStatements owner { runner, 77 };
};

SessionStatement statementOf(StatementKind kind, bool isWrite)
{
    SessionStatement message;
    message.correlation = 5;
    message.statement.kind = kind;
    message.isWrite = isWrite;
    return message;
}

const std::vector<std::string> largeRows { std::string(maximumMessageBytes, 'r') };
const std::vector<std::string> manyRows(70000, "r");

} // namespace

// Guards against an answer that cannot be sent, for which the caller's daemon waits until the time-out, and against one
// that it refuses by closing the channel. A write that ran must not be reported as not run.
Test(Forwarding, answerTooLargeForAMessageIsReplaced)
{
    for (const auto& rows : { largeRows, manyRows }) {
        OwnerFixture fixture;
        const SessionAnswer read = fixture.answer(statementOf(StatementKind::Read, false), rows, nullptr);
        cr_assert_eq(read.correlation, 5U);
        cr_assert(read.reply.error == StatementError::Failed);
        const SessionAnswer write = fixture.answer(statementOf(StatementKind::Write, true), rows, nullptr);
        cr_assert(write.reply.error == StatementError::Unknown);
    }
}

// Guards against a transaction that stays open, or a promise that does not hold, after an answer that is too large.
Test(Forwarding, answerTooLargeForAMessageRollsItsTransactionBack)
{
    OwnerFixture fixture;
    const auto transaction = std::make_shared<FakeTransaction>();
    SessionStatement opening = statementOf(StatementKind::Write, true);
    opening.opensTransaction = true;
    const SessionAnswer first = fixture.answer(opening, largeRows, transaction);
    cr_assert(first.reply.error == StatementError::Aborted);
    cr_assert_eq(first.transaction, 0U);
    const SessionAnswer second = fixture.answer(opening, {}, transaction);
    SessionStatement later = statementOf(StatementKind::Read, false);
    later.transaction = second.transaction;
    const SessionAnswer third = fixture.answer(later, largeRows, transaction);
    cr_assert(third.reply.error == StatementError::Aborted);
    cr_assert_eq(fixture.runner.ended.size(), 2U);
    cr_assert_eq(fixture.owner.openTransactions(), 0U);
}

// Guards against an error that becomes another one because its text is too large.
Test(Forwarding, errorWithLargeTextKeepsItsCode)
{
    OwnerFixture fixture;
    fixture.owner.onStatement(fixture.peer, statementOf(StatementKind::Write, true), fixture.now);
    StatementResult result;
    result.reply.error = StatementError::Busy;
    result.reply.detail = std::string(maximumMessageBytes, 'd');
    fixture.runner.callbacks.back()(std::move(result), fixture.now);
    const auto& answer = std::get<SessionAnswer>(fixture.network.sent.back().second);
    cr_assert(answer.reply.error == StatementError::Busy);
    cr_assert(decodeMessage(encodeMessage(answer)).hasValue());
}
