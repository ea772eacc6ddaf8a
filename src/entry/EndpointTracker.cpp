#include "almondlever/entry/EndpointTracker.h"

#include <algorithm>

namespace almondlever {

namespace {

    using std::chrono::milliseconds;

    /** Round trips assumed while there is no recent measurement. */
    constexpr milliseconds sameDomainRoundTrip { 1 };
    constexpr milliseconds sameRegionRoundTrip { 4 };
    constexpr milliseconds otherRegionRoundTrip { 30 };

    /** An owner's report is ignored after this time, so that an endpoint that was avoided because of it is tried again.
     */
    constexpr milliseconds observationLifetime { 1000 };
    /** Time for which an unreachable endpoint is tried after the other replicas. */
    constexpr milliseconds unavailableTime { 500 };
    /** Cost of an unreachable endpoint, instead of its round trip and expected wait; other replicas are preferred. */
    constexpr milliseconds unavailableCost { 100000 };
    /** Costs added for an endpoint that is too stale or behind the position, so that others are preferred. */
    constexpr milliseconds staleCost { 10000 };
    constexpr milliseconds behindCost { 20 };

    Duration assumedRoundTrip(
        const EndpointDescription& endpoint, const Configuration& configuration, const FailureDomainId& from)
    {
        if (endpoint.failureDomain == from)
            return sameDomainRoundTrip;
        if (configuration.regionOf(endpoint.failureDomain) == configuration.regionOf(from))
            return sameRegionRoundTrip;
        return otherRegionRoundTrip;
    }

} // namespace

void EndpointTracker::onReply(const EndpointId& endpoint, const ForwardReply& reply, Duration roundTrip, TimePoint now)
{
    Observation& observation = observations_[endpoint];
    observation.position = std::max(observation.position, reply.endpointPosition);
    observation.staleness = reply.endpointStaleness;
    observation.expectedWait = reply.expectedWait;
    observation.smoothedRoundTrip = observation.updatedAt == TimePoint()
        ? roundTrip
        : observation.smoothedRoundTrip + (roundTrip - observation.smoothedRoundTrip) / 8;
    observation.updatedAt = now;
    observation.unavailableUntil = TimePoint();
}

void EndpointTracker::onUnavailable(const EndpointId& endpoint, TimePoint now)
{
    observations_[endpoint].unavailableUntil = now + unavailableTime;
}

std::optional<Milliseconds> EndpointTracker::expectedWait(
    const EndpointId& endpoint, std::size_t rank, TimePoint now) const
{
    const auto found = observations_.find(endpoint);
    if (found == observations_.end() || now - found->second.updatedAt > observationLifetime)
        return std::nullopt;
    const std::vector<Milliseconds>& waits = found->second.expectedWait;
    return rank < waits.size() ? std::optional<Milliseconds>(waits[rank]) : std::nullopt;
}

Duration EndpointTracker::cost(const EndpointDescription& endpoint, const Configuration& configuration,
    const FailureDomainId& from, const ReadRequirements& requirements, TimePoint now) const
{
    const auto found = observations_.find(endpoint.id);
    if (found == observations_.end())
        return assumedRoundTrip(endpoint, configuration, from);
    const Observation& observation = found->second;
    if (observation.unavailableUntil > now)
        return unavailableCost;
    if (now - observation.updatedAt > observationLifetime)
        return assumedRoundTrip(endpoint, configuration, from);
    Duration total = observation.smoothedRoundTrip;
    if (requirements.rank < observation.expectedWait.size())
        total += observation.expectedWait[requirements.rank];
    if (observation.position < requirements.minimumPosition)
        total += behindCost;
    if (requirements.maximumStaleness && observation.staleness > *requirements.maximumStaleness)
        total += staleCost;
    return total;
}

std::vector<EndpointId> EndpointTracker::readOrder(const DatabaseDescription& database,
    const Configuration& configuration, const FailureDomainId& from, const EndpointId& primary,
    const std::vector<EndpointId>& excluded, const ReadRequirements& requirements, TimePoint now) const
{
    std::vector<std::pair<Duration, EndpointId>> order;
    bool hasPrimary = false;
    for (const EndpointDescription& endpoint : database.endpoints) {
        if (std::find(excluded.begin(), excluded.end(), endpoint.id) != excluded.end())
            continue;
        if (endpoint.id == primary)
            hasPrimary = true;
        else
            order.emplace_back(cost(endpoint, configuration, from, requirements, now), endpoint.id);
    }
    std::sort(order.begin(), order.end());
    std::vector<EndpointId> endpoints;
    endpoints.reserve(order.size() + 1);
    for (auto& [unused, endpoint] : order)
        endpoints.push_back(std::move(endpoint));
    if (hasPrimary)
        endpoints.push_back(primary);
    return endpoints;
}

} // namespace almondlever
