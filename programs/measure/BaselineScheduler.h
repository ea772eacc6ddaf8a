#pragma once

#include "admission/ServiceEstimate.h"
#include "almondlever/admission/Scheduler.h"
#include "almondlever/config/Configuration.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace almondlever::measure {

/**
 * Common part of the orders that RankScheduler is measured against: queues by rank with the same bounds, first come
 * first served inside a rank, requests dropped once their deadline has passed. Requests of a rank arrive in the order
 * of their deadlines.
 */
class BaselineScheduler : public Scheduler {
public:
    /** When a queued request is given up. */
    enum class Expiry {
        /** Once its deadline has passed. */
        AtDeadline,
        /** Once the deadline leaves too little time for its service, by the same estimate as in RankScheduler. */
        BeforeService,
    };

    BaselineScheduler(const std::vector<RankRule>& ranks, std::size_t slots, Expiry = Expiry::AtDeadline);

    std::optional<Refusal> offer(const QueuedRequest&, TimePoint now) override;
    std::optional<QueuedRequest> take(TimePoint now) override;
    void finish(const QueuedRequest&, Duration slotTime, TimePoint now) override;
    void release(const QueuedRequest&, Duration slotTime, TimePoint now) override;
    bool cancel(Ticket) override;
    std::vector<QueuedRequest> removeExpired(TimePoint now) override;
    std::size_t size() const override;
    void setSlots(std::size_t) override;
    Duration expectedWait(std::size_t rank, TimePoint now) const override;

protected:
    struct RankState {
        RankRule rule;
        std::map<Ticket, QueuedRequest> queue;
        std::size_t bytes = 0;
        ServiceEstimate service;
        /** Slot seconds received, divided by the weight; used by weighted fair queueing. */
        double virtualTime = 0;
    };

    /** The rank that gets the slot; at least one rank has queued requests. */
    virtual RankState& chooseRank() = 0;
    virtual void prepareArrival(RankState&) { }

    std::vector<RankState>& ranks() { return ranks_; }

private:
    std::vector<RankState> ranks_;
    std::size_t slots_;
    Expiry expiry_;
};

/** Names that makeScheduler() knows, the daemon's own order first. */
const std::vector<std::string>& schedulerNames();

/** A scheduler by its name; null for an unknown name. */
std::unique_ptr<Scheduler> makeScheduler(
    const std::string& name, const std::vector<RankRule>& ranks, std::size_t slots);

} // namespace almondlever::measure
