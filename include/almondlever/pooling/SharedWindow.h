#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/**
 * Number of statements that this daemon may have running at an endpoint that it shares with other daemons.
 *
 * An endpoint serves its queue in order of arrival, whatever the rank. The window keeps that queue short, so that
 * statements wait in the daemons, which know the ranks: it shrinks while answers take longer than they do at rest, and
 * halves when the endpoint refuses a statement because its queue is full. Never below one, so that every daemon goes on
 * to learn. Not thread-safe.
 *
 * @see ConcurrencyLimiter, which judges an endpoint that only one daemon uses
 */
class SharedWindow {
public:
    /** Answers that take this many times the time at rest show a queue; one slot's worth of waiting is normal. */
    static constexpr double tolerance = 2.0;
    /** A refusal counts once in this time, since the refusals of one full queue come together. */
    static constexpr Milliseconds refusalInterval { 100 };

    /** Sets the connections that the daemon may use; the window is never larger. */
    void setMaximum(std::size_t);
    /** An answer came after this time, with so many statements running. */
    void noteAnswer(Duration latency, std::size_t running);
    /** The endpoint refused a statement because its queue is full. */
    void noteRefusal(TimePoint now);
    /** Statements that may run; at least one. */
    std::size_t size() const { return static_cast<std::size_t>(size_); }
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
};

} // namespace almondlever
