#pragma once

#include "almondlever/failover/FailureConfirmation.h"
#include "almondlever/groups/EndpointEntry.h"

namespace almondlever {

/** What other owners of a group say of a primary that gives this daemon no answer. */
class PrimaryDoubts {
public:
    virtual ~PrimaryDoubts() = default;

    /** Asks others when no question is open. `doubtedSince` is when the primary's silence began. */
    virtual FailureConfirmation::Verdict judge(
        const GroupId&, const EndpointId& primary, TimePoint doubtedSince, TimePoint now)
        = 0;
    /** The primary answers again, or another one leads. */
    virtual void forget(const GroupId&) = 0;
};

} // namespace almondlever
