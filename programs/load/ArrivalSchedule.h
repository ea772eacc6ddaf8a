#pragma once

#include "Workload.h"

#include <optional>
#include <random>

namespace almondlever::load {

/**
 * Poisson arrivals of one caller, open loop: the times depend on the seed and the workload alone and never on the
 * answers.
 */
class ArrivalSchedule {
public:
    /** The share is the part of the caller's rate that this schedule makes, for runs with several threads. */
    ArrivalSchedule(const Workload&, const CallerLoad&, std::uint64_t seed, double share);

    /** Time of the next arrival from the start of the run; none after the end of the last phase. */
    const std::optional<Duration>& next() const { return next_; }
    /** Goes on to the arrival after the next one. */
    void advance();

private:
    /** A waiting time at rate 1, in seconds. */
    double drawUnitGap();

    const Workload& workload_;
    const CallerLoad& caller_;
    std::mt19937_64 random_;
    double share_;
    std::optional<Duration> next_;
    std::size_t phase_ = 0;
    Duration phaseEnd_ { 0 };
};

} // namespace almondlever::load
