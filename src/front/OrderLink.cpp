#include "OrderLink.h"

#include <algorithm>

namespace almondlever {

const char* toText(GroupPromotion::Order::Kind kind)
{
    switch (kind) {
    case GroupPromotion::Order::Kind::QueryStatus:
        return "query_status";
    case GroupPromotion::Order::Kind::Pause:
        return "pause";
    case GroupPromotion::Order::Kind::Resume:
        return "resume";
    case GroupPromotion::Order::Kind::Promote:
        break;
    }
    return "promote";
}

OrderLink::~OrderLink()
{
    if (link_)
        link_->close();
}

void OrderLink::open(EndpointConnector& connector, const EndpointEntry& entry)
{
    link_ = connector.connect(entry, weak_from_this());
}

void OrderLink::send(const EndpointCommand& command, Duration timeout, Callback callback)
{
    const std::uint64_t number = ++lastNumber_;
    sent_.push_back({ command, std::move(callback), number });
    if (isOpen_)
        link_->send(command);
    timers_.callAfter(timeout, [weak = weak_from_this(), number](TimePoint now) {
        const auto self = weak.lock();
        if (!self || self->isClosed_)
            return;
        const bool isWaiting = std::any_of(
            self->sent_.begin(), self->sent_.end(), [number](const Sent& sent) { return sent.number == number; });
        if (!isWaiting)
            return;
        self->link_->close();
        self->onLinkClosed("no answer in time", std::nullopt, now);
    });
}

void OrderLink::onLinkOpened(const Reply&, TimePoint)
{
    isOpen_ = true;
    for (const Sent& sent : sent_)
        link_->send(sent.command);
}

void OrderLink::onLinkReply(Reply&& reply, TimePoint now)
{
    if (sent_.empty())
        return;
    const auto self = shared_from_this();
    const Sent sent = std::move(sent_.front());
    sent_.pop_front();
    if (reply.error || !reply.replication)
        return sent.callback(std::nullopt, reply.error ? toText(*reply.error) + (' ' + reply.detail) : "no status", now);
    sent.callback(reply.replication, "", now);
}

void OrderLink::onLinkClosed(const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
{
    if (isClosed_)
        return;
    const auto self = shared_from_this();
    isClosed_ = true;
    const std::deque<Sent> sent = std::move(sent_);
    sent_.clear();
    const std::string detail = refusal ? toText(*refusal) + (' ' + reason) : reason;
    for (const Sent& waiting : sent)
        waiting.callback(std::nullopt, detail, now);
}

} // namespace almondlever
