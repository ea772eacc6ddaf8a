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
    customers_ = std::move(customers);
    updateShares(false, now);
}

void QuotaCoordinator::setCoordinators(std::vector<LiveDaemon> coordinators, TimePoint now)
{
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
    if (!customers_)
        return;
    for (const auto& [id, customer] : customers_->customers()) {
        const std::size_t count = customer.limit.isUnlimited() ? 0 : countCoordinators(customer);
        if (count == 0)
            continue;
        const auto known = former.find(id);
        if (known != former.end()) {
            known->second.bucket.setLimit(customer.limit, count, now);
            shares_.emplace(id, known->second);
            continue;
        }
        Share share { QuotaBucket(customer.limit, count, settings_, now), now };
        if (isTakeOver)
            share.startsAt = now + settings_.takeOverDelay;
        else if (isFirstStart_)
            share.bucket.fill();
        shares_.emplace(id, share);
    }
}

QuotaAnswer QuotaCoordinator::onRequest(const QuotaRequest& request, TimePoint now)
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
    share.bucket.giveBack(request.unused, now);
    const std::uint64_t urgent = std::min(request.urgent, request.operations);
    answer.grantedUrgent = share.bucket.take(urgent, true, now);
    answer.granted = answer.grantedUrgent + share.bucket.take(request.operations - urgent, false, now);
    if (answer.granted < request.operations)
        answer.retryAfter = share.bucket.retryAfter();
    return answer;
}

} // namespace almondlever
