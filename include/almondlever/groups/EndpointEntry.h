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

/** What an endpoint says of itself in the platform's store. */
struct EndpointEntry {
    EndpointId id;
    GroupId group;
    FailureDomainId failureDomain;
    /** "ip:port"; another endpoint may use it later. */
    std::string address;
    std::size_t slots = 0;
    /** It will stop soon and takes no new work. */
    bool isLeaving = false;
    /** Its own view; a primary that was superseded behind a partition still says so. */
    bool saysPrimary = false;
    /** Unix time of its start; another value under the same id means that it lost what it held. */
    Milliseconds startedAt { 0 };
    /** Counts what the endpoint wrote since its start; orders two entries of one life. */
    std::uint64_t sequence = 0;
    /** Revision of the store at which the entry was written. */
    std::uint64_t revision = 0;
};

} // namespace almondlever
