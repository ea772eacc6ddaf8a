#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"
#include "almondlever/config/Configuration.h"
#include "almondlever/wire/Messages.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace almondlever {

/** What a read requires of the endpoint that serves it. */
struct ReadRequirements {
    std::size_t rank = 0;
    LogPosition minimumPosition;
    std::optional<Milliseconds> maximumStaleness;
};

/**
 * Records what the answers to an entry daemon's own requests show about endpoints, and determines the order in which a
 * read should try them. Performs no I/O and reads no clock.
 */
class EndpointTracker {
public:
    /** Records an answer: the round trip measured by the entry daemon, and the state reported by the owner. */
    void onReply(const EndpointId&, const ForwardReply&, Duration roundTrip, TimePoint now);
    /** Records that an endpoint or its owner could not be reached; reads try it after the other replicas for a while.
     */
    void onUnavailable(const EndpointId&, TimePoint now);

    /** Returns the expected wait of a rank at the endpoint; nullopt without a recent report. */
    std::optional<Milliseconds> expectedWait(const EndpointId&, std::size_t rank, TimePoint now) const;

    /**
     * Returns the endpoints in the order in which a read should try them: replicas by expected response time, which is
     * estimated from round trip, load, position and staleness, then the primary.
     */
    std::vector<EndpointId> readOrder(const DatabaseDescription&, const Configuration&, const FailureDomainId& from,
        const EndpointId& primary, const std::vector<EndpointId>& excluded, const ReadRequirements&,
        TimePoint now) const;

private:
    struct Observation {
        LogPosition position;
        Milliseconds staleness { 0 };
        std::vector<Milliseconds> expectedWait;
        Duration smoothedRoundTrip { 0 };
        TimePoint updatedAt;
        TimePoint unavailableUntil;
    };

    Duration cost(const EndpointDescription&, const Configuration&, const FailureDomainId& from,
        const ReadRequirements&, TimePoint now) const;

    std::unordered_map<EndpointId, Observation> observations_;
};

} // namespace almondlever
