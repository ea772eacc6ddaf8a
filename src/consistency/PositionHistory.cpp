#include "almondlever/consistency/PositionHistory.h"

#include <algorithm>

namespace almondlever {

void PositionHistory::add(TimePoint requestedAt, const LogPosition& position)
{
    while (!samples_.empty() && samples_.front().requestedAt + span < requestedAt)
        samples_.pop_front();
    const auto isEarlier = [](const Sample& sample, TimePoint time) { return sample.requestedAt < time; };
    const auto next = std::lower_bound(samples_.begin(), samples_.end(), requestedAt, isEarlier);
    // The newest sample may be closer than the spacing to the one before it and is then replaced by the next. Otherwise
    // a dense stream of samples would never add any.
    const bool hasCloseEarlier = next != samples_.begin() && std::prev(next) != samples_.begin()
        && requestedAt - std::prev(next, 2)->requestedAt < spacing;
    if (next == samples_.end() && hasCloseEarlier)
        samples_.pop_back();
    else if (next != samples_.end())
        return;
    samples_.push_back({ requestedAt, position });
}

std::optional<LogPosition> PositionHistory::oldestSince(TimePoint time) const
{
    const auto isEarlier = [](const Sample& sample, TimePoint limit) { return sample.requestedAt < limit; };
    const auto found = std::lower_bound(samples_.begin(), samples_.end(), time, isEarlier);
    if (found == samples_.end())
        return std::nullopt;
    return found->position;
}

std::optional<LogPosition> PositionHistory::newestUntil(TimePoint time) const
{
    for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
        if (sample->requestedAt <= time)
            return sample->position;
    }
    return std::nullopt;
}

std::optional<TimePoint> PositionHistory::newestRequestTime() const
{
    if (samples_.empty())
        return std::nullopt;
    return samples_.back().requestedAt;
}

} // namespace almondlever
