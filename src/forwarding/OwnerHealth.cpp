#include "almondlever/forwarding/OwnerHealth.h"

#include <algorithm>

namespace almondlever {

void OwnerHealth::recordSent(TimePoint now)
{
    if (running_ == 0)
        lastActivityAt_ = std::max(lastActivityAt_, now);
    ++running_;
}

void OwnerHealth::recordEnded()
{
    if (running_ > 0)
        --running_;
}

void OwnerHealth::recordMessage(TimePoint now)
{
    lastActivityAt_ = now;
    probedAt_.reset();
    isUnresponsive_ = false;
    probeDelay_ = Milliseconds(0);
}

void OwnerHealth::recordFailure(TimePoint now)
{
    isUnresponsive_ = true;
    probedAt_.reset();
    increaseProbeDelay();
    nextProbeAt_ = now + probeDelay_;
}

bool OwnerHealth::isProbeDue(TimePoint now) const
{
    if (probedAt_)
        return false;
    if (isUnresponsive_)
        return now >= nextProbeAt_;
    return running_ > 0 && now - lastActivityAt_ >= settings_.probeAfter;
}

void OwnerHealth::recordProbe(TimePoint now) { probedAt_ = now; }

void OwnerHealth::restartTimeouts(TimePoint now)
{
    lastActivityAt_ = now;
    if (probedAt_)
        probedAt_ = now;
}

bool OwnerHealth::checkProbeTimeout(TimePoint now)
{
    if (!probedAt_ || now - *probedAt_ < settings_.probeTimeout)
        return false;
    const bool wasUsable = isUsable();
    recordFailure(now);
    return wasUsable;
}

void OwnerHealth::increaseProbeDelay()
{
    probeDelay_ = std::clamp(probeDelay_ * 2, settings_.initialProbeDelay, settings_.maximumProbeDelay);
}

} // namespace almondlever
