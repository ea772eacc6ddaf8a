#include "pooling/PooledLink.h"

#include <criterion/criterion.h>

using namespace almondlever;
using Kind = EndpointCommand::Kind;

namespace {

/** Takes commands and answers none. */
class MuteLink final : public EndpointLink {
public:
    void send(const EndpointCommand& command) override { kinds.push_back(command.kind); }
    void close() override { isClosed = true; }

    std::vector<Kind> kinds;
    bool isClosed = false;
};

struct PlainOwner final : PooledLinkOwner {
    void onPooledLinkOpened(PooledLink&, const Reply&, TimePoint) override { }
    void onPooledLinkReply(PooledLink&, const Reply&, TimePoint) override { }
    void onUnmatchedReply(PooledLink&, ReplyMatch, const Reply&, TimePoint) override { }
    void onPooledLinkClosed(PooledLink&, const std::string&, std::optional<StatementError>, TimePoint) override { }
};

Reply makeReply(const std::string& detail, TransactionState state, std::uint64_t index = 1)
{
    Reply reply;
    reply.detail = detail;
    reply.state = state;
    reply.position = LogPosition { 1, index };
    return reply;
}

Reply makeRefusal(StatementError error, TransactionState state = TransactionState::None)
{
    Reply reply = makeReply("i-1", state);
    reply.error = error;
    return reply;
}

const Reply ack = makeReply("-", TransactionState::None);
const Reply ackOpen = makeReply("-", TransactionState::Open);

/** An open connection whose replies a test gives one by one. */
struct OpenLink {
    OpenLink()
    {
        link->attach(wire);
        Reply greeting;
        greeting.position = LogPosition { 1, 1 };
        link->onLinkOpened(greeting, now);
    }

    /** Sends a command; the outcome becomes the signature, the error or "lost". */
    void send(Kind kind, std::string& outcome, bool endsTransaction = false)
    {
        EndpointCommand command;
        command.kind = kind;
        command.endsTransaction = endsTransaction;
        link->send(
            command,
            [&outcome](const Reply* reply, TimePoint) {
                outcome = !reply ? "lost" : reply->error ? toText(*reply->error) : reply->detail;
            },
            now);
    }
    std::string ask(Kind kind, const Reply& reply)
    {
        std::string outcome = "none";
        send(kind, outcome);
        receive(reply);
        return outcome;
    }
    void receive(const Reply& reply) { link->onLinkReply(Reply(reply), now); }

    TimePoint now { Milliseconds(1000) };
    PlainOwner owner;
    std::shared_ptr<MuteLink> wire = std::make_shared<MuteLink>();
    std::shared_ptr<PooledLink> link = std::make_shared<PooledLink>(owner, EndpointId("a"), CustomerId(), now);
};

} // namespace

// Guards against giving up a connection, or a refusal of its own, when the refusal is no repetition.
Test(PooledLink, heldRefusalIsDeliveredOnceTheProbeIsAnswered)
{
    OpenLink open;
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
    std::string outcome = "none";
    open.send(Kind::Forward, outcome);
    open.receive(makeRefusal(StatementError::Busy));
    cr_assert_str_eq(outcome.c_str(), "none");
    open.receive(ackOpen);
    cr_assert_str_eq(outcome.c_str(), toText(StatementError::Busy));
    open.receive(ack);
    cr_assert(!open.wire->isClosed);
    cr_assert(!open.link->isWaiting());
}

// Guards against a false promise: a repeated answer to an earlier BEGIN is taken for the answer to the probe, so that a
// repeated refusal denies a write that runs.
Test(PooledLink, repeatedAnswerToBeginDoesNotConfirmAHeldRefusal)
{
    OpenLink open;
    open.ask(Kind::Begin, ackOpen);
    open.ask(Kind::Rollback, ack);
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
    std::string outcome = "none";
    open.send(Kind::Forward, outcome);
    open.receive(makeRefusal(StatementError::Busy));
    open.receive(ackOpen);
    cr_assert_str_neq(outcome.c_str(), toText(StatementError::Busy));
}

// Guards against giving a caller the answer to another statement: the refusal and the answers to BEGIN and ROLLBACK of
// an earlier read are all repeated, so that the probe counts as answered while the statement before it still runs.
Test(PooledLink, repeatedAnswersToTheProbeDoNotShiftStatements)
{
    OpenLink open;
    open.ask(Kind::Begin, ackOpen);
    open.ask(Kind::Rollback, ack);
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
    std::string first = "none";
    open.send(Kind::Forward, first);
    open.receive(makeRefusal(StatementError::Busy));
    open.receive(ackOpen);
    open.receive(ack);
    if (open.wire->isClosed)
        return;
    std::string second = "none";
    open.send(Kind::Forward, second);
    open.receive(makeReply("signature of the first", TransactionState::None));
    cr_assert_str_neq(second.c_str(), "signature of the first");
}

