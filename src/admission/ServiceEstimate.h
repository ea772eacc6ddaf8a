#pragma once

#include "almondlever/common/Time.h"

namespace almondlever {

/** Exponentially weighted mean and mean deviation of the time that a request holds its slot. */
class ServiceEstimate {
public:
    /** Used until the first measurement. */
    static constexpr Duration initialMean = std::chrono::milliseconds(10);

    void add(Duration slotTime)
    {
        if (!isMeasured_) {
            isMeasured_ = true;
            mean_ = slotTime;
            deviation_ = slotTime / 2;
            return;
        }
        const Duration difference = slotTime - mean_;
        mean_ += difference / weight;
        deviation_ += (std::chrono::abs(difference) - deviation_) / weight;
    }

    Duration mean() const { return mean_; }
    /** Time to reserve before a deadline so that most requests still finish: the mean and two mean deviations. */
    Duration allowance() const { return mean_ + 2 * deviation_; }

private:
    /** Weight of one sample is 1/16: follows a change within about 30 requests, and is stable for lognormal times. */
    static constexpr int weight = 16;

    bool isMeasured_ = false;
    Duration mean_ = initialMean;
    Duration deviation_ { 0 };
};

} // namespace almondlever
