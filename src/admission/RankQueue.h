#pragma once

#include "almondlever/admission/Scheduler.h"

#include <list>
#include <set>
#include <tuple>
#include <unordered_map>

namespace almondlever {

/**
 * Queue of one rank. Callers share slot time by start-time fair queueing: the caller with the least virtual time goes
 * first, and a returning caller starts at the current virtual time, so that idle callers accumulate no credit.
 */
class RankQueue {
public:
    /** The ticket must not be queued yet. */
    void push(const QueuedRequest&);
    /** Removes the next request and charges its caller the expected slot time; nullopt when empty. */
    std::optional<QueuedRequest> pop(Duration expectedSlotTime);
    /** Ends a popped request: corrects the charge by the difference between actual and expected slot time. */
    void finish(const CallerId&, Duration correction);
    /** Charges a caller slot time that it used outside of this queue, up to a lead over the current virtual time. */
    void chargeElsewhere(const CallerId&, Duration slotTime, Duration longestLead);
    std::optional<QueuedRequest> remove(Ticket);
    /** Removes the request with the earliest deadline if that lies before the bound. */
    std::optional<QueuedRequest> removeExpiredBefore(TimePoint bound);
    /** The request with the earliest deadline; null when empty. */
    const QueuedRequest* earliestDeadline() const;
    /** Newest request of the caller with the most queued requests; null when empty. */
    const QueuedRequest* newestOfLongest() const;

    std::size_t size() const { return locations_.size(); }
    std::size_t bytes() const { return bytes_; }
    /** Number of popped requests that have not finished. */
    std::size_t running() const { return running_; }
    std::size_t queuedOf(const CallerId&) const;
    std::size_t backloggedCallers() const { return byVirtualTime_.size(); }

private:
    struct Caller {
        std::list<QueuedRequest> waiting;
        Duration virtualTime { 0 };
        std::uint64_t sequence = 0;
        std::size_t running = 0;
    };
    using Callers = std::unordered_map<CallerId, Caller>;
    struct Location {
        Callers::iterator caller;
        std::list<QueuedRequest>::iterator request;
    };
    /** The sequence number makes the order deterministic. */
    template <typename Measure> struct Key {
        Measure measure;
        std::uint64_t sequence;
        Callers::value_type* caller;
        friend bool operator<(const Key& left, const Key& right)
        {
            return std::tie(left.measure, left.sequence) < std::tie(right.measure, right.sequence);
        }
    };
    using TimeKey = Key<Duration>;
    using LengthKey = Key<std::size_t>;

    void index(Callers::value_type&);
    void unindex(Callers::value_type&);
    QueuedRequest extract(std::unordered_map<Ticket, Location>::iterator);
    void removeIdleCallers();

    Callers callers_;
    std::unordered_map<Ticket, Location> locations_;
    std::set<TimeKey> byVirtualTime_;
    std::set<LengthKey> byLength_;
    /** Callers without queued or running requests whose virtual time is still ahead. */
    std::set<TimeKey> idle_;
    std::set<std::pair<TimePoint, Ticket>> byDeadline_;
    Duration virtualTime_ { 0 };
    std::uint64_t nextSequence_ = 0;
    std::size_t bytes_ = 0;
    std::size_t running_ = 0;
};

} // namespace almondlever
