#pragma once

#include "almondlever/failover/FailureConfirmation.h"
#include "almondlever/groups/EndpointEntry.h"

namespace almondlever {

/** Asks the other owners of a group whether a primary fails that does not answer this daemon. */
class SuspicionConfirmer {
public:
    virtual ~SuspicionConfirmer() = default;

    /** Queries other owners unless a query is pending. `silentSince` is when the primary stopped answering. */
    virtual FailureConfirmation::Verdict confirm(
        const GroupId&, const EndpointId& primary, TimePoint silentSince, TimePoint now)
        = 0;
    /** To be called when the primary answers again or another endpoint has become primary. */
    virtual void clearSuspicion(const GroupId&) = 0;
};

} // namespace almondlever
