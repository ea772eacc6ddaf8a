#include "ArrivalSchedule.h"

#include <cmath>

namespace almondlever::load {

ArrivalSchedule::ArrivalSchedule(const Workload& workload, const CallerLoad& caller, std::uint64_t seed, double share)
    : workload_(workload)
    , caller_(caller)
    , random_(seed)
    , share_(share)
    , next_(Duration::zero())
    , phaseEnd_(workload.phases.front().duration)
{
    advance();
}

void ArrivalSchedule::advance()
{
    if (!next_)
        return;
    double remaining = drawUnitGap();
    Duration moment = *next_;
    while (phase_ < workload_.phases.size()) {
        const double rate = workload_.rateIn(workload_.phases[phase_], caller_) * share_;
        const double left = std::chrono::duration<double>(phaseEnd_ - moment).count();
        if (rate * left >= remaining) {
            next_ = moment + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(remaining / rate));
            return;
        }
        remaining -= rate * left;
        moment = phaseEnd_;
        if (++phase_ < workload_.phases.size())
            phaseEnd_ += workload_.phases[phase_].duration;
    }
    next_.reset();
}

double ArrivalSchedule::drawUnitGap()
{
    // 53 random bits, the precision of a double; the standard distributions differ between libraries.
    const double uniform = (static_cast<double>(random_() >> 11U) + 1) / 9007199254740993.0;
    return -std::log(uniform);
}

} // namespace almondlever::load
