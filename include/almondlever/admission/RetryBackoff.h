#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace almondlever {

/**
 * Exponential backoff with full jitter: the delay is uniformly random up to a bound that doubles with each attempt, so
 * that requests that failed together are not retried together. The same seed gives the same delays. Not thread-safe.
 *
 * @see RetryBudget
 */
class RetryBackoff {
public:
    static constexpr Milliseconds defaultFirstBound { 20 };
    static constexpr Milliseconds defaultLongestBound { 1000 };

    explicit RetryBackoff(std::uint64_t seed, Milliseconds firstBound = defaultFirstBound,
        Milliseconds longestBound = defaultLongestBound);

    /** Delay before the retry with this number, counted from 1. */
    Duration delayBefore(std::size_t attempt);

private:
    std::mt19937_64 generator_;
    Duration firstBound_;
    Duration longestBound_;
};

} // namespace almondlever
