#pragma once

#include "almondlever/common/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace almondlever {

/**
 * Bounds retries to a share of the requests of a sliding window, so that retries cannot multiply an overload. A small
 * reserve lets a quiet daemon retry at all. Not thread-safe.
 *
 * @see RetryBackoff
 */
class RetryBudget {
public:
    /** Retries for each request. */
    static constexpr double defaultShare = 0.1;
    /** Retries in a window that are allowed whatever the number of requests. */
    static constexpr std::uint64_t defaultReserve = 3;
    /** Length of the window. */
    static constexpr std::chrono::seconds window { 10 };

    explicit RetryBudget(double share = defaultShare, std::uint64_t reserve = defaultReserve);

    /** Counts a request; not to be called for its retries. */
    void addRequest(TimePoint now);
    /** True, and the retry is counted, when the budget allows one more. */
    bool tryRetry(TimePoint now);

private:
    struct Bucket {
        std::int64_t number = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };
    static constexpr std::size_t bucketCount = 10;

    Bucket& bucketAt(TimePoint now);

    double share_;
    std::uint64_t reserve_;
    std::array<Bucket, bucketCount> buckets_;
};

} // namespace almondlever
