#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"

namespace almondlever {

/** Takes what traffic shows of a group's primary to the control thread. */
class PrimaryEvidence {
public:
    virtual ~PrimaryEvidence() = default;

    /** The primary answered a statement in a term. */
    virtual void primaryAnswered(const DatabaseId&, const EndpointId&, Term) = 0;
    /** The primary did not answer, or says that it does not lead. */
    virtual void primaryFailed(const DatabaseId&, const EndpointId&) = 0;
    /** Writes are paused for a planned change, none runs, and the primary's log ends here. */
    virtual void writesPaused(const DatabaseId&, const EndpointId&, LogPosition logEnd) = 0;
};

} // namespace almondlever
