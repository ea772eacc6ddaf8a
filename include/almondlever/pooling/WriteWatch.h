#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <optional>

namespace almondlever {

/** When a primary counts as unable to replicate. */
struct WriteWatchSettings {
    /**
     * A primary that acknowledged no write for this long, though it answers else, cannot replicate. Three time-outs of
     * the shortest route: shorter faults of links are over before a change of the primary would help.
     */
    Milliseconds stallLimit { 3000 };
    /** Writes without an answer that make a stall; fewer may be lost answers. */
    std::size_t stallCount = 3;
};

/**
 * What the answers to the writes of one group show: how far the log certainly was acknowledged, and whether writes
 * still come through. Belongs to one primary; noteNewPrimary() begins anew.
 */
class WriteWatch {
public:
    explicit WriteWatch(const WriteWatchSettings& settings = {})
        : settings_(settings)
        , patience_(settings.stallLimit)
    {
    }

    /** A write was acknowledged at this position of the primary's log. */
    void noteAcknowledged(const LogPosition&);
    /** A write that was sent to the primary has no answer within its time-out. */
    void noteUnanswered(TimePoint sentAt);
    /** A replica said that it holds this position; with the primary's copy, the commit counts as acknowledged. */
    void noteHeldByReplica(const LogPosition&);
    /** Another endpoint leads from now on, in a term above the former one. */
    void noteNewPrimary();

    /** Several writes had no answer since the last one that was acknowledged. */
    bool isFailing() const { return unanswered_ >= settings_.stallCount; }
    /** When the first write of a lasting stall was sent; nullopt while there is none. */
    std::optional<TimePoint> stalledSince(TimePoint now) const;
    /** No endpoint whose log ends below this holds every acknowledged commit. */
    const LogPosition& acknowledged() const { return acknowledged_; }

private:
    WriteWatchSettings settings_;
    LogPosition acknowledged_;
    std::optional<TimePoint> unansweredSince_;
    std::size_t unanswered_ = 0;
    Duration patience_;
};

} // namespace almondlever
