#pragma once

#include "almondlever/common/Time.h"

namespace almondlever {

/** Times of a graceful shutdown, counted from the signal. */
struct StopSettings {
    /** The platform kills the process after this time. */
    Milliseconds gracePeriod { 6000 };
    /** Time until the load balancer notices that the daemon is not ready: two probes a second apart, and latency. */
    Milliseconds balancerNoticeDelay { 2300 };
    /** Idle sessions are closed gradually over this time, so that their callers do not all reconnect at once. */
    Milliseconds sessionCloseDuration { 1200 };
    /** The process exits at the latest this long before the end of the grace period. */
    Milliseconds exitMargin { 400 };
};

/** Schedules the steps of a graceful shutdown. Performs no I/O. */
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
    /** Returns the share of the idle sessions that must be closed by now, 0 to 1. */
    double shareToClose(TimePoint now) const;
    /** Open transactions are ended once about half of the grace period is over. */
    bool mustEndTransactions(TimePoint now) const
    {
        return isStopping_ && now - startedAt_ >= settings_.gracePeriod / 2 + settings_.exitMargin / 4;
    }
    /** Statements that still run or wait must be answered now, whatever their state. */
    bool mustAnswerStatements(TimePoint now) const
    {
        return isStopping_ && now - startedAt_ >= settings_.gracePeriod - 2 * settings_.exitMargin;
    }
    bool mustExit(TimePoint now) const
    {
        return isStopping_ && now - startedAt_ >= settings_.gracePeriod - settings_.exitMargin;
    }

private:
    StopSettings settings_;
    bool isStopping_ = false;
    TimePoint startedAt_;
};

} // namespace almondlever
