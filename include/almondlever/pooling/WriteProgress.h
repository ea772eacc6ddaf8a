#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <optional>

namespace almondlever {

/** Thresholds at which a primary is considered unable to replicate. */
struct WriteProgressSettings {
    /**
     * A primary that acknowledges no write for this long, although it answers other commands, cannot replicate. Three
     * times the shortest time-out of a route: shorter network faults end before a failover would help.
     */
    Milliseconds stallLimit { 3000 };
    /** Number of unanswered writes that indicate a stall; fewer may be lost answers. */
    std::size_t stallCount = 3;
};

/**
 * Tracks the writes of one group: the latest log position that is known to be acknowledged, and whether the primary
 * still acknowledges writes. The state belongs to one primary; noteNewPrimary() resets it.
 */
class WriteProgress {
public:
    explicit WriteProgress(const WriteProgressSettings& settings = {})
        : settings_(settings)
        , currentStallLimit_(settings.stallLimit)
    {
    }

    /** Records that a write was acknowledged at this position of the primary's log. */
    void noteAcknowledged(const LogPosition&);
    /** Records that a write to the primary was not answered within its time-out. */
    void noteUnanswered(TimePoint sentAt);
    /**
     * Records that a replica reported this position. Since the primary holds it too, the commit counts as acknowledged.
     */
    void noteReplicaPosition(const LogPosition&);
    /** Records that another endpoint became the primary, in a higher term. */
    void noteNewPrimary();

    /** True if at least stallCount writes were not answered since the last acknowledged one. */
    bool isFailing() const { return unanswered_ >= settings_.stallCount; }
    /** Time at which the first write of the current stall was sent; nullopt while there is none. */
    std::optional<TimePoint> stalledSince(TimePoint now) const;
    /** Newest commit that the primary itself has acknowledged to this daemon. */
    const LogPosition& answered() const { return answered_; }
    /** An endpoint whose log ends before this position lacks an acknowledged commit. */
    const LogPosition& acknowledged() const { return acknowledged_; }

private:
    WriteProgressSettings settings_;
    LogPosition acknowledged_;
    LogPosition answered_;
    std::optional<TimePoint> unansweredSince_;
    std::size_t unanswered_ = 0;
    Duration currentStallLimit_;
};

} // namespace almondlever
