#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/**
 * Slot time that a rank has used, against its floor. Credit accrues at floor x slots and is spent by slot time. Credit
 * and debt are bounded, so that only the recent past counts. A rank is below its floor while it has credit and its
 * share of the accounting window is less than the floor; the share alone would not make up for a floor missed earlier,
 * and the bounded credit alone would forget slot time beyond the floor too soon.
 */
class FloorAccount {
public:
    explicit FloorAccount(double floor)
        : floor_(floor)
    {
    }

    /** Lets time pass. The mean slot time is the least bound of the credit, so that slow endpoints keep floors too. */
    void advance(Duration elapsed, std::size_t slots, bool isBacklogged, Duration meanSlotTime);
    /** Charges slot time and returns how much of it the credit bore; the rest is beyond the bound of the debt. */
    Duration charge(Duration slotTime, std::size_t slots, bool isBelowFloor);
    /**
     * Gives back an overestimate of slot time, to the credit only what it bore. Otherwise a rank that lives on slots
     * beyond its floor would gain credit from each overestimate and pass for one below its floor.
     */
    void refund(Duration slotTime, Duration borne);

    bool isBelowFloor(std::size_t slots) const { return credit_ > 0 && usedShare(Duration(0), slots) < floor_; }
    /** Time for which the rank has been without its floor, in seconds x slots. */
    double shortfall() const { return floor_ > 0 ? credit_ / floor_ : 0; }
    double floor() const { return floor_; }
    /** Share of the slots that the rank has used of late, as seen a while after the last advance. */
    double usedShare(Duration sinceAdvance, std::size_t slots) const;

private:
    double floor_;
    /** Slot seconds. */
    double credit_ = 0;
    double meanSlotSeconds_ = 0;
    /** Slot seconds, decaying over the accounting window. */
    double used_ = 0;
};

} // namespace almondlever
