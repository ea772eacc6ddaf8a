#include "almondlever/forwarding/OwnerHealth.h"

#include <algorithm>

namespace almondlever {

void OwnerHealth::noteSent(TimePoint now)
{
    if (running_ == 0)
        quietSince_ = std::max(quietSince_, now);
    ++running_;
}

void OwnerHealth::noteEnded()
{
    if (running_ > 0)
        --running_;
}

void OwnerHealth::noteHeard(TimePoint now)
{
    quietSince_ = now;
    askedAt_.reset();
    isSilent_ = false;
    pause_ = Milliseconds(0);
}

void OwnerHealth::noteLost(TimePoint now)
{
    isSilent_ = true;
    askedAt_.reset();
    lengthenPause();
    askAgainAt_ = now + pause_;
}

bool OwnerHealth::isQuestionDue(TimePoint now) const
{
    if (askedAt_)
        return false;
    if (isSilent_)
        return now >= askAgainAt_;
    return running_ > 0 && now - quietSince_ >= settings_.questionAfter;
}

void OwnerHealth::noteAsked(TimePoint now) { askedAt_ = now; }

void OwnerHealth::forgiveSilence(TimePoint now)
{
    quietSince_ = now;
    if (askedAt_)
        askedAt_ = now;
}

bool OwnerHealth::becomesSilent(TimePoint now)
{
    if (!askedAt_ || now - *askedAt_ < settings_.answerLimit)
        return false;
    const bool wasUsable = isUsable();
    noteLost(now);
    return wasUsable;
}

void OwnerHealth::lengthenPause() { pause_ = std::clamp(pause_ * 2, settings_.firstPause, settings_.longestPause); }

} // namespace almondlever
