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

/** What the scheduler needs to know of a request. */
struct QueuedRequest {
    Ticket ticket = 0;
    CallerId caller;
    /** Index of the rank; 0 is the most urgent. */
    std::size_t rank = 0;
    /** Size of the request as it counts against the bound of the queue. */
    std::size_t bytes = 0;
    TimePoint arrival;
    TimePoint deadline;
};

/** Why a request is not queued. It has not run. */
struct Refusal {
    enum class Reason {
        /** It could not finish inside its deadline. */
        DeadlineTooClose,
        /** The rank's queue is full in requests or bytes. */
        QueueFull,
    };
    Reason reason = Reason::QueueFull;
    /** Time after which a repeat has a chance. */
    Milliseconds retryAfter { 0 };
};

/** "deadline_too_close" or "queue_full". */
const char* toText(Refusal::Reason);

/**
 * Order in which the requests for one endpoint get its slots. Does no input or output and reads no clock.
 *
 * @see RankScheduler for the order that the daemon uses
 */
class Scheduler {
public:
    virtual ~Scheduler() = default;

    /** Queues a request, or says why not. */
    virtual std::optional<Refusal> offer(const QueuedRequest&, TimePoint now) = 0;
    /** Takes the request that gets a free slot; nullopt when nothing waits. */
    virtual std::optional<QueuedRequest> take(TimePoint now) = 0;
    /** Tells how long a taken request held its slot. */
    virtual void finish(const QueuedRequest&, Duration slotTime, TimePoint now) = 0;
    /**
     * As finish, for a slot that was held by something else than one whole statement: a transaction, a statement that
     * failed, or nothing. The slot time is charged to rank and caller, but says nothing about later statements.
     */
    virtual void release(const QueuedRequest&, Duration slotTime, TimePoint now) = 0;
    /** Removes a queued request, for example because its caller went away; false when it is not queued. */
    virtual bool cancel(Ticket) = 0;
    /** Removes and returns the queued requests that can no longer finish inside their deadline. */
    virtual std::vector<QueuedRequest> removeExpired(TimePoint now) = 0;
    /** Number of queued requests. */
    virtual std::size_t size() const = 0;
    /** Sets how many slots the endpoint bears at present. */
    virtual void setSlots(std::size_t) = 0;
    /** Expected wait of a request of this rank that arrives now. */
    virtual Duration expectedWait(std::size_t rank, TimePoint now) const = 0;
};

} // namespace almondlever
