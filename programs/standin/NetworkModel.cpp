#include "NetworkModel.h"

#include <algorithm>
#include <vector>

namespace almondlever::standin {

Place NetworkModel::placeOfVm(const std::string& vm) const
{
    const auto found = vmDomains_.find(vm);
    return { found == vmDomains_.end() ? std::string() : found->second, vm, {} };
}

Duration NetworkModel::latency(const Place& from, const Place& to) const
{
    if (from.failureDomain.empty() || to.failureDomain.empty())
        return Duration::zero();
    Duration latency = latencies_.betweenRegions;
    if (from.failureDomain == platformDomain || to.failureDomain == platformDomain)
        latency = platformRoundTrip_ / 2;
    else if (from.failureDomain == to.failureDomain)
        latency = latencies_.insideDomain;
    else if (regions_.at(from.failureDomain) == regions_.at(to.failureDomain))
        latency = latencies_.betweenDomains;
    return std::chrono::duration_cast<Duration>(latency * latencyFactor_);
}

bool NetworkModel::isBlocked(const Place& a, const Place& b) const
{
    if (isIsolated(a) || isIsolated(b))
        return true;
    return !partitions_.empty() && partitions_.count(std::minmax(a.failureDomain, b.failureDomain)) > 0;
}

bool NetworkModel::isIsolated(const Place& place) const
{
    return isolatedVms_.count(place.vm) > 0 || isolatedEndpoints_.count(place.endpoint) > 0;
}

void NetworkModel::partitionDomains(const std::string& a, const std::string& b)
{
    partitions_.insert(std::minmax(a, b));
    notify();
}

void NetworkModel::healDomains(const std::string& a, const std::string& b)
{
    partitions_.erase(std::minmax(a, b));
    notify();
}

void NetworkModel::isolateVm(const std::string& vm)
{
    isolatedVms_.insert(vm);
    notify();
}

void NetworkModel::rejoinVm(const std::string& vm)
{
    isolatedVms_.erase(vm);
    notify();
}

void NetworkModel::isolateEndpoint(const std::string& endpoint)
{
    isolatedEndpoints_.insert(endpoint);
    notify();
}

void NetworkModel::rejoinEndpoint(const std::string& endpoint)
{
    isolatedEndpoints_.erase(endpoint);
    notify();
}

void NetworkModel::healAll()
{
    partitions_.clear();
    isolatedVms_.clear();
    isolatedEndpoints_.clear();
    notify();
}

std::size_t NetworkModel::addListener(Listener listener)
{
    listeners_.emplace(nextListener_, std::move(listener));
    return nextListener_++;
}

void NetworkModel::removeListener(std::size_t number) { listeners_.erase(number); }

void NetworkModel::notify()
{
    std::vector<std::size_t> numbers;
    for (const auto& [number, listener] : listeners_)
        numbers.push_back(number);
    for (const std::size_t number : numbers) {
        const auto found = listeners_.find(number);
        if (found == listeners_.end())
            continue;
        const Listener listener = found->second;
        listener();
    }
}

} // namespace almondlever::standin
