#include "almondlever/customers/QuotaWindow.h"

#include <algorithm>
#include <cassert>

namespace almondlever {

namespace {

    /** Used operations are counted in steps of this length, rounded up, which bounds the memory for one customer. */
    constexpr Milliseconds step { 50 };

    TimePoint roundUp(TimePoint time)
    {
        const Duration rest = time.time_since_epoch() % Duration(step);
        return rest == Duration(0) ? time : time + (Duration(step) - rest);
    }

} // namespace

QuotaWindow::QuotaWindow(const QuotaSettings& settings)
    : window_(settings.window)
    , grantLifetime_(settings.grantLifetime)
    , aheadLifetime_(settings.aheadLifetime)
{
}

bool QuotaWindow::settle(const Report& report, TimePoint now)
{
    advance(now);
    const auto found = holders_.find(report.holder);
    if (found == holders_.end())
        return true;
    Holder& holder = found->second;
    if (holder.process == report.process) {
        if (report.number <= holder.number)
            return false;
        const std::uint64_t used = holder.operations - std::min(holder.operations, report.held);
        countUsed(used, now);
        held_ -= used;
        holder.operations -= used;
        holder.number = report.number;
        return true;
    }
    // The former process may be suspended instead of ended.
    countUsed(holder.operations, holder.until);
    held_ -= holder.operations;
    expiries_.erase({ holder.until, report.holder });
    holders_.erase(found);
    return true;
}

void QuotaWindow::addGrant(std::uint64_t operations, TimePoint now)
{
    advance(now);
    countUsed(operations, now + grantLifetime_);
}

void QuotaWindow::hold(const Report& report, std::uint64_t total, TimePoint now)
{
    advance(now);
    Holder& holder = holders_[report.holder];
    assert(total >= holder.operations);
    expiries_.erase({ holder.until, report.holder });
    held_ += total - holder.operations;
    // The holder counts from its request, which is earlier; the margin covers clocks that run at different speeds.
    holder = Holder { report.process, report.number, total, now + aheadLifetime_ + grantLifetime_ };
    expiries_.emplace(holder.until, report.holder);
}

void QuotaWindow::assumeUsed(std::uint64_t operations, TimePoint until, TimePoint now)
{
    advance(now);
    countUsed(operations, until);
}

std::uint64_t QuotaWindow::heldBy(const VmId& holder) const
{
    const auto found = holders_.find(holder);
    return found == holders_.end() ? 0 : found->second.operations;
}

std::uint64_t QuotaWindow::countUsable(TimePoint now)
{
    advance(now);
    return usedTotal_ + held_;
}

Milliseconds QuotaWindow::untilAtMost(std::uint64_t operations, TimePoint now)
{
    advance(now);
    std::uint64_t counted = usedTotal_ + held_;
    Duration wait { 0 };
    for (auto it = used_.begin(); it != used_.end() && counted > operations; ++it) {
        counted -= it->second;
        wait = it->first - now;
    }
    // What daemons hold counts until they have used it or let it expire.
    return std::chrono::ceil<Milliseconds>(counted > operations ? wait + window_ : wait);
}

void QuotaWindow::advance(TimePoint now)
{
    while (!expiries_.empty() && expiries_.begin()->first <= now) {
        const auto found = holders_.find(expiries_.begin()->second);
        countUsed(found->second.operations, found->second.until);
        held_ -= found->second.operations;
        holders_.erase(found);
        expiries_.erase(expiries_.begin());
    }
    while (!used_.empty() && used_.begin()->first <= now) {
        usedTotal_ -= used_.begin()->second;
        used_.erase(used_.begin());
    }
}

void QuotaWindow::countUsed(std::uint64_t operations, TimePoint lastUse)
{
    if (operations == 0)
        return;
    used_[roundUp(lastUse + window_)] += operations;
    usedTotal_ += operations;
}

} // namespace almondlever
