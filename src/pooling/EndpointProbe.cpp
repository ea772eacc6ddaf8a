#include "almondlever/pooling/EndpointProbe.h"

#include <string_view>

namespace almondlever {

namespace {

    /** In the operating system's text for a connection that no process accepts. */
    constexpr std::string_view refusedText = "refused";

} // namespace

EndpointProbe::EndpointProbe(Callback callback)
    : callback_(std::move(callback))
{
}

void EndpointProbe::start(EndpointConnector& connector, TimerService& timers, const EndpointEntry& entry,
    Milliseconds timeout, Callback callback)
{
    const auto probe = std::make_shared<EndpointProbe>(std::move(callback));
    probe->link_ = connector.connect(entry, CustomerId(), probe);
    // The timer owns the probe until then.
    timers.callAfter(timeout, [probe](TimePoint now) { probe->finish(EndpointPresence::Unknown, now); });
}

void EndpointProbe::onLinkOpened(const Reply&, TimePoint now) { finish(EndpointPresence::Runs, now); }

void EndpointProbe::onLinkClosed(const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
{
    if (refusal == StatementError::TooManyConnections)
        return finish(EndpointPresence::Runs, now);
    const bool isEnded = refusal == StatementError::Misrouted || reason.find(refusedText) != std::string::npos;
    finish(isEnded ? EndpointPresence::Ended : EndpointPresence::Unknown, now);
}

void EndpointProbe::finish(EndpointPresence presence, TimePoint now)
{
    const std::shared_ptr<EndpointLink> link = std::move(link_);
    if (link)
        link->close();
    const Callback callback = std::move(callback_);
    callback_ = nullptr;
    if (callback)
        callback(presence, now);
}

} // namespace almondlever
