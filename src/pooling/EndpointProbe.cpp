#include "almondlever/pooling/EndpointProbe.h"

namespace almondlever {

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
    timers.callAfter(timeout, [probe](TimePoint now) { probe->finish(EndpointPresence::NotFound, now); });
}

void EndpointProbe::onLinkOpened(const Reply&, TimePoint now) { finish(EndpointPresence::Runs, now); }

void EndpointProbe::onLinkClosed(const std::string&, std::optional<StatementError> refusal, TimePoint now)
{
    const bool hasTooMany = refusal == StatementError::TooManyConnections;
    finish(hasTooMany ? EndpointPresence::Runs : EndpointPresence::NotFound, now);
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
