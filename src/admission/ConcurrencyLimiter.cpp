#include "almondlever/admission/ConcurrencyLimiter.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    /** Samples between two adjustments of the limit. */
    constexpr std::size_t windowSize = 32;
    /** Minimum number of samples to detect a slow endpoint; the bound scales with sqrt(windowSize / samples). */
    constexpr std::size_t leastSamples = 8;
    /** An endpoint is slow when its latency is twice the usual one. At 32 samples of a lognormal distribution with
     * sigma 1 the mean logarithm deviates by 0.18, so chance alone reaches log 2 about once in 20,000 windows. */
    const double slowLogarithm = std::log(2.0);
    /** Share of the limit that remains after a slow window. */
    constexpr double decrease = 0.75;
    /** Samples over which the usual latency is averaged; eight windows, so that the limit reacts before it drifts up.
     */
    constexpr std::size_t baselineSamples = 256;
    /** Consecutive failures that open the circuit. */
    constexpr std::size_t consecutiveFailuresToOpen = 5;
    /** Share of failures among recent results that opens the circuit, and the minimum number of results for it. */
    constexpr double failureShareToOpen = 0.5;
    constexpr double resultsToOpen = 10;
    /** Decay of earlier results with each new one; about 20 results count. */
    constexpr double resultDecay = 0.95;
    constexpr Duration firstOpenTime = std::chrono::milliseconds(500);
    /** Bounds the time until the recovery of an endpoint is detected. */
    constexpr Duration longestOpenTime = std::chrono::seconds(8);
    constexpr double leastLatencySeconds = 1e-6;

    std::size_t atLeastOne(std::size_t slots) { return std::max<std::size_t>(slots, 1); }

} // namespace

ConcurrencyLimiter::ConcurrencyLimiter(std::size_t declaredSlots)
    : declared_(atLeastOne(declaredSlots))
    , limit_(static_cast<double>(declared_))
    , openTime_(firstOpenTime)
{
}

std::size_t ConcurrencyLimiter::slots(TimePoint now) const
{
    const std::size_t adapted = std::clamp<std::size_t>(static_cast<std::size_t>(limit_), 1, declared_);
    switch (state(now)) {
    case State::Open:
        return 0;
    case State::Probing:
        return 1;
    case State::Returning:
        return std::min(returningSlots_, adapted);
    case State::Closed:
        break;
    }
    return adapted;
}

ConcurrencyLimiter::State ConcurrencyLimiter::state(TimePoint now) const
{
    return state_ == State::Open && now >= openUntil_ ? State::Probing : state_;
}

Duration ConcurrencyLimiter::untilProbe(TimePoint now) const
{
    return state(now) == State::Open ? openUntil_ - now : Duration(0);
}

void ConcurrencyLimiter::addSuccess(Kind kind, Duration latency, TimePoint now)
{
    const State current = state(now);
    // An answer to a statement sent before the circuit opened does not reflect the endpoint's current state.
    if (current == State::Open)
        return;
    consecutiveFailures_ = 0;
    recentFailures_ *= resultDecay;
    recentResults_ = recentResults_ * resultDecay + 1;
    compareWithBaseline(kind, latency);
    if (current == State::Closed)
        return;
    if (current == State::Probing) {
        state_ = State::Returning;
        returningSlots_ = 1;
        returningSuccesses_ = 0;
    }
    if (++returningSuccesses_ < 2 * returningSlots_)
        return;
    returningSuccesses_ = 0;
    returningSlots_ *= 2;
    if (returningSlots_ < declared_)
        return;
    state_ = State::Closed;
    openTime_ = firstOpenTime;
}

void ConcurrencyLimiter::addFailure(TimePoint now)
{
    const State current = state(now);
    if (current == State::Open)
        return;
    ++consecutiveFailures_;
    recentFailures_ = recentFailures_ * resultDecay + 1;
    recentResults_ = recentResults_ * resultDecay + 1;
    const bool isMostlyFailing
        = recentResults_ >= resultsToOpen && recentFailures_ >= failureShareToOpen * recentResults_;
    if (current != State::Closed || consecutiveFailures_ >= consecutiveFailuresToOpen || isMostlyFailing)
        open(now);
}

void ConcurrencyLimiter::setDeclaredSlots(std::size_t slots)
{
    const bool isFull = static_cast<std::size_t>(limit_) >= declared_;
    declared_ = atLeastOne(slots);
    limit_ = isFull ? static_cast<double>(declared_) : std::min(limit_, static_cast<double>(declared_));
}

void ConcurrencyLimiter::compareWithBaseline(Kind kind, Duration latency)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    const double logarithm = std::log(std::max(seconds, leastLatencySeconds));
    Baseline& baseline = baselines_[static_cast<std::size_t>(kind)];
    const double deviation = logarithm - baseline.logarithm;
    baseline.samples = std::min(baseline.samples + 1, baselineSamples);
    baseline.logarithm += deviation / static_cast<double>(baseline.samples);
    // The baseline of a kind is not reliable before a full window of samples.
    if (baseline.samples < windowSize)
        return;
    deviationSum_ += deviation;
    ++windowSamples_;
    if (windowSamples_ < leastSamples)
        return;
    const double samples = static_cast<double>(windowSamples_);
    const double bound = slowLogarithm * std::sqrt(static_cast<double>(windowSize) / samples);
    if (deviationSum_ / samples > bound)
        closeWindow(true);
    else if (windowSamples_ >= windowSize)
        closeWindow(false);
}

void ConcurrencyLimiter::closeWindow(bool isSlow)
{
    const double changed = isSlow ? limit_ * decrease : limit_ + 1;
    limit_ = std::clamp(changed, 1.0, static_cast<double>(declared_));
    deviationSum_ = 0;
    windowSamples_ = 0;
}

void ConcurrencyLimiter::open(TimePoint now)
{
    if (state_ != State::Closed)
        openTime_ = std::min(openTime_ * 2, longestOpenTime);
    state_ = State::Open;
    openUntil_ = now + openTime_;
    consecutiveFailures_ = 0;
    recentFailures_ = 0;
    recentResults_ = 0;
    deviationSum_ = 0;
    windowSamples_ = 0;
}

const char* toText(ConcurrencyLimiter::State state)
{
    switch (state) {
    case ConcurrencyLimiter::State::Open:
        return "open";
    case ConcurrencyLimiter::State::Probing:
        return "probing";
    case ConcurrencyLimiter::State::Returning:
        return "returning";
    case ConcurrencyLimiter::State::Closed:
        break;
    }
    return "closed";
}

} // namespace almondlever
