#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Number of a request in the queue of one endpoint; unique within the process. */
using Ticket = std::uint64_t;

/** Scheduling attributes of a request. */
struct QueuedRequest {
    Ticket ticket = 0;
    CallerId caller;
    /** Index of the rank; 0 is the most urgent. */
    std::size_t rank = 0;
    /** Size of the request, which counts against the byte limit of the queue. */
    std::size_t bytes = 0;
    TimePoint arrival;
    TimePoint deadline;
};

/** Reason why a request was not queued; it has not run. */
struct Refusal {
    enum class Reason {
        /** The request could not finish within its deadline. */
        DeadlineTooClose,
        /** The rank's queue is full in requests or bytes. */
        QueueFull,
    };
    Reason reason = Reason::QueueFull;
    /** Time after which a retry may succeed. */
    Milliseconds retryAfter { 0 };
};

/** "deadline_too_close" or "queue_full". */
const char* toText(Refusal::Reason);

/**
 * Determines the order in which requests get the slots of an endpoint. Performs no I/O and does not read the clock.
 *
 * @see RankScheduler for the policy that the daemon uses
 */
class Scheduler {
public:
    virtual ~Scheduler() = default;

    /** Queues a request, or returns the reason for refusing it. */
    virtual std::optional<Refusal> offer(const QueuedRequest&, TimePoint now) = 0;
    /** Removes and returns the request that gets a free slot; nullopt when none is queued. */
    virtual std::optional<QueuedRequest> take(TimePoint now) = 0;
    /** Ends a taken request and reports how long it held its slot. */
    virtual void finish(const QueuedRequest&, Duration slotTime, TimePoint now) = 0;
    /**
     * As finish(), for a slot that was not held by exactly one complete statement: a transaction, a failed statement,
     * or nothing. The slot time is charged to rank and caller, but not used to estimate later statements.
     */
    virtual void release(const QueuedRequest&, Duration slotTime, TimePoint now) = 0;
    /** Removes a queued request, for example because its caller disconnected; false if it is not queued. */
    virtual bool cancel(Ticket) = 0;
    /** Removes and returns the queued requests that can no longer finish within their deadlines. */
    virtual std::vector<QueuedRequest> removeExpired(TimePoint now) = 0;
    /** Number of queued requests. */
    virtual std::size_t size() const = 0;
    /** Sets the current number of slots of the endpoint. */
    virtual void setSlots(std::size_t) = 0;
    /** Expected wait of a request of this rank that arrives now. */
    virtual Duration expectedWait(std::size_t rank, TimePoint now) const = 0;
};

} // namespace almondlever
