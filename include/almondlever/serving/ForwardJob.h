#pragma once

#include "almondlever/admission/Scheduler.h"
#include "almondlever/wire/Messages.h"

#include <functional>
#include <string>

namespace almondlever {

/** A forwarded request with its state at the daemon that owns the endpoint. */
struct ForwardJob {
    ForwardRequest request;
    TimePoint arrival;
    TimePoint deadline;
    std::function<void(ForwardReply, TimePoint now)> callback;
    /** Earliest time of the next attempt after a refusal by the endpoint. */
    TimePoint notBefore;
    /** Until when a read waits for the replica to reach its minimum position. */
    TimePoint positionWaitEnd;
    QueuedRequest queued;

    bool isRead() const
    {
        return request.kind == ForwardKind::Statement && request.operation == OperationKind::Read
            && request.transaction.isEmpty();
    }
    /** True when only the primary may run the request. */
    bool needsPrimary() const { return !isRead() || request.needsConfirmedLeadership; }
    /** Size that counts against the byte limit of the queue. */
    std::size_t bytes() const
    {
        return sizeof(ForwardJob) + request.key.size() + request.value.size() + request.traceparent.size();
    }
};

} // namespace almondlever
