#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace almondlever {

/** State of an endpoint that the placement of a read takes into account. */
struct ReadCandidate {
    /** Index that the caller uses for the endpoint. */
    std::size_t index = 0;
    bool isPrimary = false;
    /** The endpoint answers and is not leaving, whether or not a connection is free. */
    bool isUsable = false;
    /** The endpoint has an idle connection, and its concurrency window admits another statement. */
    bool hasFreeConnection = false;
    /** Statements of this daemon that the endpoint has not answered. */
    std::size_t running = 0;
    /** Number of statements that the endpoint runs concurrently; 0 when it is not known. */
    std::size_t slots = 0;
    /** Smoothed time from sending a statement to its answer. */
    Duration latency { 0 };
    /** Time until a connection is open, if one must be opened for the statement. */
    Duration openingTime { 0 };
    /** Latest log position that the endpoint reported. */
    LogPosition position;
    /** The endpoint recently refused a read as lagging, so it is probably still behind. */
    bool wasLaggingLately = false;
};

/** False if the endpoint probably lacks the log position that a read must see. */
bool isPossible(const ReadCandidate&, const LogPosition& minimum);

/**
 * Selects the endpoint with the lowest expected response time among those that may serve a read. The estimate is the
 * smoothed latency, which includes the network round trip, multiplied by a queue factor: the number of statements of
 * this daemon that run there, divided by the endpoint's slots, plus one. The time to open a connection is added.
 *
 * @param minimum the log position that the read must see
 * @return the index of the selected candidate; nullopt when none with a free connection may serve the read
 */
std::optional<std::size_t> selectReadEndpoint(const std::vector<ReadCandidate>&, const LogPosition& minimum);

} // namespace almondlever