// Guards against giving a caller the answer to another statement: the refusal of a statement in a transaction, and the
// answers to ROLLBACK and BEGIN behind it, are repeated while a statement of the next transaction still runs.
Test(PooledLink, repeatedEndOfATransactionDoesNotShiftStatements)
{
    OpenLink open;
    open.ask(Kind::Begin, ackOpen);
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy, TransactionState::Failed));
    open.ask(Kind::Rollback, ack);
    open.ask(Kind::Begin, ackOpen);
    std::string first = "none";
    open.send(Kind::Forward, first);
    open.receive(makeRefusal(StatementError::Busy, TransactionState::Failed));
    open.ask(Kind::Rollback, ack);
    open.ask(Kind::Begin, ackOpen);
    if (open.wire->isClosed)
        return;
    std::string second = "none";
    open.send(Kind::Forward, second);
    open.receive(makeReply("signature of the first", TransactionState::Open));
    cr_assert_str_neq(second.c_str(), "signature of the first");
}

// Guards against a false promise: of two uncertain refusals the first one is a repetition, and the second one, which
// promises nothing, is the answer.
Test(PooledLink, secondUncertainRefusalIsNotDropped)
{
    OpenLink open;
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
    open.ask(Kind::Forward, makeRefusal(StatementError::TimedOut));
    std::string outcome = "none";
    open.send(Kind::Forward, outcome);
    open.receive(makeRefusal(StatementError::Busy));
    open.receive(makeRefusal(StatementError::TimedOut));
    open.receive(ackOpen);
    cr_assert_str_neq(outcome.c_str(), toText(StatementError::Busy));
}

// Guards against believing that a transaction was not begun, when the refusal of an earlier statement is repeated while
// BEGIN is unanswered: the next statement on the connection would run inside that transaction.
Test(PooledLink, repeatedRefusalOfAStatementDoesNotAnswerBegin)
{
    OpenLink open;
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
    cr_assert_str_neq(open.ask(Kind::Begin, makeRefusal(StatementError::Busy)).c_str(), toText(StatementError::Busy));
}

// Guards against a reset or rollback that counts as refused, and costs the connection, because of a repeated refusal.
Test(PooledLink, repeatedRefusalOfAStatementDoesNotAnswerTheProxysCommands)
{
    for (const Kind kind : { Kind::Reset, Kind::SetValue, Kind::Prepare, Kind::Rollback, Kind::QueryStatus }) {
        OpenLink open;
        open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
        std::string outcome = open.ask(kind, makeRefusal(StatementError::Busy));
        cr_expect_str_neq(outcome.c_str(), toText(StatementError::Busy), "%s", toText(kind));
    }
}

// Guards against closing a connection without need: an acknowledgement that a repetition displaced is repeated as well.
Test(PooledLink, displacedAcknowledgementsMayBeRepeated)
{
    OpenLink open;
    open.ask(Kind::Begin, ackOpen);
    open.ask(Kind::Forward, makeReply("s1", TransactionState::Open));
    open.ask(Kind::Rollback, ack);
    open.ask(Kind::Begin, ackOpen);
    std::string outcome = "none";
    open.send(Kind::Forward, outcome);
    open.receive(makeReply("-", TransactionState::Open, 2));
    open.receive(makeReply("s2", TransactionState::Open, 2));
    cr_assert_str_eq(outcome.c_str(), "s2");
    open.ask(Kind::Rollback, makeReply("-", TransactionState::None, 2));
    open.receive(makeReply("-", TransactionState::Open, 2));
    cr_assert(!open.wire->isClosed);
}

// Guards against an answer that is delivered twice while a refusal is held.
Test(PooledLink, heldRefusalIsForgottenWithTheStatementsAnswer)
{
    OpenLink open;
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
    std::string outcome = "none";
    open.send(Kind::Forward, outcome);
    open.receive(makeRefusal(StatementError::Busy));
    open.receive(makeReply("s1", TransactionState::None));
    cr_assert_str_eq(outcome.c_str(), "s1");
    std::string next = "none";
    open.send(Kind::Forward, next);
    open.receive(ackOpen);
    open.receive(ack);
    cr_assert_str_eq(next.c_str(), "none");
    open.receive(makeReply("s2", TransactionState::None));
    cr_assert_str_eq(next.c_str(), "s2");
}

// Guards against a promise about a statement whose connection closes while its refusal is uncertain.
Test(PooledLink, heldRefusalIsNotDeliveredWhenTheConnectionCloses)
{
    OpenLink open;
    open.ask(Kind::Forward, makeRefusal(StatementError::Busy));
    std::string outcome = "none";
    open.send(Kind::Forward, outcome);
    open.receive(makeRefusal(StatementError::Busy));
    open.link->onLinkClosed("reset", std::nullopt, open.now);
    cr_assert_str_eq(outcome.c_str(), "lost");
}
