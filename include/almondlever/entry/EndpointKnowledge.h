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

/** What a read asks of the endpoint that serves it. */
struct ReadDemand {
    std::size_t rank = 0;
    LogPosition minimumPosition;
    std::optional<Milliseconds> maximumStaleness;
};

/**
 * What an entry daemon learnt of endpoints from the answers to its own requests, and the order in which it tries them
 * for a read. Does no input or output and reads no clock.
 */
class EndpointKnowledge {
public:
    /** Notes an answer: the round trip that the entry daemon saw, and what the owner told. */
    void onReply(const EndpointId&, const ForwardReply&, Duration roundTrip, TimePoint now);
    /** Notes that an endpoint or its owner could not be reached; it is tried last for a while. */
    void onUnavailable(const EndpointId&, TimePoint now);

    /** Expected wait at the endpoint for a rank; nullopt when nothing recent is known. */
    std::optional<Milliseconds> expectedWait(const EndpointId&, std::size_t rank, TimePoint now) const;

    /**
     * Endpoints in the order in which a read should try them: replicas first, by expected time to answer, which counts
     * distance, load, and the time until the replica has reached the position; the primary last.
     */
    std::vector<EndpointId> readOrder(const DatabaseDescription&, const Configuration&, const FailureDomainId& from,
        const EndpointId& primary, const std::vector<EndpointId>& excluded, const ReadDemand&, TimePoint now) const;

private:
    struct Known {
        LogPosition position;
        Milliseconds staleness { 0 };
        std::vector<Milliseconds> expectedWait;
        Duration smoothedRoundTrip { 0 };
        TimePoint updatedAt;
        TimePoint unavailableUntil;
    };

    Duration cost(const EndpointDescription&, const Configuration&, const FailureDomainId& from, const ReadDemand&,
        TimePoint now) const;

    std::unordered_map<EndpointId, Known> known_;
};

} // namespace almondlever
