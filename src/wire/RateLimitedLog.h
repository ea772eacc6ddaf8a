#pragma once

#include "almondlever/common/Time.h"

#include <string>

namespace almondlever {

/**
 * Rate-limited warnings on logger "almondlever.wire", so that a peer that keeps sending malformed data cannot fill the
 * log. The first line after a suppression states how many lines were suppressed.
 */
class RateLimitedLog {
public:
    void warn(const std::string& text, TimePoint now);
    /** Total number of suppressed lines. */
    std::uint64_t suppressed() const { return suppressed_; }

private:
    TimePoint periodStart_;
    int linesInPeriod_ = 0;
    std::uint64_t suppressed_ = 0;
    std::uint64_t suppressedReported_ = 0;
};

} // namespace almondlever
