#include "ReplyMatcher.h"

#include <functional>
#include <iterator>

namespace almondlever {

namespace {

    /** The detail of a successful reply to a command of the proxy. */
    constexpr std::string_view noSignature = "-";
    /** Bounds the memory of a connection, whatever its endpoint sends. */
    constexpr std::size_t maximumSeen = 65536;

    /** True for a success that neither a statement nor a replication command can have. */
    bool isPlainAcknowledgement(const Reply& reply)
    {
        return !reply.error && reply.detail == noSignature && reply.rows.empty() && !reply.replication;
    }

    std::size_t combine(std::size_t hash, std::size_t value)
    {
        return hash ^ (value + 0x9e3779b97f4a7c15ULL + (hash << 6U) + (hash >> 2U));
    }

    std::size_t hashOf(const std::string& text) { return std::hash<std::string>()(text); }

    std::size_t contentHashOf(const Reply& reply)
    {
        std::size_t hash = hashOf(reply.detail);
        for (const std::string& row : reply.rows)
            hash = combine(hash, hashOf(row));
        hash = combine(hash, reply.rows.size());
        hash = combine(hash, reply.error ? static_cast<std::size_t>(*reply.error) + 1 : 0);
        hash = combine(hash, static_cast<std::size_t>(reply.state));
        const LogPosition position = reply.position.value_or(LogPosition());
        hash = combine(hash, position.term);
        return combine(hash, position.index);
    }

    std::size_t signatureHashOf(const Reply& reply) { return combine(1, hashOf(reply.detail)); }

