#include "FloorAccount.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    /** Seconds of usage and of unused credit that are taken into account. */
    constexpr double accountingWindow = 1.0;
    /**
     * Seconds of credit that an idle rank keeps, and of debt from slots used beyond the floor. Short, because saved
     * credit delays more urgent ranks, and debt delays the floor when an overload begins.
     */
    constexpr double idleWindow = 0.1;
    /** Seconds of debt from slots taken below the floor; bounds how long one long statement can suspend the floor. */
    constexpr double longestDebt = 5.0;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void FloorAccount::advance(Duration elapsed, std::size_t slots, bool isBacklogged, Duration meanSlotTime)
{
    const double seconds = toSeconds(elapsed);
    const double rate = floor_ * static_cast<double>(slots);
    const double window = isBacklogged ? accountingWindow : idleWindow;
    const double bound = std::max(rate * window, toSeconds(meanSlotTime));
    credit_ = std::min(credit_ + rate * seconds, bound);
    meanSlotSeconds_ = toSeconds(meanSlotTime);
    used_ *= std::exp(-seconds / accountingWindow);
}

Duration FloorAccount::charge(Duration slotTime, std::size_t slots, bool isBelowFloor)
{
    const double seconds = toSeconds(slotTime);
    const double window = isBelowFloor ? longestDebt : idleWindow;
    const double bound = std::max(floor_ * static_cast<double>(slots) * window, meanSlotSeconds_);
    const double charged = std::max(credit_ - seconds, std::min(credit_, -bound));
    const double creditUsed = credit_ - charged;
    credit_ = charged;
    used_ += seconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(creditUsed));
}

void FloorAccount::refund(Duration slotTime, Duration creditUsed)
{
    credit_ += toSeconds(creditUsed);
    used_ = std::max(0.0, used_ - toSeconds(slotTime));
}

double FloorAccount::usedShare(Duration sinceAdvance, std::size_t slots) const
{
    const double decayed = used_ * std::exp(-toSeconds(sinceAdvance) / accountingWindow);
    return std::min(1.0, decayed / (accountingWindow * static_cast<double>(std::max<std::size_t>(slots, 1))));
}

} // namespace almondlever
