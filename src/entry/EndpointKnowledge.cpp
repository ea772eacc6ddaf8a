#include "almondlever/entry/EndpointKnowledge.h"

#include <algorithm>

namespace almondlever {

namespace {

    using std::chrono::milliseconds;

    /** Round trips assumed before any was measured. */
    constexpr milliseconds sameDomainRoundTrip { 1 };
    constexpr milliseconds sameRegionRoundTrip { 4 };
    constexpr milliseconds otherRegionRoundTrip { 30 };

    /** Load and position told by an owner are forgotten after this time, so that an avoided endpoint is tried again. */
    constexpr milliseconds knowledgeLifetime { 1000 };
    /** Time for which an endpoint that could not be reached is tried last. */
    constexpr milliseconds unavailablePenaltyTime { 500 };
    /** Costs that put an endpoint behind all that are not affected. */
    constexpr milliseconds unavailableCost { 100000 };
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

void EndpointKnowledge::onReply(
    const EndpointId& endpoint, const ForwardReply& reply, Duration roundTrip, TimePoint now)
{
    Known& known = known_[endpoint];
    known.position = std::max(known.position, reply.endpointPosition);
    known.staleness = reply.endpointStaleness;
    known.expectedWait = reply.expectedWait;
    known.smoothedRoundTrip = known.updatedAt == TimePoint()
        ? roundTrip
        : known.smoothedRoundTrip + (roundTrip - known.smoothedRoundTrip) / 8;
    known.updatedAt = now;
    known.unavailableUntil = TimePoint();
}

void EndpointKnowledge::onUnavailable(const EndpointId& endpoint, TimePoint now)
{
    known_[endpoint].unavailableUntil = now + unavailablePenaltyTime;
}

std::optional<Milliseconds> EndpointKnowledge::expectedWait(
    const EndpointId& endpoint, std::size_t rank, TimePoint now) const
{
    const auto found = known_.find(endpoint);
    if (found == known_.end() || now - found->second.updatedAt > knowledgeLifetime)
        return std::nullopt;
    const std::vector<Milliseconds>& waits = found->second.expectedWait;
    return rank < waits.size() ? std::optional<Milliseconds>(waits[rank]) : std::nullopt;
}

Duration EndpointKnowledge::cost(const EndpointDescription& endpoint, const Configuration& configuration,
    const FailureDomainId& from, const ReadDemand& demand, TimePoint now) const
{
    const auto found = known_.find(endpoint.id);
    if (found == known_.end())
        return assumedRoundTrip(endpoint, configuration, from);
    const Known& known = found->second;
    if (known.unavailableUntil > now)
        return unavailableCost;
    if (now - known.updatedAt > knowledgeLifetime)
        return assumedRoundTrip(endpoint, configuration, from);
    Duration total = known.smoothedRoundTrip;
    if (demand.rank < known.expectedWait.size())
        total += known.expectedWait[demand.rank];
    if (known.position < demand.minimumPosition)
        total += behindCost;
    if (demand.maximumStaleness && known.staleness > *demand.maximumStaleness)
        total += staleCost;
    return total;
}

std::vector<EndpointId> EndpointKnowledge::readOrder(const DatabaseDescription& database,
    const Configuration& configuration, const FailureDomainId& from, const EndpointId& primary,
    const std::vector<EndpointId>& excluded, const ReadDemand& demand, TimePoint now) const
{
    std::vector<std::pair<Duration, EndpointId>> order;
    bool hasPrimary = false;
    for (const EndpointDescription& endpoint : database.endpoints) {
        if (std::find(excluded.begin(), excluded.end(), endpoint.id) != excluded.end())
            continue;
        if (endpoint.id == primary)
            hasPrimary = true;
        else
            order.emplace_back(cost(endpoint, configuration, from, demand, now), endpoint.id);
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
