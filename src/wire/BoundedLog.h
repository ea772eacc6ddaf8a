#pragma once

#include "almondlever/common/Time.h"

#include <string>

namespace almondlever {

/**
 * Writes warnings to logger "almondlever.wire", at most a few in each period, so that a peer that keeps sending
 * malformed data cannot fill the log. The first line of a later period tells how many were left out.
 */
class BoundedLog {
public:
    void warn(const std::string& text, TimePoint now);
    /** Lines left out so far. */
    std::uint64_t suppressed() const { return suppressed_; }

private:
    TimePoint periodStart_;
    int linesInPeriod_ = 0;
    std::uint64_t suppressed_ = 0;
    std::uint64_t suppressedReported_ = 0;
};

} // namespace almondlever
