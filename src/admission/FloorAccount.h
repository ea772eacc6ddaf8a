#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/**
 * Compares the slot time used by a rank with its floor, the minimum share of slot time that the rank gets. Credit
 * accrues at floor x slots and is spent by slot time. Credit and debt are bounded, so that only the recent past counts.
 * A rank is below its floor while it has credit and its share of the accounting window is less than the floor; the
 * share alone would not make up for a floor missed earlier, and the bounded credit alone would forget slot time beyond
 * the floor too soon.
 */
class FloorAccount {
public:
    explicit FloorAccount(double floor)
        : floor_(floor)
    {
    }

    /** Accrues credit. Its bound is at least the mean slot time, so that floors also hold on slow endpoints. */
    void advance(Duration elapsed, std::size_t slots, bool isBacklogged, Duration meanSlotTime);
    /** Charges slot time and returns by how much the credit fell: less than slotTime once the debt is at its bound. */
    Duration charge(Duration slotTime, std::size_t slots, bool isBelowFloor);
    /**
     * Refunds an overestimate of slot time; the credit gets back only the part that was taken from it. Otherwise a rank
     * that uses slots beyond its floor would gain credit from each overestimate and appear to be below its floor.
     */
    void refund(Duration slotTime, Duration creditUsed);

    bool isBelowFloor(std::size_t slots) const { return credit_ > 0 && usedShare(Duration(0), slots) < floor_; }
    /** How long the rank has been below its floor, in slot seconds: credit divided by the floor, to compare ranks. */
    double shortfall() const { return floor_ > 0 ? credit_ / floor_ : 0; }
    double floor() const { return floor_; }
    /** Share of the slots that the rank used in the accounting window, as of sinceAdvance after the last advance(). */
    double usedShare(Duration sinceAdvance, std::size_t slots) const;

private:
    double floor_;
    /** Slot seconds; negative for debt. */
    double credit_ = 0;
    double meanSlotSeconds_ = 0;
    /** Slot seconds, decaying over the accounting window. */
    double used_ = 0;
};

} // namespace almondlever
