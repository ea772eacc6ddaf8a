#pragma once

#include "almondlever/admission/Scheduler.h"
#include "almondlever/wire/Messages.h"

#include <functional>
#include <string>

namespace almondlever {

/** A forwarded request while its owner works on it. */
struct ForwardJob {
    ForwardRequest request;
    TimePoint arrival;
    TimePoint deadline;
    std::function<void(ForwardReply, TimePoint now)> callback;
    /** Not looked at again before this moment. */
    TimePoint notBefore;
    /** End of the wait for a replica to reach the position of the read. */
    TimePoint positionWaitEnd;
    QueuedRequest queued;

    bool isRead() const
    {
        return request.kind == ForwardKind::Statement && request.operation == OperationKind::Read
            && request.transaction.isEmpty();
    }
    /** True for work that only the primary may do. */
    bool needsPrimary() const { return !isRead() || request.needsConfirmedLeadership; }
    /** Size as it counts against the bounds of the queue. */
    std::size_t bytes() const
    {
        return sizeof(ForwardJob) + request.key.size() + request.value.size() + request.traceparent.size();
    }
};

} // namespace almondlever
