#pragma once

#include "NetworkModel.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <memory>

namespace almondlever::standin {

/** Data held by a partition for longer than this is lost when the partition heals. */
inline constexpr std::chrono::seconds longestHold { 30 };

/**
 * One direction of an emulated path: delivers in order, each item after the latency between two places, and holds
 * everything while they are partitioned.
 */
class DelayLine : public std::enable_shared_from_this<DelayLine> {
public:
    using Action = std::function<void()>;

    /** Called once when held data is too old to be delivered; everything queued is dropped with it. */
    static std::shared_ptr<DelayLine> create(asio::io_context&, NetworkModel&, Action onLoss);
    ~DelayLine();
    DelayLine(const DelayLine&) = delete;
    DelayLine& operator=(const DelayLine&) = delete;

    /** Sets the two ends; items queued before keep their due time. */
    void connect(Place from, Place to);
    /** Queues an item, or runs it at once when nothing delays it. */
    void push(Action deliver);
    /** Drops everything without a call. */
    void clear();

private:
    struct Item {
        TimePoint enteredAt;
        TimePoint due;
        Action deliver;
    };

    DelayLine(asio::io_context&, NetworkModel&, Action onLoss);
    void deliverDue();
    void startTimer();

    asio::steady_timer timer_;
    NetworkModel& network_;
    Action onLoss_;
    Place from_;
    Place to_;
    std::deque<Item> items_;
    std::size_t listener_ = 0;
    bool isDelivering_ = false;
};

} // namespace almondlever::standin
