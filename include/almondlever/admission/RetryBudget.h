#pragma once

#include "almondlever/common/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace almondlever {

/**
 * Limits retries to a share of the requests in a sliding window, so that retries cannot amplify an overload. A small
 * reserve allows retries when there are few requests. Not thread-safe.
 *
 * @see RetryBackoff
 */
class RetryBudget {
public:
    /** Allowed retries per request. */
    static constexpr double defaultShare = 0.1;
    /** Retries per window that are allowed regardless of the number of requests. */
    static constexpr std::uint64_t defaultReserve = 3;
    /** Length of the window. */
    static constexpr std::chrono::seconds window { 10 };

    explicit RetryBudget(double share = defaultShare, std::uint64_t reserve = defaultReserve);

    /** Counts a request. Do not call it for retries. */
    void addRequest(TimePoint now);
    /** Returns true and counts the retry if the budget allows one more. */
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
