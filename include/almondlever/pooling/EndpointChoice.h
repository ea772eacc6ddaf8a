#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace almondlever {

/** What is known of an endpoint when a read is placed. */
struct ReadCandidate {
    /** Index that the caller uses for the endpoint. */
    std::size_t index = 0;
    bool isPrimary = false;
    /** It has a connection that can take the statement now. */
    bool hasFreeLink = false;
    /** Statements of this daemon that the endpoint has not answered. */
    std::size_t running = 0;
    /** Statements that the endpoint runs side by side; 0 when it does not say. */
    std::size_t slots = 0;
    /** Smoothed time from sending a statement to its answer. */
    Duration latency { 0 };
    /** Newest position that the endpoint told. */
    LogPosition position;
    /** The endpoint was behind a needed position shortly before, so that it is probably still behind. */
    bool wasLaggingLately = false;
};

/**
 * Places a read on the endpoint that will probably answer first among those that may serve it: the least product of
 * smoothed latency and queue. Latency contains the distance, so near endpoints win while they are not busier. Of the
 * queue counts what this daemon runs there, by the endpoint's slots.
 *
 * @param minimum the position that the read must see
 * @return the index of the chosen candidate; nullopt when none with a free link may serve the read
 */
std::optional<std::size_t> chooseForRead(const std::vector<ReadCandidate>&, const LogPosition& minimum);

} // namespace almondlever
