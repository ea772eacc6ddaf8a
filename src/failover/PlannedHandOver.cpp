#include "PlannedHandOver.h"

namespace almondlever {

void PlannedHandOver::prepare(const EndpointId& target, TimePoint now)
{
    target_ = target;
    pausedLogEnd_.reset();
    startedAt_ = now;
}

void PlannedHandOver::onPaused(LogPosition logEnd)
{
    if (target_)
        pausedLogEnd_ = logEnd;
}

bool PlannedHandOver::expire(TimePoint now)
{
    if (!target_ || now - startedAt_ < settings_.handOverTimeout)
        return false;
    const bool wasPaused = isPaused();
    stop();
    retryNotBefore_ = now + settings_.handOverRetryDelay;
    return wasPaused;
}

void PlannedHandOver::stop()
{
    target_.reset();
    pausedLogEnd_.reset();
}

} // namespace almondlever
