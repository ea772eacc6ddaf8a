#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <deque>
#include <optional>

namespace almondlever {

/**
 * Positions that a group's primary told while it led, each with the time of the question.
 *
 * Every commit that was acknowledged before the question is contained in the position of the answer, so a log that has
 * the position of a question asked at time T is no staler than T. Times must come from a clock that also counts while
 * the VM is suspended. Not thread-safe.
 */
class PositionHistory {
public:
    /** Samples closer together than this add nothing that a read could tell apart. */
    static constexpr Milliseconds spacing { 25 };
    /** Longest staleness that a route may allow and that is still answered from the history. */
    static constexpr Milliseconds span { 10000 };

    /** Adds the position that a leading primary told in answer to a question. */
    void add(TimePoint askedAt, const LogPosition&);
    /** Position of the oldest question asked at or after a time; nullopt when none was. */
    std::optional<LogPosition> oldestSince(TimePoint) const;
    /** Position of the newest question asked at or before a time; nullopt when none is remembered. */
    std::optional<LogPosition> newestUntil(TimePoint) const;
    /** Time of the newest question; nullopt before the first. */
    std::optional<TimePoint> newestQuestion() const;
    /** Forgets everything, for example when the group is gone. */
    void clear() { samples_.clear(); }

private:
    struct Sample {
        TimePoint askedAt;
        LogPosition position;
    };

    /** In the order of askedAt. */
    std::deque<Sample> samples_;
};

} // namespace almondlever
