#include "almondlever/customers/QuotaBucket.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    /** The buckets of all coordinators of a customer together. */
    struct Total {
        double capacity = 0;
        double ratePerSecond = 0;
        double allowance = 0;
        /** Part of the capacity that is given up for operations that daemons hold. */
        double heldCapacity = 0;
    };

    Total totalOf(const RateLimit& limit, const QuotaSettings& settings)
    {
        const double window = toSeconds(settings.window);
        const double usedWithin = window + toSeconds(settings.grantLifetime);
        const double entitled = limit.operationsPerSecond * window + limit.burst;
        const double allowance = settings.usedShare * (entitled * (1 + settings.overage) + settings.slack);
        const double minimumCapacity = std::max(settings.minimumCapacityShare * limit.burst, 1.0);
        Total total;
        total.allowance = allowance;
        total.capacity = std::max(allowance - entitled / window * usedWithin, minimumCapacity);
        total.ratePerSecond = std::max(allowance - total.capacity, 0.0) / usedWithin;
        if (settings.grantsAhead) {
            total.heldCapacity = (total.capacity - minimumCapacity) * settings.aheadCapacityShare;
            total.capacity += total.ratePerSecond * toSeconds(settings.burstFill);
        }
        return total;
    }

} // namespace

QuotaBucket::QuotaBucket(const RateLimit& limit, std::size_t coordinators, const QuotaSettings& settings, TimePoint now)
    : settings_(settings)
    , advancedTo_(now)
{
    setLimit(limit, coordinators, now);
}

std::size_t QuotaBucket::coordinatorsFor(const RateLimit& limit, const QuotaSettings& settings)
{
    const auto whole = static_cast<std::size_t>(totalOf(limit, settings).capacity);
    return std::clamp<std::size_t>(whole, 1, std::max<std::size_t>(settings.coordinators, 1));
}

void QuotaBucket::setLimit(const RateLimit& limit, std::size_t coordinators, TimePoint now)
{
    advance(now);
    coordinators_ = static_cast<double>(std::max<std::size_t>(coordinators, 1));
    const Total total = totalOf(limit, settings_);
    ratePerSecond_ = total.ratePerSecond / coordinators_;
    capacity_ = (total.capacity - total.heldCapacity) / coordinators_;
    windowLimit_ = total.allowance / coordinators_;
    const double heldFill = settings_.grantsAhead ? total.ratePerSecond * toSeconds(settings_.aheadFill) : 0;
    aheadLimit_ = (heldFill + total.heldCapacity) / coordinators_;
    level_ = std::min(level_, capacity_);
}

void QuotaBucket::advance(TimePoint now)
{
    if (now <= advancedTo_)
        return;
    const double earned = ratePerSecond_ * toSeconds(now - advancedTo_);
    level_ = std::min(level_ + earned, capacity_);
    refused_ = std::max(refused_ - earned, 0.0);
    advancedTo_ = now;
}

void QuotaBucket::startInDebt(TimePoint since, TimePoint now)
{
    const Duration debt = settings_.aheadFill + settings_.burstFill;
    level_ = std::min(level_, ratePerSecond_ * toSeconds(now - since - debt));
}

std::uint64_t QuotaBucket::available(bool areUrgent) const
{
    // A small bucket has no reserve, so that every rank gets the last operation.
    const double reserve = areUrgent ? 0 : std::floor(capacity_ * settings_.urgentReserve);
    return static_cast<std::uint64_t>(std::max(level_ - reserve, 0.0));
}

std::uint64_t QuotaBucket::takeAhead(std::uint64_t operations, TimePoint now)
{
    advance(now);
    const std::uint64_t granted = std::min(operations, available(false));
    level_ -= static_cast<double>(granted);
    return granted;
}

std::uint64_t QuotaBucket::take(std::uint64_t operations, bool areUrgent, TimePoint now, std::uint64_t limit)
{
    advance(now);
    const std::uint64_t granted = std::min({ operations, limit, available(areUrgent) });
    level_ -= static_cast<double>(granted);
    // Each coordinator of the customer is asked for what the others did not grant.
    refused_ += static_cast<double>(operations - granted) / coordinators_;
    return granted;
}

void QuotaBucket::giveBack(std::uint64_t operations, TimePoint now)
{
    advance(now);
    level_ = std::min(level_ + static_cast<double>(operations), capacity_);
}

Milliseconds QuotaBucket::retryAfter() const
{
    if (ratePerSecond_ <= 0)
        return settings_.maximumRetryAfter;
    constexpr double millisecondsInSecond = 1000;
    const double wait = std::max(1 - level_ + refused_, 0.0) / ratePerSecond_ * millisecondsInSecond;
    return std::min(Milliseconds(static_cast<Milliseconds::rep>(std::min(wait, 1e6)) + 1), settings_.maximumRetryAfter);
}

} // namespace almondlever
