#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/**
 * Number of statements that this daemon may have running at an endpoint that it shares with other daemons.
 *
 * An endpoint serves its queue in order of arrival, whatever the rank. The window keeps that queue short, so that
 * statements wait in the daemons, which know the ranks: it shrinks while answers take longer than they do at rest, and
 * halves when the endpoint refuses a statement because its queue is full. Below one statement the daemon pauses between
 * statements, since many daemons with one statement each can still be too many for a few slots. Not thread-safe.
 *
 * @see ConcurrencyLimiter, which judges an endpoint that only one daemon uses
 */
class SharedWindow {
public:
    /** Answers that take this many times the time at rest show a queue. */
    static constexpr double tolerance = 2.0;
    /** Waiting of this length shows no queue yet: about one statement, also at an endpoint without distance. */
    static constexpr Milliseconds toleratedWait { 40 };
    /** Smallest window: one statement, then a pause of three times its duration. */
    static constexpr double minimum = 0.25;
    /** A refusal counts once in this time, since the refusals of one full queue come together. */
    static constexpr Milliseconds refusalInterval { 100 };

    /** Sets the connections that the daemon may use; the window is never larger. */
    void setMaximum(std::size_t);
    /** An answer came after this time, with so many statements running. */
    void noteAnswer(Duration latency, std::size_t running, TimePoint now);
    /** The endpoint refused a statement because its queue is full. */
    void noteRefusal(TimePoint now);
    /** True when a statement may start while so many run; the most urgent rank may exceed the window by one. */
    bool allows(std::size_t running, bool isUrgent, TimePoint now) const;
    /** Statements that may run on average; at least the minimum. */
    double size() const { return size_; }
    /** Smoothed time to an answer; the assumption of the constructor before the first one. */
    Duration latency() const;

private:
    double maximum_ = 1;
    double size_ = 1;
    bool isMeasured_ = false;
    /** Seconds. The first value lies between an endpoint nearby and one in another region. */
    double smoothed_ = 0.03;
    /** Seconds; the smoothed time while the endpoint was least busy. */
    double atRest_ = 0;
    TimePoint refusedAt_ {};
    TimePoint pausedUntil_ {};
};

} // namespace almondlever
