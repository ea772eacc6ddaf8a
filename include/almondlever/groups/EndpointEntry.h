#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"
#include "almondlever/sessions/Routing.h"
#include "almondlever/sessions/Statement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace almondlever {

/** The entry that an endpoint maintains about itself in the platform's store. */
struct EndpointEntry {
    EndpointId id;
    GroupId group;
    FailureDomainId failureDomain;
    /** "ip:port"; may be reused by another endpoint later. */
    std::string address;
    /** Number of statements that the endpoint runs concurrently. */
    std::size_t slots = 0;
    /** The endpoint is shutting down and accepts no new work. */
    bool isLeaving = false;
    /** The endpoint's own view; a primary that was superseded during a partition still reports itself as primary. */
    bool reportsPrimary = false;
    /** Unix time of its start. A different value under the same id means that it restarted without its data. */
    Milliseconds startedAt { 0 };
    /** Number of entries the endpoint wrote since its start; orders entries with the same startedAt. */
    std::uint64_t sequence = 0;
    /** Store revision at which the entry was written. */
    std::uint64_t revision = 0;
};

} // namespace almondlever
