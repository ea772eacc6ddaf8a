#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/pooling/EndpointLink.h"

#include <functional>
#include <memory>

namespace almondlever {

/** What one attempt to connect shows of an endpoint that is not listed. */
enum class EndpointPresence {
    /** It accepted the connection under its id, or has too many of them. */
    Runs,
    /** Its address refused the connection, or belongs to another endpoint. */
    Ended,
    /** Nothing answered: it may be cut off from this daemon only. */
    Unknown,
};

/** Connects once to an endpoint and closes the connection again. */
class EndpointProbe final : public EndpointLinkObserver, public std::enable_shared_from_this<EndpointProbe> {
public:
    using Callback = std::function<void(EndpointPresence, TimePoint now)>;

    /** The callback is invoked once, after the timeout at the latest, and never from inside this function. */
    static void start(EndpointConnector&, TimerService&, const EndpointEntry&, Milliseconds timeout, Callback);

    explicit EndpointProbe(Callback callback);
    ~EndpointProbe() override = default;
    EndpointProbe(const EndpointProbe&) = delete;
    EndpointProbe& operator=(const EndpointProbe&) = delete;

private:
    void onLinkOpened(const Reply&, TimePoint now) override;
    void onLinkReply(Reply&&, TimePoint) override { }
    void onLinkClosed(const std::string& reason, std::optional<StatementError> refusal, TimePoint now) override;
    void finish(EndpointPresence, TimePoint now);

    Callback callback_;
    std::shared_ptr<EndpointLink> link_;
};

} // namespace almondlever
