#include "ReplyMatcher.h"

#include <functional>

namespace almondlever {

namespace {

    /** The detail of a successful reply to a command of the proxy. */
    constexpr std::string_view noSignature = "-";
    /** Bounds the memory of a connection, whatever its endpoint sends. */
    constexpr std::size_t maximumSeen = 4096;

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
    case ReplyMatch::Repetition:
        return "repetition";
    case ReplyMatch::Uncertain:
        return "uncertain";
    case ReplyMatch::Mismatch:
        break;
    }
    return "mismatch";
}

ReplyMatcher::Fingerprint::Fingerprint(const Reply& reply)
    : content(contentHashOf(reply))
{
    if (isSigned(reply))
        signature = hashOf(reply.detail);
}

void ReplyMatcher::noteOpened(const Reply& reply, TimePoint now) { accept(reply, now); }

ReplyMatch ReplyMatcher::match(const UnansweredCommand* oldest, const Reply& reply, TimePoint now)
{
    while (!seen_.empty() && now - seen_.front().at > memoryTime)
        forgetOldest();
    const Fingerprint fingerprint(reply);
    const bool isRepeated = contents_.count(fingerprint.content) > 0;
    if (fingerprint.signature && signatures_.count(*fingerprint.signature) > 0)
        return isRepeated ? ReplyMatch::Repetition : ReplyMatch::Mismatch;
    if (!oldest || !fits(*oldest, reply)) {
        // An acknowledgement that comes one reply too late was displaced by a repetition of an earlier one.
        const bool isDisplaced = isPlainAcknowledgement(reply) && reply.state == state_;
        return isRepeated || isDisplaced ? ReplyMatch::Repetition : ReplyMatch::Mismatch;
    }
    if (isRepeated && isStatement(*oldest) && reply.error)
        return judgeRepeatedRefusal(*oldest, reply, now);
    if (isRepeated && reply.replication)
        return ReplyMatch::Uncertain;
    // Other answers that are alike do no harm when they change places: the next reply that cannot be mistaken shows it
    // before the result of a statement is passed on.
    remember(fingerprint, now);
    state_ = reply.state;
    return ReplyMatch::Answer;
}

ReplyMatch ReplyMatcher::judgeRepeatedRefusal(const UnansweredCommand& command, const Reply& reply, TimePoint now)
{
    const bool endsOutside = state_ == TransactionState::None || command.endsTransaction;
    if (endsOutside)
        return reply.state == TransactionState::None ? ReplyMatch::Uncertain : ReplyMatch::Mismatch;
    // The transaction is rolled back in either case, and the promise that nothing of it is kept is true.
    accept(reply, now);
    return ReplyMatch::Answer;
}

void ReplyMatcher::accept(const Reply& reply, TimePoint now)
{
    remember(Fingerprint(reply), now);
    state_ = reply.state;
}

void ReplyMatcher::remember(const Fingerprint& fingerprint, TimePoint now)
{
    if (seen_.size() == maximumSeen)
        forgetOldest();
    seen_.push_back({ now, fingerprint });
    ++contents_[fingerprint.content];
    if (fingerprint.signature)
        signatures_.insert(*fingerprint.signature);
}

void ReplyMatcher::forgetOldest()
{
    const Fingerprint oldest = seen_.front().reply;
    seen_.pop_front();
    const auto content = contents_.find(oldest.content);
    if (--content->second == 0)
        contents_.erase(content);
    if (oldest.signature)
        signatures_.erase(*oldest.signature);
}

bool ReplyMatcher::answersBegin(const Reply& reply)
{
    return isPlainAcknowledgement(reply) && reply.state == TransactionState::Open;
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
        return isPlainAcknowledgement(reply) && reply.state == TransactionState::None;
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
