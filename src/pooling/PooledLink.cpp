#include "PooledLink.h"

#include <cassert>

namespace almondlever {

namespace {

    bool isQuick(EndpointCommand::Kind kind)
    {
        return kind == EndpointCommand::Kind::Begin || kind == EndpointCommand::Kind::BeginReadOnly
            || kind == EndpointCommand::Kind::Rollback || kind == EndpointCommand::Kind::Reset
            || kind == EndpointCommand::Kind::SetValue || kind == EndpointCommand::Kind::Prepare;
    }

} // namespace

std::optional<TimePoint> PooledLink::quickCommandSince() const
{
    // A quick command behind a statement waits for that one.
    if (awaiting_.empty() || !awaiting_.front().isQuick)
        return std::nullopt;
    return awaiting_.front().sentAt;
}

void PooledLink::send(const EndpointCommand& command, ReplyHandler handler, TimePoint now)
{
    assert(state_ != State::Opening && state_ != State::Closed);
    awaiting_.push_back({ std::move(handler), now, isQuick(command.kind) });
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
    awaiting_.clear();
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
    if (awaiting_.empty())
        return close("reply without a command", now);
    const auto self = shared_from_this();
    const Awaited awaited = std::move(awaiting_.front());
    awaiting_.pop_front();
    owner_->onPooledLinkReply(*this, reply, now);
    awaited.handler(&reply, now);
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
    const std::deque<Awaited> awaiting = std::move(awaiting_);
    awaiting_.clear();
    for (const Awaited& awaited : awaiting)
        awaited.handler(nullptr, now);
    if (owner_)
        owner_->onPooledLinkClosed(*this, reason, refusal, now);
}

} // namespace almondlever
