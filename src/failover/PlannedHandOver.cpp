#include "PlannedHandOver.h"

namespace almondlever {

void PlannedHandOver::prepare(const EndpointId& target, TimePoint now)
{
    target_ = target;
    pausedAt_.reset();
    startedAt_ = now;
}

void PlannedHandOver::onPaused(LogPosition logEnd)
{
    if (target_)
        pausedAt_ = logEnd;
}

bool PlannedHandOver::expire(TimePoint now)
{
    if (!target_ || now - startedAt_ < settings_.handOverPatience)
        return false;
    const bool wasPaused = isPaused();
    stop();
    restsUntil_ = now + settings_.handOverRetry;
    return wasPaused;
}

void PlannedHandOver::stop()
{
    target_.reset();
    pausedAt_.reset();
}

} // namespace almondlever
