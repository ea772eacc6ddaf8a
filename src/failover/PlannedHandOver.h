#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <map>
#include <optional>

namespace almondlever {

/** Prepares a planned change: asks for a pause of writes and tells when a staying server has the whole log. */
class PlannedHandOver {
public:
    explicit PlannedHandOver(const FailoverSettings& settings)
        : settings_(settings)
    {
    }

    /** Asks for a pause in favour of a staying server that is close to the primary. */
    void prepare(const EndpointId& target, TimePoint now);
    /** Writes are paused and the primary's log ends here. */
    void onPaused(LogPosition logEnd);
    /** Gives up an attempt that lasted too long; returns true when writes are to be resumed after a pause. */
    bool expire(TimePoint now);
    /** Ends the attempt without a rest, since a change started or the primary is no longer leaving. */
    void stop();

    bool isPreparing() const { return target_.has_value(); }
    bool isPaused() const { return pausedAt_.has_value(); }
    bool mayPrepare(TimePoint now) const { return !isPreparing() && now >= restsUntil_; }
    bool isCaughtUp(const LogPosition& logEnd) const { return pausedAt_ && logEnd >= *pausedAt_; }
    const std::optional<EndpointId>& target() const { return target_; }

private:
    const FailoverSettings& settings_;
    std::optional<EndpointId> target_;
    std::optional<LogPosition> pausedAt_;
    TimePoint startedAt_;
    TimePoint restsUntil_ = TimePoint::min();
};

} // namespace almondlever
