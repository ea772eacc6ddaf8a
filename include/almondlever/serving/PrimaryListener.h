#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"

namespace almondlever {

/** Receives what the traffic thread observes of a group's primary, and passes it to the control thread. */
class PrimaryListener {
public:
    virtual ~PrimaryListener() = default;

    /** The primary answered a statement in this term. */
    virtual void primaryAnswered(const DatabaseId&, const EndpointId&, Term) = 0;
    /** The primary did not answer in time, or answered that it is not the primary. */
    virtual void primaryFailed(const DatabaseId&, const EndpointId&) = 0;
    /** Writes are paused for a planned primary change, none is running, and the primary's log ends at logEnd. */
    virtual void writesPaused(const DatabaseId&, const EndpointId&, LogPosition logEnd) = 0;
};

} // namespace almondlever
