#pragma once

#include "almondlever/common/Time.h"

namespace almondlever {

/** Times of a graceful stop, counted from the signal. */
struct StopSettings {
    /** The platform ends the process after this. */
    Milliseconds grace { 6000 };
    /** The balancer has noticed that the daemon is not ready: two questions a second apart, and their way. */
    Milliseconds noticed { 2300 };
    /** Sessions at rest are closed one after the other over this time, so that their callers do not return at once. */
    Milliseconds closingSpan { 1200 };
    /** Time that is left before the end of the grace period when the process exits at the latest. */
    Milliseconds reserve { 400 };
};

/** What a stopping daemon does when. Does no input or output. */
class StopSequence {
public:
    explicit StopSequence(const StopSettings& settings)
        : settings_(settings)
    {
    }

    void begin(TimePoint now)
    {
        if (isStopping_)
            return;
        isStopping_ = true;
        startedAt_ = now;
    }
    bool isStopping() const { return isStopping_; }
    /** Share of the sessions at rest that must be closed by now, 0 to 1. */
    double shareToClose(TimePoint now) const;
    /** Open transactions have had the first half of the grace period. */
    bool endsTransactions(TimePoint now) const
    {
        return isStopping_ && now - startedAt_ >= settings_.grace / 2 + settings_.reserve / 4;
    }
    /** Statements that still run or wait must be answered now, whatever their state. */
    bool mustAnswer(TimePoint now) const
    {
        return isStopping_ && now - startedAt_ >= settings_.grace - 2 * settings_.reserve;
    }
    bool mustExit(TimePoint now) const
    {
        return isStopping_ && now - startedAt_ >= settings_.grace - settings_.reserve;
    }

private:
    StopSettings settings_;
    bool isStopping_ = false;
    TimePoint startedAt_;
};

} // namespace almondlever
