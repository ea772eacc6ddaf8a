#include "EvidenceForwarder.h"

#include "almondlever/control/ControlLoop.h"

namespace almondlever {

namespace {

    /** A fraction of the probe interval: often enough to spare probes, seldom enough to cost nothing. */
    constexpr Milliseconds evidenceInterval { 50 };

} // namespace

EvidenceForwarder::EvidenceForwarder(TimerService& timers, PostToControl post)
    : timers_(timers)
    , post_(std::move(post))
{
}

bool EvidenceForwarder::isDue(
    std::unordered_map<EndpointId, TimePoint>& last, const EndpointId& endpoint, TimePoint now)
{
    TimePoint& at = last[endpoint];
    if (now < at + evidenceInterval)
        return false;
    at = now;
    return true;
}

void EvidenceForwarder::primaryAnswered(const DatabaseId& database, const EndpointId& endpoint, Term term)
{
    if (!isDue(answeredAt_, endpoint, timers_.now()))
        return;
    post_([database, endpoint, term](
              ControlLoop& control, TimePoint now) { control.onPrimaryAnswered(database, endpoint, term, now); });
}

void EvidenceForwarder::primaryFailed(const DatabaseId& database, const EndpointId& endpoint)
{
    if (!isDue(failedAt_, endpoint, timers_.now()))
        return;
    post_([database, endpoint](
              ControlLoop& control, TimePoint now) { control.onPrimaryFailed(database, endpoint, now); });
}

void EvidenceForwarder::writesPaused(const DatabaseId& database, const EndpointId& endpoint, LogPosition logEnd)
{
    if (!isDue(pausedAt_, endpoint, timers_.now()))
        return;
    post_([database, logEnd](ControlLoop& control, TimePoint now) { control.onWritesPaused(database, logEnd, now); });
}

} // namespace almondlever
