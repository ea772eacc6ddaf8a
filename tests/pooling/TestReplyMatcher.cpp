#include "pooling/ReplyMatcher.h"

#include <criterion/criterion.h>

using namespace almondlever;
using Kind = EndpointCommand::Kind;

namespace {

constexpr UnansweredCommand statement { Kind::Forward, false };
constexpr UnansweredCommand commit { Kind::Forward, true };
constexpr UnansweredCommand begin { Kind::Begin, false };
constexpr UnansweredCommand rollback { Kind::Rollback, false };
constexpr UnansweredCommand set { Kind::SetValue, false };
constexpr UnansweredCommand pauseReplication { Kind::PauseReplication, false };

Reply makeReply(const std::string& detail, TransactionState state, std::uint64_t index = 1)
{
    Reply reply;
    reply.detail = detail;
    reply.state = state;
    reply.position = LogPosition { 1, index };
    return reply;
}

Reply makeRefusal(StatementError error, std::uint64_t index = 1)
{
    Reply reply = makeReply("i-1", TransactionState::None, index);
    reply.error = error;
    return reply;
}

Reply makeStatus(std::uint64_t received)
{
    Reply reply = makeReply("-", TransactionState::None);
    reply.rows = { "replica 1 1." + std::to_string(received) };
    reply.replication = EndpointReplicationStatus { false, 1, { 1, received } };
    return reply;
}

struct OpenMatcher : ReplyMatcher {
    OpenMatcher()
    {
        Reply greeting;
        greeting.position = LogPosition { 1, 1 };
        noteOpened(greeting, now);
    }
    ReplyMatch take(const UnansweredCommand& command, const Reply& reply) { return match(&command, reply, now); }
    ReplyMatch takeIdle(const Reply& reply) { return match(nullptr, reply, now); }

    TimePoint now { Milliseconds(1000) };
};

const Reply ack = makeReply("-", TransactionState::None);
const Reply ackOpen = makeReply("-", TransactionState::Open);

} // namespace

// Guards against taking a second answer for that to the next statement, or for a reason to give the connection up.
Test(ReplyMatcher, ignoresRepetitions)
{
    OpenMatcher matcher;
    const Reply first = makeReply("s1", TransactionState::None);
    cr_assert(matcher.take(statement, first) == ReplyMatch::Answer);
    cr_assert(matcher.takeIdle(first) == ReplyMatch::Repetition);
    cr_assert(matcher.take(statement, first) == ReplyMatch::Repetition);
    cr_assert(matcher.take(statement, makeReply("s2", TransactionState::None)) == ReplyMatch::Answer);
    cr_assert(matcher.take(statement, first) == ReplyMatch::Repetition);
    cr_assert(matcher.take(begin, first) == ReplyMatch::Repetition);
}

// Guards against a success without the endpoint's signature, which no endpoint gives to a statement.
Test(ReplyMatcher, statementsNeedASignature)
{
    OpenMatcher matcher;
    cr_assert(matcher.take(statement, makeReply("", TransactionState::None, 2)) == ReplyMatch::Mismatch);
    Reply rows = ack;
    rows.rows = { "row" };
    cr_assert(matcher.take(statement, rows) == ReplyMatch::Mismatch);
    cr_assert(matcher.take(set, makeReply("s1", TransactionState::None)) == ReplyMatch::Mismatch);
}

// Guards against delivering a message whose rows were mixed with those of a repeated one.
Test(ReplyMatcher, signatureWithOtherRowsIsAMismatch)
{
    OpenMatcher matcher;
    Reply first = makeReply("s1", TransactionState::None);
    first.rows = { "a" };
    cr_assert(matcher.take(statement, first) == ReplyMatch::Answer);
    first.rows = { "b", "a" };
    cr_assert(matcher.take(statement, first) == ReplyMatch::Mismatch);
}

// Guards against a transaction that the endpoint has not begun, or has ended, while the proxy takes it for open.
Test(ReplyMatcher, answersReportTheStateThatFollowsFromTheCommands)
{
    OpenMatcher matcher;
    cr_assert(matcher.take(begin, makeReply("-", TransactionState::Failed)) == ReplyMatch::Mismatch);
    cr_assert(matcher.take(begin, ackOpen) == ReplyMatch::Answer);
    cr_assert(matcher.take(statement, makeReply("s1", TransactionState::Failed)) == ReplyMatch::Mismatch);
    cr_assert(matcher.take(statement, makeReply("s2", TransactionState::Open)) == ReplyMatch::Answer);
    cr_assert(matcher.take(commit, makeReply("s3", TransactionState::Open)) == ReplyMatch::Mismatch);
    cr_assert(matcher.take(commit, makeReply("s4", TransactionState::None)) == ReplyMatch::Answer);
    cr_assert(matcher.take(statement, makeReply("s5", TransactionState::Open)) == ReplyMatch::Mismatch);
}

