#include "almondlever/consistency/PositionHistory.h"

#include <algorithm>

namespace almondlever {

void PositionHistory::add(TimePoint askedAt, const LogPosition& position)
{
    while (!samples_.empty() && samples_.front().askedAt + span < askedAt)
        samples_.pop_front();
    const auto isEarlier = [](const Sample& sample, TimePoint time) { return sample.askedAt < time; };
    const auto next = std::lower_bound(samples_.begin(), samples_.end(), askedAt, isEarlier);
    // The newest sample may stand close to the one before it, else a steady stream would never add any.
    const bool hasCloseEarlier = next != samples_.begin() && std::prev(next) != samples_.begin()
        && askedAt - std::prev(next, 2)->askedAt < spacing;
    if (next == samples_.end() && hasCloseEarlier)
        samples_.pop_back();
    else if (next != samples_.end())
        return;
    samples_.push_back({ askedAt, position });
}

std::optional<LogPosition> PositionHistory::oldestSince(TimePoint time) const
{
    const auto isEarlier = [](const Sample& sample, TimePoint limit) { return sample.askedAt < limit; };
    const auto found = std::lower_bound(samples_.begin(), samples_.end(), time, isEarlier);
    if (found == samples_.end())
        return std::nullopt;
    return found->position;
}

std::optional<LogPosition> PositionHistory::newestUntil(TimePoint time) const
{
    for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
        if (sample->askedAt <= time)
            return sample->position;
    }
    return std::nullopt;
}

std::optional<TimePoint> PositionHistory::newestQuestion() const
{
    if (samples_.empty())
        return std::nullopt;
    return samples_.back().askedAt;
}

} // namespace almondlever
