#pragma once

#include "almondlever/admission/Scheduler.h"
#include "almondlever/config/Configuration.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace almondlever {

/**
 * Schedules slots by rank, with a minimum share (floor) per rank. A free slot goes to the backlogged rank that is
 * furthest below its floor, otherwise to the most urgent backlogged rank. With a floor wait share, a rank
 * claims its floor only once one of its requests has waited for that share of its time to the deadline. Without it, a
 * rank with few requests would always be below its floor and precede urgent requests. Within a rank, the caller that
 * has used the least slot time comes first, and within a caller the oldest request.
 *
 * A request that cannot finish within its deadline is refused on arrival, or dropped by take() if it expires in the
 * queue. When a rank's queue is full, a request of a caller with fewer queued requests displaces the newest
 * request of the caller with the most. The owner calls removeExpired() after each offer() and take() to answer such
 * requests.
 *
 * Every operation takes O(ranks + log queued) time, amortised. Not thread-safe.
 *
 * @see Scheduler, ConcurrencyLimiter
 */
class RankScheduler final : public Scheduler {
public:
    /**
     * The ranks in order of urgency and the slots of the endpoint. At least one rank; floors sum to at most 1.
     *
     * @param floorWaitShare share of the time from arrival to deadline that a request waits before its rank claims its
     *        floor, from 0 to 1
     */
    RankScheduler(const std::vector<RankRule>& ranks, std::size_t slots, double floorWaitShare = 0);
    ~RankScheduler() override;
    RankScheduler(const RankScheduler&) = delete;
    RankScheduler& operator=(const RankScheduler&) = delete;

    std::optional<Refusal> offer(const QueuedRequest&, TimePoint now) override;
    std::optional<QueuedRequest> take(TimePoint now) override;
    void finish(const QueuedRequest&, Duration slotTime, TimePoint now) override;
    void release(const QueuedRequest&, Duration slotTime, TimePoint now) override;
    /**
     * Counts slot time that other owners of the endpoint gave to a caller since the last call for it, so that callers
     * share the slots of all owners. The caller's share elsewhere delays it here by a second of slot time at most.
     */
    void noteUsedElsewhere(const CallerId&, Duration slotTime);
    bool cancel(Ticket) override;
    /** Also returns the requests that were displaced from a full queue or dropped by take(). None of them has run. */
    std::vector<QueuedRequest> removeExpired(TimePoint now) override;
    /** Number of requests that wait for a slot; dropped requests are not counted. */
    std::size_t size() const override;
    /** Zero stops the endpoint; waits are then estimated as if it had one slot. */
    void setSlots(std::size_t) override;
    /** Assumes that the whole queue of the rank is ahead of the request. */
    Duration expectedWait(std::size_t rank, TimePoint now) const override;

private:
    struct RankState;
    /** A request that holds a slot. */
    struct Running {
        std::size_t rank = 0;
        Duration charged { 0 };
        /** Part of the charge that was taken from the rank's credit. */
        Duration creditUsed { 0 };
        bool isBelowFloor = false;
    };

    void endRunning(const QueuedRequest&, Duration slotTime, TimePoint now, bool isStatement);
    void advance(TimePoint now);
    std::optional<std::size_t> chooseRank(TimePoint now) const;
    /** True if the rank is below its floor and a request has waited for the floor wait share. */
    bool claimsFloor(const RankState&, TimePoint now) const;
    void dropExpired(RankState&, TimePoint now);
    bool makeRoom(RankState&, const QueuedRequest&);
    Duration waitBehind(std::size_t rank, std::size_t requestsAhead, TimePoint now) const;
    std::size_t requestsAhead(const RankState&, const CallerId&) const;
    double priorityShare(std::size_t rank, TimePoint now) const;
    Refusal refuse(Refusal::Reason, Duration retryAfter) const;

    std::vector<RankState> ranks_;
    std::size_t slots_;
    double floorWaitShare_;
    TimePoint advancedTo_;
    std::unordered_map<Ticket, Running> running_;
    /** Requests that expired or were displaced, until removeExpired() returns them. */
    std::map<Ticket, QueuedRequest> dropped_;
};

} // namespace almondlever
