#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <deque>
#include <optional>

namespace almondlever {

/**
 * Log positions that a group's primary reported while it led, each with the time at which the request was sent.
 *
 * A reported position includes every commit that was acknowledged before its request was sent, so a log that contains
 * the position for a request sent at time T is no staler than T. Times must come from a clock that also counts while
 * the VM is suspended. Not thread-safe.
 */
class PositionHistory {
public:
    /** Minimum time between two samples, except the newest. Closer samples make no difference to a read. */
    static constexpr Milliseconds spacing { 25 };
    /** Maximum staleness of a route that can be served from the history. Older samples are dropped. */
    static constexpr Milliseconds span { 10000 };

    /** Adds the position that a leading primary reported in answer to a request sent at the given time. */
    void add(TimePoint requestedAt, const LogPosition&);
    /** Position for the oldest request sent at or after a time; nullopt if there is none. */
    std::optional<LogPosition> oldestSince(TimePoint) const;
    /** Position for the newest request sent at or before a time; nullopt if none is kept. */
    std::optional<LogPosition> newestUntil(TimePoint) const;
    /** Time of the newest request; nullopt before the first. */
    std::optional<TimePoint> newestRequestTime() const;
    /** Drops all samples, for example when the group has been removed. */
    void clear() { samples_.clear(); }

private:
    struct Sample {
        TimePoint requestedAt;
        LogPosition position;
    };

    /** Sorted by requestedAt. */
    std::deque<Sample> samples_;
};

} // namespace almondlever
