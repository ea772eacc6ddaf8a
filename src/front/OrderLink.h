#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/failover/GroupPromotion.h"
#include "almondlever/pooling/EndpointLink.h"

#include <deque>
#include <functional>
#include <memory>

namespace almondlever {

/** "query_status", "pause", "resume" or "promote". */
const char* toText(GroupPromotion::Order::Kind);

/** A connection of its own for orders about an endpoint's replication; statements never wait behind them. */
class OrderLink final : public EndpointLinkObserver, public std::enable_shared_from_this<OrderLink> {
public:
    /** The status, or nullopt with the reason. */
    using Callback = std::function<void(
        const std::optional<EndpointReplicationStatus>&, const std::string& detail, TimePoint now)>;

    explicit OrderLink(TimerService& timers)
        : timers_(timers)
    {
    }
    ~OrderLink() override;

    void open(EndpointConnector&, const EndpointEntry&);
    void send(const EndpointCommand&, Duration timeout, Callback);
    bool isClosed() const { return isClosed_; }

    void onLinkOpened(const Reply&, TimePoint now) override;
    void onLinkReply(Reply&&, TimePoint now) override;
    void onLinkClosed(const std::string& reason, std::optional<StatementError>, TimePoint now) override;

private:
    struct Sent {
        EndpointCommand command;
        Callback callback;
        std::uint64_t number = 0;
    };

    TimerService& timers_;
    std::shared_ptr<EndpointLink> link_;
    std::deque<Sent> sent_;
    std::uint64_t lastNumber_ = 0;
    bool isOpen_ = false;
    bool isClosed_ = false;
};

} // namespace almondlever
