#include "DelayLine.h"

namespace almondlever::standin {

std::shared_ptr<DelayLine> DelayLine::create(asio::io_context& context, NetworkModel& network, Action onLoss)
{
    return std::shared_ptr<DelayLine>(
        new DelayLine(context, network, std::move(onLoss))); // NOLINT: private constructor
}

DelayLine::DelayLine(asio::io_context& context, NetworkModel& network, Action onLoss)
    : timer_(context)
    , network_(network)
    , onLoss_(std::move(onLoss))
{
}

DelayLine::~DelayLine() { clear(); }

void DelayLine::connect(Place from, Place to)
{
    from_ = std::move(from);
    to_ = std::move(to);
}

void DelayLine::push(Action deliver)
{
    const Duration latency = network_.latency(from_, to_);
    const bool isImmediate = items_.empty() && latency == Duration::zero() && !isDelivering_;
    if (isImmediate && !network_.isBlocked(from_, to_))
        return deliver();
    const TimePoint now = Clock::now();
    items_.push_back({ now, now + latency, std::move(deliver) });
    if (listener_ == 0)
        listener_ = network_.addListener([this] { deliverDue(); });
    if (items_.size() == 1 && !isDelivering_)
        startTimer();
}

void DelayLine::clear()
{
    items_.clear();
    timer_.cancel();
    if (listener_ != 0)
        network_.removeListener(listener_);
    listener_ = 0;
}

void DelayLine::startTimer()
{
    timer_.expires_at(items_.front().due);
    timer_.async_wait([line = weak_from_this()](std::error_code error) {
        const auto self = line.lock();
        if (!error && self)
            self->deliverDue();
    });
}

void DelayLine::deliverDue()
{
    if (isDelivering_)
        return;
    const auto keepAlive = shared_from_this();
    isDelivering_ = true;
    while (!items_.empty() && !network_.isBlocked(from_, to_)) {
        const TimePoint now = Clock::now();
        if (items_.front().due > now)
            break;
        if (now - items_.front().enteredAt > longestHold) {
            clear();
            isDelivering_ = false;
            return onLoss_();
        }
        const Action deliver = std::move(items_.front().deliver);
        items_.pop_front();
        deliver();
    }
    isDelivering_ = false;
    if (items_.empty())
        return clear();
    if (!network_.isBlocked(from_, to_))
        startTimer();
}

} // namespace almondlever::standin
