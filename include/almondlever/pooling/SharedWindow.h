#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/**
 * Limits the statements that this daemon runs concurrently at an endpoint that it shares with other daemons.
 *
 * An endpoint serves its queue in order of arrival, regardless of rank. The window keeps that queue short, so that
 * statements wait in the daemons, which schedule them by rank. It shrinks while latency exceeds the unloaded latency,
 * and halves when the endpoint refuses a statement because its queue is full. When the window is smaller than one
 * statement, the daemon pauses between statements, because one statement from each of many daemons can still exceed a
 * few slots. Not thread-safe.
 *
 * @see ConcurrencyLimiter for an endpoint that only one daemon uses
 */
class SharedWindow {
public:
    /** A latency of this multiple of the unloaded latency indicates a queue. */
    static constexpr double latencyTolerance = 2.0;
    /**
     * Latency above the unloaded latency that does not indicate a queue: about the duration of one statement. Matters
     * for nearby endpoints, whose unloaded latency is small.
     */
    static constexpr Milliseconds toleratedQueueing { 40 };
    /** Smallest window: one statement, followed by a pause of three times its duration. */
    static constexpr double minimum = 0.25;
    /** Refusals within this interval count once, because a full queue refuses several statements together. */
    static constexpr Milliseconds refusalInterval { 100 };

    /** Sets the number of connections that the daemon may use, which bounds the window. */
    void setMaximum(std::size_t);
    /** Records an answer with its latency and the number of statements that were running. */
    void noteAnswer(Duration latency, std::size_t running, TimePoint now);
    /** Records that the endpoint refused a statement because its queue is full. */
    void noteRefusal(TimePoint now);
    /** True if another statement may start; the most urgent rank may exceed the window by one. */
    bool allows(std::size_t running, bool isUrgent, TimePoint now) const;
    /** Average number of statements that may run; at least the minimum. */
    double size() const { return size_; }
    /** Smoothed latency; the initial estimate before the first answer. */
    Duration latency() const;

private:
    double maximum_ = 1;
    double size_ = 1;
    bool isMeasured_ = false;
    /** Seconds. The initial value lies between the latencies of a nearby endpoint and one in another region. */
    double smoothedLatency_ = 0.03;
    /** Seconds; the smoothed latency while the endpoint was least loaded. */
    double unloadedLatency_ = 0;
    TimePoint refusedAt_ {};
    TimePoint pausedUntil_ {};
};

} // namespace almondlever
