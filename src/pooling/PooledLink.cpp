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
    if (heldReply_ && ReplyMatcher::answersBegin(reply)) {
        const Reply held = std::move(*heldReply_);
        heldReply_.reset();
        matcher_.accept(held, now);
        deliver(held, now);
        if (state_ == State::Closed)
            return;
    }
    const ReplyMatch match = matcher_.match(oldestCommand(), reply, now);
    if (match == ReplyMatch::Answer) {
        heldReply_.reset();
        return deliver(reply, now);
    }
    owner_->onUnmatchedReply(*this, match, reply, now);
    if (match == ReplyMatch::Mismatch)
        return close("the reply answers no command", now);
    if (match == ReplyMatch::Uncertain && !heldReply_)
        return hold(std::move(reply), now);
    if (match == ReplyMatch::Repetition && !ReplyMatcher::isSigned(reply))
        ++displacements_;
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
    const auto ignoreReply = [](const Reply*, TimePoint) {};
    EndpointCommand command;
    command.kind = EndpointCommand::Kind::BeginReadOnly;
    send(command, ignoreReply, now);
    if (state_ == State::Closed)
        return;
    command.kind = EndpointCommand::Kind::Rollback;
    send(command, ignoreReply, now);
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
