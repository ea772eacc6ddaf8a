#pragma once

#include "almondlever/common/Time.h"

#include <array>
#include <cstddef>

namespace almondlever {

/**
 * Number of statements that an endpoint gets at once, between 1 and its declared slots. Slow answers shrink it step by
 * step. Failures open a circuit: the endpoint gets nothing, then one probe, then a share that doubles.
 *
 * Latency counts from the moment the statement is written to the endpoint's connection, so that time in the proxy's
 * queue never shrinks the limit. It is compared on a logarithmic scale with the usual latency of the same kind, so that
 * neither a long tail nor another mix of kinds looks like a slow endpoint. Not thread-safe.
 *
 * @see Scheduler::setSlots
 */
class ConcurrencyLimiter {
public:
    /** Kind of statement; kinds have different usual latencies. */
    enum class Kind { Read, Write, Other };

    enum class State {
        /** Normal work, up to the adapted limit. */
        Closed,
        /** No work. */
        Open,
        /** One statement at a time, to see whether the endpoint works again. */
        Probing,
        /** Work at a share that doubles while statements succeed. */
        Returning,
    };

    explicit ConcurrencyLimiter(std::size_t declaredSlots);

    /** Statements that the endpoint may run at once now; 0 while the circuit is open. */
    std::size_t slots(TimePoint now) const;
    State state(TimePoint now) const;
    /** Time until an open circuit lets a probe through; zero in other states. */
    Duration untilProbe(TimePoint now) const;

    /** An endpoint answered a statement after this latency. A statement's own error counts as an answer. */
    void addSuccess(Kind, Duration latency, TimePoint now);
    /** The endpoint did not answer: broken connection, time-out, or an answer that reports its own overload. */
    void addFailure(TimePoint now);
    /** Follows a change of the inventory. */
    void setDeclaredSlots(std::size_t);

private:
    /** Usual logarithm of the latency in seconds. */
    struct Baseline {
        double logarithm = 0;
        std::size_t samples = 0;
    };

    void compareWithBaseline(Kind, Duration latency);
    void closeWindow(bool isSlow);
    void open(TimePoint now);

    std::size_t declared_;
    /** Fractional, so that a decrease of a small limit still adds up. */
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