// Guards against losing a statement's answer after a repetition took the place of the acknowledgement before it: the
// displaced acknowledgement comes first.
Test(ReplyMatcher, ignoresDisplacedAcknowledgements)
{
    OpenMatcher matcher;
    cr_assert(matcher.take(set, ack) == ReplyMatch::Answer);
    cr_assert(matcher.take(set, ack) == ReplyMatch::Answer);
    cr_assert(matcher.take(statement, makeReply("-", TransactionState::None, 7)) == ReplyMatch::Repetition);
    cr_assert(matcher.take(statement, makeReply("s1", TransactionState::None, 7)) == ReplyMatch::Answer);
    cr_assert(matcher.take(begin, ackOpen) == ReplyMatch::Answer);
    cr_assert(matcher.take(rollback, ackOpen) == ReplyMatch::Repetition);
    cr_assert(matcher.take(rollback, ack) == ReplyMatch::Answer);
}

// Guards against a refusal that is repeated and would deny a run, and against a log position from an earlier status.
Test(ReplyMatcher, repeatedRefusalsAndStatusesAreUncertain)
{
    OpenMatcher matcher;
    const Reply busy = makeRefusal(StatementError::Busy);
    cr_assert(matcher.take(statement, busy) == ReplyMatch::Answer);
    cr_assert(matcher.take(statement, busy) == ReplyMatch::Uncertain);
    cr_assert(matcher.take(statement, makeRefusal(StatementError::Busy, 2)) == ReplyMatch::Answer);
    cr_assert(matcher.takeIdle(busy) == ReplyMatch::Repetition);
    cr_assert(matcher.take(pauseReplication, makeStatus(5)) == ReplyMatch::Answer);
    cr_assert(matcher.take(pauseReplication, makeStatus(5)) == ReplyMatch::Uncertain);
    cr_assert(matcher.take(pauseReplication, makeStatus(6)) == ReplyMatch::Answer);
    cr_assert(matcher.take(pauseReplication, ack) == ReplyMatch::Repetition);
}

// Guards against a repeated refusal that ends another caller's transaction, or denies a commit.
Test(ReplyMatcher, repeatedRefusalsInsideATransaction)
{
    OpenMatcher matcher;
    Reply failed = makeRefusal(StatementError::Failed);
    failed.state = TransactionState::Failed;
    const Reply busy = makeRefusal(StatementError::Busy);
    cr_assert(matcher.take(statement, busy) == ReplyMatch::Answer);
    cr_assert(matcher.take(begin, ackOpen) == ReplyMatch::Answer);
    cr_assert(matcher.take(statement, busy) == ReplyMatch::Repetition);
    cr_assert(matcher.take(statement, makeRefusal(StatementError::Lagging)) == ReplyMatch::Mismatch);
    cr_assert(matcher.take(statement, failed) == ReplyMatch::Answer);
    cr_assert(matcher.take(rollback, ack) == ReplyMatch::Answer);
    cr_assert(matcher.take(statement, failed) == ReplyMatch::Mismatch);
    cr_assert(matcher.take(begin, ackOpen) == ReplyMatch::Answer);
    cr_assert(matcher.take(commit, busy) == ReplyMatch::Uncertain);
    cr_assert(matcher.take(commit, failed) == ReplyMatch::Mismatch);
}

// Guards against giving up a connection whose endpoint accepts it twice, and against using on one that answers nobody.
Test(ReplyMatcher, unaskedRepliesAreMismatches)
{
    OpenMatcher matcher;
    Reply greeting;
    greeting.position = LogPosition { 1, 1 };
    cr_assert(matcher.takeIdle(greeting) == ReplyMatch::Repetition);
    cr_assert(matcher.take(statement, greeting) == ReplyMatch::Repetition);
    cr_assert(matcher.takeIdle(makeReply("s1", TransactionState::None)) == ReplyMatch::Mismatch);
    cr_assert(matcher.takeIdle(makeRefusal(StatementError::Busy)) == ReplyMatch::Mismatch);
    cr_assert(matcher.takeIdle(ackOpen) == ReplyMatch::Mismatch);
}

// Guards against memory that grows with the age of a connection.
Test(ReplyMatcher, forgetsRepliesAfterAWhile)
{
    OpenMatcher matcher;
    const Reply busy = makeRefusal(StatementError::Busy);
    cr_assert(matcher.take(statement, busy) == ReplyMatch::Answer);
    matcher.now += ReplyMatcher::memoryTime + Milliseconds(1);
    cr_assert(matcher.take(statement, busy) == ReplyMatch::Answer);
}

// Guards against giving a caller the answer to another statement on a busy connection: after some thousand replies, a
// repetition is not recognised although it comes within memoryTime.
Test(ReplyMatcher, recognisesRepetitionsOnABusyConnection)
{
    OpenMatcher matcher;
    for (int number = 0; number < 5000; ++number) {
        matcher.now += Milliseconds(2);
        cr_assert(matcher.take(statement, makeReply("s" + std::to_string(number), TransactionState::None))
            == ReplyMatch::Answer);
    }
    cr_assert(matcher.take(statement, makeReply("s1", TransactionState::None)) != ReplyMatch::Answer);
}
