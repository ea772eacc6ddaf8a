#include "almondlever/customers/QuotaCoordinator.h"

#include "almondlever/placement/QuotaCoordinators.h"

#include <algorithm>

namespace almondlever {

QuotaCoordinator::QuotaCoordinator(VmId self, const QuotaSettings& settings)
    : self_(std::move(self))
    , settings_(settings)
{
}

void QuotaCoordinator::setCustomers(std::shared_ptr<const CustomerRegistry> customers, TimePoint now)
{
    startedAt_ = startedAt_.value_or(now);
    customers_ = std::move(customers);
    updateShares(false, now);
}

void QuotaCoordinator::setCoordinators(std::vector<LiveDaemon> coordinators, TimePoint now)
{
    startedAt_ = startedAt_.value_or(now);
    const bool isFirst = coordinators_.empty();
    coordinators_ = std::move(coordinators);
    updateShares(!isFirst, now);
}

std::size_t QuotaCoordinator::countCoordinators(const Customer& customer) const
{
    const std::size_t wanted = QuotaBucket::coordinatorsFor(customer.limit, settings_);
    const std::vector<LiveDaemon> chosen = coordinatorsOf(customer.id, wanted, coordinators_);
    const bool isChosen
        = std::any_of(chosen.begin(), chosen.end(), [this](const LiveDaemon& daemon) { return daemon.id == self_; });
    return isChosen ? chosen.size() : 0;
}

void QuotaCoordinator::updateShares(bool isTakeOver, TimePoint now)
{
    std::map<CustomerId, Share> former = std::move(shares_);
    shares_.clear();
    if (customers_) {
        for (const auto& [id, customer] : customers_->customers()) {
            const std::size_t count = customer.limit.isUnlimited() ? 0 : countCoordinators(customer);
            if (count == 0)
                continue;
            const auto known = former.find(id);
            // A coordinator that left may have granted ahead what its share allowed.
            const bool isShareChanged
                = settings_.grantsAhead && known != former.end() && known->second.coordinators != count;
            if (known != former.end() && !isShareChanged) {
                known->second.bucket.setLimit(customer.limit, count, now);
                shares_.emplace(id, known->second);
                continue;
            }
            shares_.emplace(id, makeShare(customer, count, isTakeOver || isShareChanged, now));
        }
    }
    noteEndedShares(former, now);
}

QuotaCoordinator::Share QuotaCoordinator::makeShare(
    const Customer& customer, std::size_t coordinators, bool isTakeOver, TimePoint now) const
{
    Share share { QuotaBucket(customer.limit, coordinators, settings_, now), QuotaWindow(settings_), coordinators, now,
        now };
    const bool isReturning = endedUntil_.count(customer.id) > 0 && now < endedUntil_.at(customer.id);
    if (isTakeOver) {
        share.startsAt = now + settings_.takeOverDelay;
        share.aheadFrom = share.startsAt + settings_.aheadLifetime;
    } else if (isFirstStart_ && !isReturning) {
        share.bucket.fill();
    } else if (settings_.grantsAhead) {
        const TimePoint since = isReturning ? now : *startedAt_;
        share.bucket.startInDebt(since, now);
        share.aheadFrom = since + settings_.aheadLifetime;
    }
    // The predecessor's grants may be used late in their lifetime, when the bucket has earned again.
    if (settings_.grantsAhead && share.aheadFrom > now)
        share.window.assumeUsed(share.bucket.aheadLimit(), share.aheadFrom + settings_.grantLifetime, now);
    return share;
}

void QuotaCoordinator::noteEndedShares(const std::map<CustomerId, Share>& former, TimePoint now)
{
    if (!settings_.grantsAhead)
        return;
    for (auto it = endedUntil_.begin(); it != endedUntil_.end();)
        it = it->second <= now ? endedUntil_.erase(it) : std::next(it);
    for (const auto& [id, share] : former) {
        if (shares_.count(id) == 0)
            endedUntil_[id] = now + settings_.aheadLifetime + settings_.window;
    }
}

QuotaAnswer QuotaCoordinator::onRequest(const VmId& from, const QuotaRequest& request, TimePoint now)
{
    QuotaAnswer answer;
    answer.number = request.number;
    const auto found = shares_.find(request.customer);
    if (found == shares_.end()) {
        answer.retryAfter = settings_.silenceTime;
        return answer;
    }
    Share& share = found->second;
    if (now < share.startsAt) {
        answer.retryAfter = std::chrono::ceil<Milliseconds>(share.startsAt - now);
        return answer;
    }
    if (!settings_.grantsAhead) {
        share.bucket.giveBack(request.unused, now);
        const std::uint64_t urgent = std::min(request.urgent, request.operations);
        answer.grantedUrgent = share.bucket.take(urgent, true, now);
        answer.granted = answer.grantedUrgent + share.bucket.take(request.operations - urgent, false, now);
        if (answer.granted < request.operations)
            answer.retryAfter = share.bucket.retryAfter();
        return answer;
    }
    // A daemon of the former version reports nothing and holds nothing.
    const QuotaWindow::Report report { from, request.process, request.number, request.held };
    if (request.process != 0 && !share.window.settle(report, now))
        return answer;
    grant(share, request, answer, now);
    if (request.process == 0)
        return answer;
    answer.aheadLifetime = settings_.aheadLifetime;
    const RateLimit& limit = customers_->find(request.customer)->limit;
    const bool isSameLimit = RateLimit::toThousandths(limit.operationsPerSecond) == request.ratePerSecond
        && RateLimit::toThousandths(limit.burst) == request.burst;
    if (isSameLimit && answer.granted == request.operations && now >= share.aheadFrom)
        grantAhead(share, report, request.ahead, answer, now);
    return answer;
}

void QuotaCoordinator::grant(Share& share, const QuotaRequest& request, QuotaAnswer& answer, TimePoint now)
{
    const std::uint64_t limit = share.bucket.windowLimit();
    const std::uint64_t left = limit - std::min(limit, share.window.countUsable(now));
    const std::uint64_t urgent = std::min(request.urgent, request.operations);
    answer.grantedUrgent = share.bucket.take(urgent, true, now, left);
    const std::uint64_t others
        = share.bucket.take(request.operations - urgent, false, now, left - answer.grantedUrgent);
    answer.granted = answer.grantedUrgent + others;
    share.window.addGrant(answer.granted, now);
    if (answer.granted < request.operations) {
        const Milliseconds free = share.window.untilAtMost(limit - std::min<std::uint64_t>(limit, 1), now);
        answer.retryAfter = std::max(share.bucket.retryAfter(), free);
    }
}

void QuotaCoordinator::grantAhead(
    Share& share, const QuotaWindow::Report& report, std::uint64_t wanted, QuotaAnswer& answer, TimePoint now) const
{
    const auto limit
        = static_cast<std::uint64_t>(static_cast<double>(share.bucket.windowLimit()) * settings_.aheadAllowanceShare);
    const std::uint64_t usable = share.window.countUsable(now);
    if (usable > limit)
        return;
    const std::uint64_t own = share.window.heldBy(report.holder);
    const std::uint64_t heldLimit = share.bucket.aheadLimit();
    const std::uint64_t room = std::min(limit - usable, heldLimit - std::min(heldLimit, share.window.held()));
    const std::uint64_t more = std::min(wanted - std::min(wanted, own), room);
    const std::uint64_t total = own + share.bucket.takeAhead(more, now);
    if (total == 0)
        return;
    share.window.hold(report, total, now);
    answer.ahead = total;
}

} // namespace almondlever
