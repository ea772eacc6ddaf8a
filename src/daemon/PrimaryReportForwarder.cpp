#include "PrimaryReportForwarder.h"

#include "almondlever/control/ControlLoop.h"

namespace almondlever {

namespace {

    /** A fraction of the probe interval: short enough to replace probes, long enough to cost almost nothing. */
    constexpr Milliseconds reportInterval { 50 };

} // namespace

PrimaryReportForwarder::PrimaryReportForwarder(TimerService& timers, PostToControl post)
    : timers_(timers)
    , post_(std::move(post))
{
}

bool PrimaryReportForwarder::isDue(
    std::unordered_map<EndpointId, TimePoint>& last, const EndpointId& endpoint, TimePoint now)
{
    TimePoint& at = last[endpoint];
    if (now < at + reportInterval)
        return false;
    at = now;
    return true;
}

void PrimaryReportForwarder::primaryAnswered(const DatabaseId& database, const EndpointId& endpoint, Term term)
{
    if (!isDue(answeredAt_, endpoint, timers_.now()))
        return;
    post_([database, endpoint, term](
              ControlLoop& control, TimePoint now) { control.onPrimaryAnswered(database, endpoint, term, now); });
}

void PrimaryReportForwarder::primaryFailed(const DatabaseId& database, const EndpointId& endpoint)
{
    if (!isDue(failedAt_, endpoint, timers_.now()))
        return;
    post_([database, endpoint](
              ControlLoop& control, TimePoint now) { control.onPrimaryFailed(database, endpoint, now); });
}

void PrimaryReportForwarder::writesPaused(const DatabaseId& database, const EndpointId& endpoint, LogPosition logEnd)
{
    if (!isDue(pausedAt_, endpoint, timers_.now()))
        return;
    post_([database, logEnd](ControlLoop& control, TimePoint now) { control.onWritesPaused(database, logEnd, now); });
}

} // namespace almondlever