    bool isStatement(const UnansweredCommand& command)
    {
        return command.kind == EndpointCommand::Kind::Forward || command.kind == EndpointCommand::Kind::ForwardPrepared;
    }

} // namespace

const char* toText(ReplyMatch match)
{
    switch (match) {
    case ReplyMatch::Answer:
        return "answer";
    case ReplyMatch::LikelyAnswer:
        return "likely_answer";
    case ReplyMatch::Repetition:
        return "repetition";
    case ReplyMatch::Uncertain:
        return "uncertain";
    case ReplyMatch::Mismatch:
        break;
    }
    return "mismatch";
}

void ReplyMatcher::noteOpened(const Reply& reply, TimePoint now) { accept(reply, now); }

ReplyMatch ReplyMatcher::match(const UnansweredCommand* oldest, const Reply& reply, TimePoint now)
{
    const std::size_t content = contentHashOf(reply);
    const bool isRepeated = hasSeen(content, now);
    if (isSigned(reply) && hasSeen(signatureHashOf(reply), now))
        return isRepeated ? ReplyMatch::Repetition : ReplyMatch::Mismatch;
    if (!oldest || !fits(*oldest, reply)) {
        // An acknowledgement that comes one reply too late was displaced by a repetition of an earlier one.
        const bool isDisplaced = isPlainAcknowledgement(reply) && reply.state == state_;
        if (isDisplaced)
            remember(content, now);
        return isRepeated || isDisplaced ? ReplyMatch::Repetition : ReplyMatch::Mismatch;
    }
    ReplyMatch match = ReplyMatch::Answer;
    if (isRepeated && reply.error)
        match = judgeRepeatedRefusal(*oldest, reply);
    else if (isRepeated && reply.replication)
        match = ReplyMatch::Uncertain;
    else if (isRepeated)
        match = ReplyMatch::LikelyAnswer;
    if (match == ReplyMatch::Answer || match == ReplyMatch::LikelyAnswer)
        accept(reply, now);
    return match;
}

ReplyMatch ReplyMatcher::judgeRepeatedRefusal(const UnansweredCommand& command, const Reply& reply) const
{
    switch (command.kind) {
    case EndpointCommand::Kind::Forward:
    case EndpointCommand::Kind::ForwardPrepared:
        // An answer that is still to come must not meet the next transaction's statement.
        if (state_ != TransactionState::None && !command.endsTransaction)
            return ReplyMatch::Mismatch;
        return reply.state == TransactionState::None ? ReplyMatch::Uncertain : ReplyMatch::Mismatch;
    case EndpointCommand::Kind::Begin:
    case EndpointCommand::Kind::BeginReadOnly: {
        const bool mayRefuse = reply.error == StatementError::ReadOnly || reply.error == StatementError::Lagging;
        return mayRefuse ? ReplyMatch::LikelyAnswer : ReplyMatch::Repetition;
    }
    case EndpointCommand::Kind::QueryStatus:
    case EndpointCommand::Kind::PauseReplication:
    case EndpointCommand::Kind::ResumeReplication:
    case EndpointCommand::Kind::StepDown:
        return ReplyMatch::Uncertain;
    default:
        return ReplyMatch::Repetition;
    }
}

void ReplyMatcher::accept(const Reply& reply, TimePoint now)
{
    remember(contentHashOf(reply), now);
    if (isSigned(reply))
        remember(signatureHashOf(reply), now);
    state_ = reply.state;
}

bool ReplyMatcher::hasSeen(std::size_t hash, TimePoint now) const
{
    const auto found = seen_.find(hash);
    return found != seen_.end() && now - found->second <= memoryTime;
}

void ReplyMatcher::remember(std::size_t hash, TimePoint now)
{
    if (now - forgottenAt_ > memoryTime || seen_.size() >= maximumSeen)
        forgetOld(now);
    seen_[hash] = now;
}

void ReplyMatcher::forgetOld(TimePoint now)
{
    forgottenAt_ = now;
    for (auto it = seen_.begin(); it != seen_.end();)
        it = now - it->second > memoryTime ? seen_.erase(it) : std::next(it);
    if (seen_.size() >= maximumSeen)
        seen_.clear();
}

bool ReplyMatcher::answersBegin(const Reply& reply)
{
    return isPlainAcknowledgement(reply) && reply.state == TransactionState::Open;
}

bool ReplyMatcher::answersRollback(const Reply& reply)
{
    return isPlainAcknowledgement(reply) && reply.state == TransactionState::None;
}

bool ReplyMatcher::isSigned(const Reply& reply)
{
    return !reply.error && !reply.detail.empty() && reply.detail != noSignature;
}

bool ReplyMatcher::isStateAfterStatement(const UnansweredCommand& command, TransactionState state) const
{
    if (command.endsTransaction)
        return state == TransactionState::None;
    // The endpoint may have ended the transaction; its user is told.
    return state == state_ || (state_ == TransactionState::Open && state == TransactionState::None);
}

bool ReplyMatcher::fits(const UnansweredCommand& command, const Reply& reply) const
{
    if (reply.error) {
        // A refusal leaves a transaction failed; with none open, it answers the BEGIN before the statement.
        const bool continuesTransaction = isStatement(command) && !command.endsTransaction;
        return !continuesTransaction || state_ != TransactionState::Open || reply.state != TransactionState::None;
    }
    switch (command.kind) {
    case EndpointCommand::Kind::Forward:
    case EndpointCommand::Kind::ForwardPrepared:
        return isSigned(reply) && isStateAfterStatement(command, reply.state);
    case EndpointCommand::Kind::Begin:
    case EndpointCommand::Kind::BeginReadOnly:
        return answersBegin(reply);
    case EndpointCommand::Kind::Rollback:
        return answersRollback(reply);
    case EndpointCommand::Kind::SetValue:
    case EndpointCommand::Kind::Prepare:
    case EndpointCommand::Kind::Reset:
        return isPlainAcknowledgement(reply) && reply.state == state_;
    case EndpointCommand::Kind::QueryStatus:
    case EndpointCommand::Kind::PauseReplication:
    case EndpointCommand::Kind::ResumeReplication:
    case EndpointCommand::Kind::StepDown:
        break;
    }
    return reply.replication.has_value();
}

} // namespace almondlever
