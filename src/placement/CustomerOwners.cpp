#include "almondlever/placement/CustomerOwners.h"

#include "Rendezvous.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    bool isSameDaemon(const LiveDaemon& left, const LiveDaemon& right)
    {
        return left.id == right.id && left.failureDomain == right.failureDomain
            && left.peerAddress == right.peerAddress;
    }

} // namespace

const char* toText(OwnerReason reason)
{
    switch (reason) {
    case OwnerReason::Preferred:
        return "preferred";
    case OwnerReason::Load:
        return "load";
    case OwnerReason::Unavailable:
        return "unavailable";
    case OwnerReason::OtherRegion:
        return "other_region";
    }
    return "preferred";
}

CustomerOwners::CustomerOwners(const FailureDomainId& failureDomain, std::map<FailureDomainId, std::string> regions,
    const CustomerOwnerSettings& settings)
    : settings_(settings)
    , regions_(std::move(regions))
    , region_(regionOf(failureDomain))
{
}

const std::string& CustomerOwners::regionOf(const FailureDomainId& failureDomain) const
{
    const auto found = regions_.find(failureDomain);
    return found == regions_.end() ? failureDomain.text() : found->second;
}

void CustomerOwners::setOwners(const std::map<GroupId, std::vector<LiveDaemon>>& owners)
{
    for (auto it = groups_.begin(); it != groups_.end();) {
        if (owners.count(it->first) > 0) {
            ++it;
            continue;
        }
        cachedOrders_ -= it->second.orders.size();
        it = groups_.erase(it);
    }
    for (const auto& [id, daemons] : owners) {
        Group& group = groups_[id];
        const bool isUnchanged = std::equal(group.owners.begin(), group.owners.end(), daemons.begin(), daemons.end(),
            [](const Owner& owner, const LiveDaemon& daemon) { return isSameDaemon(owner.daemon, daemon); });
        if (isUnchanged)
            continue;
        cachedOrders_ -= group.orders.size();
        group = Group();
        for (const LiveDaemon& daemon : daemons) {
            Owner owner;
            owner.daemon = daemon;
            owner.hash = hashName(daemon.id.text());
            owner.isInRegion = regionOf(daemon.failureDomain) == region_;
            group.owners.push_back(std::move(owner));
        }
    }
}

const std::vector<std::uint16_t>& CustomerOwners::orderOf(const GroupId& id, Group& group, const CustomerId& customer)
{
    const auto found = group.orders.find(customer);
    if (found != group.orders.end())
        return found->second;
    if (cachedOrders_ >= settings_.maximumCachedOrders) {
        for (auto& [other, cached] : groups_)
            cached.orders.clear();
        cachedOrders_ = 0;
    }
    ++cachedOrders_;
    std::vector<std::uint16_t>& order = group.orders[customer];
    const std::uint64_t key = hashName(customer.text() + '/' + id.text());
    std::vector<std::uint64_t> scores;
    for (std::size_t index = 0; index < group.owners.size(); ++index) {
        scores.push_back(rendezvousScore(key, group.owners[index].hash));
        order.push_back(static_cast<std::uint16_t>(index));
    }
    std::sort(order.begin(), order.end(), [&group, &scores](std::uint16_t left, std::uint16_t right) {
        const Owner& leftOwner = group.owners[left];
        const Owner& rightOwner = group.owners[right];
        if (leftOwner.isInRegion != rightOwner.isInRegion)
            return leftOwner.isInRegion;
        return wins(scores[left], leftOwner.daemon.id, scores[right], rightOwner.daemon.id);
    });
    return order;
}

double CustomerOwners::decayed(double load, TimePoint at, TimePoint now) const
{
    if (load <= 0 || now <= at)
        return load;
    const std::chrono::duration<double> elapsed = now - at;
    return load * std::exp2(-(elapsed / settings_.loadHalfLife));
}

void CustomerOwners::decayLoads(Group& group, TimePoint now) const
{
    const double factor = decayed(1, group.loadAt, now);
    for (Owner& owner : group.owners)
        owner.load *= factor;
    group.loadAt = std::max(group.loadAt, now);
}

OwnerChoice CustomerOwners::choose(
    const GroupId& id, const CustomerId& customer, const Availability& availability, TimePoint now)
{
    OwnerChoice choice;
    const auto found = groups_.find(id);
    if (found == groups_.end() || found->second.owners.empty())
        return choice;
    Group& group = found->second;
    decayLoads(group, now);
    const std::vector<std::uint16_t>& order = orderOf(id, group, customer);
    const Owner* firstElsewhere = nullptr;
    const Owner* firstNotConnected = nullptr;
    double total = 0;
    ready_.clear();
    for (const std::uint16_t index : order) {
        const Owner& owner = group.owners[index];
        // Owners of other regions count only if none of this region can serve.
        if (!owner.isInRegion && !ready_.empty())
            break;
        const OwnerAvailability available = availability(owner.daemon);
        if (available == OwnerAvailability::NotConnected && !firstNotConnected)
            firstNotConnected = &owner;
        if (available != OwnerAvailability::Ready)
            continue;
        if (!owner.isInRegion) {
            firstElsewhere = &owner;
            break;
        }
        ready_.push_back(&owner);
        total += owner.load;
    }
    const Owner& preferred = group.owners[order.front()];
    choice.preferred = &preferred.daemon;
    choice.preferredLoad = preferred.load;
    if (ready_.empty()) {
        const Owner* other = firstElsewhere ? firstElsewhere : firstNotConnected;
        choice.owner = other ? &other->daemon : nullptr;
        choice.reason = other && !other->isInRegion ? OwnerReason::OtherRegion
            : other == &preferred                   ? OwnerReason::Preferred
                                                    : OwnerReason::Unavailable;
        return choice;
    }
    // A statement always fits an owner without load.
    choice.bound = std::max(settings_.loadFactor * (total + 1) / static_cast<double>(ready_.size()), 1.0);
    choice.customerShare = shareOf(customer, now);
    const Owner* chosen = ready_.front();
    if (choice.customerShare >= settings_.spillingShare) {
        const auto fits = [&choice](const Owner* owner) { return owner->load + 1 <= choice.bound; };
        const auto next = std::find_if(ready_.begin(), ready_.end(), fits);
        chosen = next != ready_.end() ? *next : chosen;
    }
    choice.owner = &chosen->daemon;
    choice.reason = chosen != ready_.front() ? OwnerReason::Load
        : chosen != &preferred               ? OwnerReason::Unavailable
                                             : OwnerReason::Preferred;
    return choice;
}

double CustomerOwners::shareOf(const CustomerId& customer, TimePoint now) const
{
    const auto found = demand_.find(customer);
    if (found == demand_.end())
        return 0;
    const double total = decayed(total_.load, total_.at, now);
    return total > 0 ? decayed(found->second.load, found->second.at, now) / total : 0;
}

void CustomerOwners::noteSent(const GroupId& id, const CustomerId& customer, const VmId& vm, TimePoint now)
{
    const auto found = groups_.find(id);
    if (found == groups_.end())
        return;
    Group& group = found->second;
    decayLoads(group, now);
    for (Owner& owner : group.owners) {
        if (owner.daemon.id == vm)
            owner.load += 1;
    }
    if (demand_.size() >= settings_.maximumCachedOrders) {
        demand_.clear();
        total_ = Demand();
    }
    for (Demand* demand : { &demand_[customer], &total_ }) {
        demand->load = decayed(demand->load, demand->at, now) + 1;
        demand->at = now;
    }
}

} // namespace almondlever
