#pragma once

#include "almondlever/common/Time.h"

#include <cmath>
#include <random>

namespace almondlever::standin {

/** Mean and standard deviation of the time that a statement holds a slot. */
struct ServiceTimeSettings {
    std::chrono::duration<double, std::milli> mean { 0 };
    std::chrono::duration<double, std::milli> spread { 0 };
};

/** Draws service times from a log-normal distribution, which is never negative and has a long tail. */
class ServiceTime {
public:
    ServiceTime(const ServiceTimeSettings& settings, std::uint32_t seed)
        : settings_(settings)
        , random_(seed)
    {
    }

    void change(const ServiceTimeSettings& settings) { settings_ = settings; }

    Duration draw()
    {
        if (settings_.mean.count() <= 0)
            return Duration::zero();
        if (settings_.spread.count() <= 0)
            return std::chrono::duration_cast<Duration>(settings_.mean);
        const double ratio = settings_.spread / settings_.mean;
        const double variance = std::log(1 + ratio * ratio);
        std::lognormal_distribution<double> distribution(
            std::log(settings_.mean.count()) - variance / 2, std::sqrt(variance));
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(distribution(random_)));
    }

private:
    ServiceTimeSettings settings_;
    std::mt19937 random_;
};

} // namespace almondlever::standin
