#include "almondlever/admission/RetryBudget.h"

#include <algorithm>

namespace almondlever {

namespace {

    std::int64_t bucketNumber(TimePoint now, std::size_t bucketCount)
    {
        const Duration length = Duration(RetryBudget::window) / bucketCount;
        return now.time_since_epoch() / length;
    }

} // namespace

RetryBudget::RetryBudget(double share, std::uint64_t reserve)
    : share_(share)
    , reserve_(reserve)
{
}

void RetryBudget::addRequest(TimePoint now) { ++bucketAt(now).requests; }

bool RetryBudget::tryRetry(TimePoint now)
{
    Bucket& current = bucketAt(now);
    const auto oldest = current.number - static_cast<std::int64_t>(bucketCount);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const Bucket& bucket : buckets_) {
        if (bucket.number <= oldest)
            continue;
        requests += bucket.requests;
        retries += bucket.retries;
    }
    const auto allowed = std::max(reserve_, static_cast<std::uint64_t>(share_ * static_cast<double>(requests)));
    if (retries >= allowed)
        return false;
    ++current.retries;
    return true;
}

RetryBudget::Bucket& RetryBudget::bucketAt(TimePoint now)
{
    const std::int64_t number = bucketNumber(now, bucketCount);
    Bucket& bucket = buckets_[static_cast<std::size_t>(number) % bucketCount];
    if (bucket.number != number)
        bucket = Bucket { number, 0, 0 };
    return bucket;
}

} // namespace almondlever
