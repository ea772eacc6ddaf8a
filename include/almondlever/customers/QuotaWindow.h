#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/customers/QuotaBucket.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace almondlever {

/**
 * The grants of one coordinator to a customer that may be used in a window which contains the present: those that
 * daemons hold ahead of demand, and those that can have been used within the last window. A grant is counted from its
 * issue until one window after its last possible use, so that a coordinator which issues nothing beyond its share of
 * the allowance keeps the share in every sliding window (docs/design/quota-prefetch.md).
 */
class QuotaWindow {
public:
    /** What a daemon says about the operations that it holds. */
    struct Report {
        VmId holder;
        /** Differs between two runs of the daemon. */
        std::uint64_t process = 0;
        /** Increases with each request of a process. */
        std::uint64_t number = 0;
        /** Operations granted ahead that it has not used. */
        std::uint64_t held = 0;
    };

    explicit QuotaWindow(const QuotaSettings&);

    /**
     * Counts what the daemon no longer holds as used now. Returns false if the report is older than another one; the
     * request that carries it must then have no effect.
     */
    bool settle(const Report&, TimePoint now);
    /** Notes operations that are used within grantLifetime. */
    void addGrant(std::uint64_t operations, TimePoint now);
    /** Lets a daemon hold this many operations in total, not fewer than before, for another aheadLifetime. */
    void hold(const Report&, std::uint64_t total, TimePoint now);
    /** Counts operations of an earlier coordinator that may be used until a time. */
    void assumeUsed(std::uint64_t operations, TimePoint until, TimePoint now);
    std::uint64_t heldBy(const VmId&) const;
    /** Operations that daemons hold. */
    std::uint64_t held() const { return held_; }
    /** Operations that may be used in a window that contains the present, including those that daemons hold. */
    std::uint64_t countUsable(TimePoint now);
    /** Time until countUsable() is at most this number if nothing more is issued. */
    Milliseconds untilAtMost(std::uint64_t operations, TimePoint now);

private:
    struct Holder {
        std::uint64_t process = 0;
        std::uint64_t number = 0;
        std::uint64_t operations = 0;
        TimePoint until;
    };

    void advance(TimePoint now);
    /** Counts operations that can have been used until a time. */
    void countUsed(std::uint64_t operations, TimePoint lastUse);

    Milliseconds window_;
    Milliseconds grantLifetime_;
    Milliseconds aheadLifetime_;
    std::map<VmId, Holder> holders_;
    std::set<std::pair<TimePoint, VmId>> expiries_;
    /** Operations by the time at which they no longer count, in steps. */
    std::map<TimePoint, std::uint64_t> used_;
    std::uint64_t usedTotal_ = 0;
    std::uint64_t held_ = 0;
};

} // namespace almondlever
