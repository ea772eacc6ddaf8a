#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/customers/CustomerRegistry.h"

#include <cstddef>
#include <cstdint>
#include <limits>

namespace almondlever {

/** How the limits of customers are judged and divided. */
struct QuotaSettings {
    /** Length of the sliding windows over which a limit is judged. */
    Milliseconds window { 5000 };
    /** Share by which a customer may exceed rate x window + burst in a window. */
    double overage = 0.1;
    /** Operations by which a customer may exceed that in addition. */
    double slack = 20;
    /** Part of what a window may contain that is granted; the rest covers changes of the coordinators. */
    double usedShare = 0.98;
    /** Part of a customer's burst that it may use at once, in addition to what arrives meanwhile. */
    double minimumCapacityShare = 0.25;
    /** Part of a bucket that only operations of the most urgent rank may use. */
    double urgentReserve = 0.25;
    /** Coordinators of one customer; each grants an equal share of its limit. */
    std::size_t coordinators = 3;
    /** Daemons for each coordinator of the fleet. */
    std::size_t daemonsPerCoordinator = 24;
    /** Time for which a granted operation may be used; counts from the request. */
    Milliseconds grantLifetime { 100 };
    /** A daemon that becomes a coordinator waits this long, in which daemons with an older view still ask another. */
    Milliseconds takeOverDelay { 3000 };
    /** A coordinator that has not answered for this long is not asked for silenceTime. */
    Milliseconds answerTimeout { 200 };
    Milliseconds silenceTime { 1000 };
    /** For this long after all coordinators refused an operation, further ones of the customer are refused unasked. */
    Milliseconds refusalTime { 50 };
    /** Longest time that a refused caller is told to wait. */
    Milliseconds maximumRetryAfter { 5000 };

    /** Grants operations ahead of demand to daemons whose callers use a customer's key; the members below apply then.
     */
    bool grantsAhead = false;
    /**
     * Time for which an operation granted ahead may be used; counts from the request. At most takeOverDelay, because a
     * coordinator of the former version that takes over does not count what its predecessor let daemons hold.
     */
    Milliseconds aheadLifetime { 3000 };
    /** A bucket lets daemons hold what it earns in this time; a restarted coordinator earns nothing for this time. */
    Milliseconds aheadFill { 2000 };
    /** Part of a bucket's capacity beyond the minimum that daemons may hold instead. */
    double aheadCapacityShare = 0.5;
    /** Operations are granted ahead only while at most this part of a window's allowance can be used. */
    double aheadAllowanceShare = 0.8;
    /** A daemon holds as many operations as it expects in this time, and one more. */
    Milliseconds aheadDemand { 200 };
    /** A daemon lets the operations of a customer lapse that has not requested one for this long. */
    Milliseconds aheadIdleTime { 30000 };
    /** A refused caller is told to wait up to this part longer, at random, so that callers do not return together. */
    double retryJitter = 0.5;
};

/**
 * One coordinator's share of a customer's limit, as a token bucket.
 *
 * In every window a customer is entitled to rate x window + burst operations, and may use at most
 * allowance = (rate x window + burst) x (1 + overage) + slack. With n coordinators each bucket fills at
 * fill = (rate + burst / window) / n and holds at most capacity = usedShare x allowance / n - fill x (window +
 * grantLifetime). An operation is used at most grantLifetime after it was granted, so that a window contains at most
 * n x (fill x (window + grantLifetime) + capacity) = usedShare x allowance of them, whichever daemons are cut off,
 * suspended or restarted meanwhile. Where overage and slack leave less than minimumCapacityShare of the burst as the
 * capacity, the buckets fill more slowly.
 *
 * With grantsAhead, daemons may hold aheadLimit() operations, for which the capacity is smaller, and a coordinator that
 * may have a predecessor whose grants are held starts in debt; docs/design/quota-prefetch.md has the inequality.
 *
 * @see QuotaWindow
 */
class QuotaBucket {
public:
    QuotaBucket(const RateLimit&, std::size_t coordinators, const QuotaSettings&, TimePoint now);

    /** Number of coordinators among which the limit is divided: fewer for a limit so small that a share is no
     * operation.
     */
    static std::size_t coordinatorsFor(const RateLimit&, const QuotaSettings&);

    /** Applies a new limit or number of coordinators; keeps at most the new capacity. */
    void setLimit(const RateLimit&, std::size_t coordinators, TimePoint now);
    /** Fills the bucket; only when no earlier coordinator can have granted anything. */
    void fill() { level_ = capacity_; }
    /** Earns nothing for aheadFill after a time: a predecessor's grants may still be held. */
    void startInDebt(TimePoint since, TimePoint now);
    /**
     * Grants at most this many operations; the callers of the others are expected to return. Operations that are not
     * urgent leave the reserve.
     *
     * @param limit largest number that may be granted for another reason
     */
    std::uint64_t take(std::uint64_t operations, bool areUrgent, TimePoint now,
        std::uint64_t limit = std::numeric_limits<std::uint64_t>::max());
    /** As take() for operations that are not urgent and whose callers have not come yet. */
    std::uint64_t takeAhead(std::uint64_t operations, TimePoint now);
    /** Takes back operations that were granted and not used. */
    void giveBack(std::uint64_t operations, TimePoint now);
    /** Time until an operation refused now could be granted, behind those that were refused before. */
    Milliseconds retryAfter() const;
    /** Operations of this share that may be used in one window. */
    std::uint64_t windowLimit() const { return static_cast<std::uint64_t>(windowLimit_); }
    /** Operations of this share that daemons may hold ahead of demand. */
    std::uint64_t aheadLimit() const { return static_cast<std::uint64_t>(aheadLimit_); }

private:
    void advance(TimePoint now);
    std::uint64_t available(bool areUrgent) const;

    QuotaSettings settings_;
    double coordinators_ = 1;
    double ratePerSecond_ = 0;
    double capacity_ = 0;
    double windowLimit_ = 0;
    double aheadLimit_ = 0;
    double level_ = 0;
    /** Refused operations whose callers probably return; decreases at the rate of the bucket. */
    double refused_ = 0;
    TimePoint advancedTo_;
};

} // namespace almondlever
