#include "almondlever/admission/RetryBackoff.h"

#include <algorithm>

namespace almondlever {

RetryBackoff::RetryBackoff(std::uint64_t seed, Milliseconds firstBound, Milliseconds longestBound)
    : generator_(seed)
    , firstBound_(firstBound)
    , longestBound_(longestBound)
{
}

Duration RetryBackoff::delayBefore(std::size_t attempt)
{
    Duration bound = firstBound_;
    for (std::size_t doubled = 1; doubled < attempt && bound < longestBound_; ++doubled)
        bound *= 2;
    bound = std::min(bound, longestBound_);
    std::uniform_int_distribution<Duration::rep> distribution(0, bound.count());
    return Duration(distribution(generator_));
}

} // namespace almondlever
