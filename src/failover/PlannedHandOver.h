#pragma once

#include "almondlever/failover/FailoverCoordinator.h"

#include <map>
#include <optional>

namespace almondlever {

/** Prepares a planned change: requests a pause of writes and tracks whether a replica has the whole log. */
class PlannedHandOver {
public:
    explicit PlannedHandOver(const FailoverSettings& settings)
        : settings_(settings)
    {
    }

    /** Requests a pause of writes so that `target`, a replica close to the primary, can catch up. */
    void prepare(const EndpointId& target, TimePoint now);
    /** Records that writes are paused and where the primary's log ends. */
    void onPaused(LogPosition logEnd);
    /** Gives up an attempt that timed out; returns true when writes were paused and must be resumed. */
    bool expire(TimePoint now);
    /** Ends the attempt without a retry delay, because a change started or the primary is no longer leaving. */
    void stop();

    bool isPreparing() const { return target_.has_value(); }
    bool isPaused() const { return pausedLogEnd_.has_value(); }
    bool mayPrepare(TimePoint now) const { return !isPreparing() && now >= retryNotBefore_; }
    bool isCaughtUp(const LogPosition& logEnd) const { return pausedLogEnd_ && logEnd >= *pausedLogEnd_; }
    const std::optional<EndpointId>& target() const { return target_; }

private:
    const FailoverSettings& settings_;
    std::optional<EndpointId> target_;
    std::optional<LogPosition> pausedLogEnd_;
    TimePoint startedAt_;
    TimePoint retryNotBefore_ = TimePoint::min();
};

} // namespace almondlever
