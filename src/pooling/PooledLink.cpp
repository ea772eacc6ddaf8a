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
    if (pendingReplies_.empty() || !pendingReplies_.front().needsNoSlot)
        return std::nullopt;
    return pendingReplies_.front().sentAt;
}

void PooledLink::send(const EndpointCommand& command, ReplyHandler handler, TimePoint now)
{
    assert(state_ != State::Opening && state_ != State::Closed);
    pendingReplies_.push_back({ std::move(handler), now, needsNoSlot(command.kind) });
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
    owner_->onPooledLinkOpened(*this, reply, now);
}

void PooledLink::onLinkReply(Reply&& reply, TimePoint now)
{
    if (state_ == State::Closed)
        return;
    if (pendingReplies_.empty())
        return close("reply without a command", now);
    const auto self = shared_from_this();
    const PendingReply pending = std::move(pendingReplies_.front());
    pendingReplies_.pop_front();
    owner_->onPooledLinkReply(*this, reply, now);
    pending.handler(&reply, now);
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
