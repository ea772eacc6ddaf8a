#include "PooledLink.h"

#include <cassert>

namespace almondlever {

namespace {

    /** True if an endpoint answers the command without a slot. */
    bool needsNoSlot(EndpointCommand::Kind kind)
    {
        return kind == EndpointCommand::Kind::Begin || kind == EndpointCommand::Kind::BeginReadOnly
            || kind == EndpointCommand::Kind::Rollback || kind == EndpointCommand::Kind::Reset
            || kind == EndpointCommand::Kind::SetValue || kind == EndpointCommand::Kind::Prepare;
    }

} // namespace

std::optional<TimePoint> PooledLink::slotFreeCommandSince() const
{
    // A command behind a statement waits for that statement.
    if (pendingReplies_.empty() || !needsNoSlot(pendingReplies_.front().command.kind))
        return std::nullopt;
    return pendingReplies_.front().sentAt;
}

void PooledLink::send(const EndpointCommand& command, ReplyHandler handler, TimePoint now)
{
    assert(state_ != State::Opening && state_ != State::Closed);
    pendingReplies_.push_back({ std::move(handler), now, { command.kind, command.endsTransaction } });
    link_->send(command);
}

void PooledLink::close(const std::string& reason, TimePoint now)
{
    if (state_ == State::Closed)
        return;
    if (link_)
        link_->close();
    finishClosed(reason, std::nullopt, now);
}

void PooledLink::abandon()
{
    state_ = State::Closed;
    owner_ = nullptr;
    pendingReplies_.clear();
    if (link_)
        link_->close();
    link_.reset();
}

void PooledLink::onLinkOpened(const Reply& reply, TimePoint now)
{
    if (state_ != State::Opening)
        return;
    setState(State::Idle, now);
    wasOpened_ = true;
    matcher_.noteOpened(reply, now);
    owner_->onPooledLinkOpened(*this, reply, now);
}

void PooledLink::onLinkReply(Reply&& reply, TimePoint now)
{
    if (state_ == State::Closed)
        return;
    const auto self = shared_from_this();
    if (heldReply_ && continueProbe(reply, now))
        return;
    const ReplyMatch match = matcher_.match(oldestCommand(), reply, now);
    if (match == ReplyMatch::Answer || match == ReplyMatch::LikelyAnswer) {
        heldReply_.reset();
        probeReplies_.clear();
        isLastAnswerLikely_ = match == ReplyMatch::LikelyAnswer;
        const bool isBegin = pendingReplies_.front().command.kind == EndpointCommand::Kind::Begin
            || pendingReplies_.front().command.kind == EndpointCommand::Kind::BeginReadOnly;
        // If the refusal is a repetition, the transaction was begun.
        if (isLastAnswerLikely_ && isBegin && reply.error)
            sendIgnored(EndpointCommand::Kind::Rollback, now);
        return deliver(reply, now);
    }
    owner_->onUnmatchedReply(*this, match, reply, now);
    if (match == ReplyMatch::Mismatch)
        return close("the reply answers no command", now);
    hasSeenRepetitions_ = hasSeenRepetitions_ || match == ReplyMatch::Repetition;
    if (match == ReplyMatch::Repetition && !ReplyMatcher::isSigned(reply))
        ++displacements_;
    if (match == ReplyMatch::Uncertain && heldReply_)
        holdSecond(reply, now);
    else if (match == ReplyMatch::Uncertain)
        hold(std::move(reply), now);
}

bool PooledLink::continueProbe(const Reply& reply, TimePoint now)
{
    const bool awaitsBegin = probeReplies_.size() % 2 == 0;
    if (!awaitsBegin && ReplyMatcher::answersBegin(reply)) {
        // The one before was a repetition.
        probeReplies_.back() = reply;
        return true;
    }
    if (!(awaitsBegin ? ReplyMatcher::answersBegin(reply) : ReplyMatcher::answersRollback(reply)))
        return false;
    probeReplies_.push_back(reply);
    if (probeReplies_.size() == 2 * probeRounds)
        deliverHeld(now);
    return true;
}

void PooledLink::deliverHeld(TimePoint now)
{
    const Reply held = std::move(*heldReply_);
    const std::vector<Reply> probeReplies = std::move(probeReplies_);
    heldReply_.reset();
    probeReplies_.clear();
    matcher_.accept(held, now);
    isLastAnswerLikely_ = true;
    deliver(held, now);
    for (const Reply& reply : probeReplies)
        onLinkReply(Reply(reply), now);
}

void PooledLink::holdSecond(const Reply& reply, TimePoint now)
{
    if (!reply.error || !heldReply_->error)
        return close("two statuses may be the answer", now);
    // One of them is the answer; a promise that nothing is kept needs both.
    if (!guaranteesNoEffect(*reply.error))
        heldReply_ = reply;
}

void PooledLink::deliver(const Reply& reply, TimePoint now)
{
    const PendingReply pending = std::move(pendingReplies_.front());
    pendingReplies_.pop_front();
    owner_->onPooledLinkReply(*this, reply, now);
    pending.handler(&reply, now);
}

void PooledLink::hold(Reply&& reply, TimePoint now)
{
    heldReply_ = std::move(reply);
    probeReplies_.clear();
    for (std::size_t round = 0; round < probeRounds; ++round) {
        sendIgnored(EndpointCommand::Kind::BeginReadOnly, now);
        sendIgnored(EndpointCommand::Kind::Rollback, now);
    }
}

void PooledLink::sendIgnored(EndpointCommand::Kind kind, TimePoint now)
{
    // Sending may have closed the connection.
    if (state_ == State::Closed)
        return;
    EndpointCommand command;
    command.kind = kind;
    send(
        command, [](const Reply*, TimePoint) {}, now);
}

void PooledLink::onLinkClosed(const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
{
    if (state_ != State::Closed)
        finishClosed(reason, refusal, now);
}

void PooledLink::finishClosed(const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
{
    const auto self = shared_from_this();
    state_ = State::Closed;
    link_.reset();
    const std::deque<PendingReply> pendingReplies = std::move(pendingReplies_);
    pendingReplies_.clear();
    for (const PendingReply& pending : pendingReplies)
        pending.handler(nullptr, now);
    if (owner_)
        owner_->onPooledLinkClosed(*this, reason, refusal, now);
}

} // namespace almondlever
