#include "almondlever/pooling/WriteWatch.h"

#include <algorithm>

namespace almondlever {

void WriteWatch::noteAcknowledged(const LogPosition& position)
{
    acknowledged_ = std::max(acknowledged_, position);
    unansweredSince_.reset();
    unanswered_ = 0;
    patience_ = settings_.stallLimit;
}

void WriteWatch::noteUnanswered(TimePoint sentAt)
{
    ++unanswered_;
    if (!unansweredSince_ || sentAt < *unansweredSince_)
        unansweredSince_ = sentAt;
}

void WriteWatch::noteHeldByReplica(const LogPosition& position) { acknowledged_ = std::max(acknowledged_, position); }

void WriteWatch::noteNewPrimary()
{
    // A change that does not end a stall must not be followed by another one at once.
    if (isFailing())
        patience_ *= 2;
    acknowledged_ = LogPosition();
    unansweredSince_.reset();
    unanswered_ = 0;
}

std::optional<TimePoint> WriteWatch::stalledSince(TimePoint now) const
{
    const bool isStalled = isFailing() && unansweredSince_ && now - *unansweredSince_ >= patience_;
    return isStalled ? unansweredSince_ : std::nullopt;
}

} // namespace almondlever
