#include "almondlever/front/StopSequence.h"

#include <algorithm>

namespace almondlever {

double StopSequence::shareToClose(TimePoint now) const
{
    if (!isStopping_)
        return 0;
    const std::chrono::duration<double> since = now - startedAt_ - settings_.balancerNoticeDelay;
    const std::chrono::duration<double> span = settings_.sessionCloseDuration;
    return std::clamp(since / span, 0.0, 1.0);
}

} // namespace almondlever
