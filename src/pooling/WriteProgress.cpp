#include "almondlever/pooling/WriteProgress.h"

#include <algorithm>

namespace almondlever {

void WriteProgress::noteAcknowledged(const LogPosition& position)
{
    acknowledged_ = std::max(acknowledged_, position);
    answered_ = std::max(answered_, position);
    unansweredSince_.reset();
    unanswered_ = 0;
    currentStallLimit_ = settings_.stallLimit;
}

void WriteProgress::noteUnanswered(TimePoint sentAt)
{
    ++unanswered_;
    if (!unansweredSince_ || sentAt < *unansweredSince_)
        unansweredSince_ = sentAt;
}

void WriteProgress::noteReplicaPosition(const LogPosition& position)
{
    acknowledged_ = std::max(acknowledged_, position);
}

void WriteProgress::noteNewPrimary()
{
    // A failover that did not end the stall must not be followed by another one at once.
    if (isFailing())
        currentStallLimit_ *= 2;
    acknowledged_ = LogPosition();
    answered_ = LogPosition();
    unansweredSince_.reset();
    unanswered_ = 0;
}

std::optional<TimePoint> WriteProgress::stalledSince(TimePoint now) const
{
    const bool isStalled = isFailing() && unansweredSince_ && now - *unansweredSince_ >= currentStallLimit_;
    return isStalled ? unansweredSince_ : std::nullopt;
}

} // namespace almondlever
