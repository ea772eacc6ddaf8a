#pragma once

#include "almondlever/common/Time.h"

#include <array>
#include <cstddef>

namespace almondlever {

/**
 * Adapts the number of concurrent statements at an endpoint, between 1 and its declared slots. Slow answers reduce it
 * gradually. Failures open a circuit breaker: the endpoint gets no statement, then one probe, then a limit that
 * doubles.
 *
 * Latency counts from the moment the statement is written to the endpoint's connection, so that time in the proxy's
 * queue never shrinks the limit. It is compared on a logarithmic scale with the usual latency of the same kind, so that
 * neither a long tail nor another mix of kinds looks like a slow endpoint. Not thread-safe.
 *
 * @see Scheduler::setSlots
 */
class ConcurrencyLimiter {
public:
    /** Kind of statement; each has its own baseline latency. */
    enum class Kind { Read, Write, Other };

    enum class State {
        /** Normal operation, up to the adapted limit. */
        Closed,
        /** No statements. */
        Open,
        /** One statement at a time, to test whether the endpoint has recovered. */
        Probing,
        /** A limit that doubles while statements succeed. */
        Returning,
    };

    explicit ConcurrencyLimiter(std::size_t declaredSlots);

    /** Number of statements that the endpoint may run concurrently; 0 while the circuit is open. */
    std::size_t slots(TimePoint now) const;
    State state(TimePoint now) const;
    /** Time until an open circuit admits a probe; zero in other states. */
    Duration untilProbe(TimePoint now) const;

    /** Records an answer and its latency. An error caused by the statement itself counts as an answer. */
    void addSuccess(Kind, Duration latency, TimePoint now);
    /** Records a failure of the endpoint: a lost connection, a time-out, or an answer that reports overload. */
    void addFailure(TimePoint now);
    /** Applies a change of the inventory. */
    void setDeclaredSlots(std::size_t);

private:
    /** Running mean of the logarithm of the latency in seconds. */
    struct Baseline {
        double logarithm = 0;
        std::size_t samples = 0;
    };

    void compareWithBaseline(Kind, Duration latency);
    void closeWindow(bool isSlow);
    void open(TimePoint now);

    std::size_t declared_;
    /** Fractional, so that decreases of a small limit accumulate. */
    double limit_;
    std::array<Baseline, 3> baselines_;
    double deviationSum_ = 0;
    std::size_t windowSamples_ = 0;

    State state_ = State::Closed;
    double recentFailures_ = 0;
    double recentResults_ = 0;
    std::size_t consecutiveFailures_ = 0;
    std::size_t returningSlots_ = 0;
    std::size_t returningSuccesses_ = 0;
    TimePoint openUntil_;
    Duration openTime_;
};

/** "closed", "open", "probing" or "returning". */
const char* toText(ConcurrencyLimiter::State);

} // namespace almondlever
