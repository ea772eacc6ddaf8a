#include "almondlever/admission/RankScheduler.h"

#include "FloorAccount.h"
#include "RankQueue.h"
#include "ServiceEstimate.h"

#include <algorithm>
#include <cassert>
#include <limits>

namespace almondlever {

namespace {

    /** Upper bound of retry delays; the load cannot be predicted further ahead. */
    constexpr Duration longestRetryAfter = std::chrono::seconds(30);
    /** Upper bound of wait estimates; far beyond any deadline, and small enough to be added without overflow. */
    constexpr double longestWaitSeconds = 3600;

    /** Bounds for how long a caller is passed over because of what other owners reported; reports are seconds old. */
    constexpr Duration longestLeadElsewhere = std::chrono::seconds(1);

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(std::min(seconds, longestWaitSeconds)));
    }

} // namespace

const char* toText(Refusal::Reason reason)
{
    return reason == Refusal::Reason::DeadlineTooClose ? "deadline_too_close" : "queue_full";
}

struct RankScheduler::RankState {
    explicit RankState(const RankRule& given)
        : rule(given)
        , account(given.floor)
    {
    }

    /**
     * Time to reserve for running a request of the rank. Zero if none runs and no other request is queued: a request
     * must run even if the estimate exceeds its deadline, because only completed requests update the estimate.
     */
    Duration allowance(std::size_t othersQueued) const
    {
        return queue.running() == 0 && othersQueued == 0 ? Duration(0) : service.allowance();
    }

    RankRule rule;
    FloorAccount account;
    ServiceEstimate service;
    RankQueue queue;
};

RankScheduler::RankScheduler(const std::vector<RankRule>& ranks, std::size_t slots, double floorWaitShare)
    : slots_(slots)
    , floorWaitShare_(floorWaitShare)
{
    assert(!ranks.empty());
    ranks_.reserve(ranks.size());
    for (const RankRule& rule : ranks)
        ranks_.emplace_back(rule);
}

RankScheduler::~RankScheduler() = default;

std::optional<Refusal> RankScheduler::offer(const QueuedRequest& request, TimePoint now)
{
    assert(request.rank < ranks_.size());
    advance(now);
    RankState& rank = ranks_[request.rank];
    dropExpired(rank, now);
    const std::size_t ahead = requestsAhead(rank, request.caller);
    const Duration wait = waitBehind(request.rank, ahead, now);
    const Duration left = request.deadline - now;
    const Duration needed = wait + rank.allowance(rank.queue.size());
    if (left <= Duration(0) || needed > left)
        return refuse(Refusal::Reason::DeadlineTooClose, needed - std::max(left, Duration(0)));
    if (!makeRoom(rank, request))
        return refuse(Refusal::Reason::QueueFull, waitBehind(request.rank, rank.queue.size(), now) / 2);
    rank.queue.push(request);
    return std::nullopt;
}

std::optional<QueuedRequest> RankScheduler::take(TimePoint now)
{
    advance(now);
    for (RankState& rank : ranks_)
        dropExpired(rank, now);
    const std::optional<std::size_t> chosen = chooseRank(now);
    if (!chosen)
        return std::nullopt;
    RankState& rank = ranks_[*chosen];
    const Duration expected = rank.service.mean();
    const bool wasBelowFloor = rank.account.isBelowFloor(slots_);
    std::optional<QueuedRequest> request = rank.queue.pop(expected);
    const Duration creditUsed = rank.account.charge(expected, slots_, wasBelowFloor);
    running_[request->ticket] = Running { *chosen, expected, creditUsed, wasBelowFloor };
    return request;
}

void RankScheduler::finish(const QueuedRequest& request, Duration slotTime, TimePoint now)
{
    endRunning(request, slotTime, now, true);
}

void RankScheduler::release(const QueuedRequest& request, Duration slotTime, TimePoint now)
{
    endRunning(request, slotTime, now, false);
}

void RankScheduler::endRunning(const QueuedRequest& request, Duration slotTime, TimePoint now, bool isStatement)
{
    const auto found = running_.find(request.ticket);
    if (found == running_.end())
        return;
    advance(now);
    const Running running = found->second;
    running_.erase(found);
    RankState& rank = ranks_[running.rank];
    if (isStatement)
        rank.service.add(slotTime);
    if (slotTime >= running.charged)
        rank.account.charge(slotTime - running.charged, slots_, running.isBelowFloor);
    else
        rank.account.refund(running.charged - slotTime, std::max(running.creditUsed - slotTime, Duration(0)));
    rank.queue.finish(request.caller, slotTime - running.charged);
}

void RankScheduler::noteUsedElsewhere(const CallerId& caller, Duration slotTime)
{
    // Reports do not tell ranks apart.
    for (RankState& rank : ranks_)
        rank.queue.chargeElsewhere(caller, slotTime, longestLeadElsewhere);
}

bool RankScheduler::cancel(Ticket ticket)
{
    if (dropped_.erase(ticket) > 0)
        return true;
    return std::any_of(
        ranks_.begin(), ranks_.end(), [&](RankState& rank) { return rank.queue.remove(ticket).has_value(); });
}

std::vector<QueuedRequest> RankScheduler::removeExpired(TimePoint now)
{
    for (RankState& rank : ranks_)
        dropExpired(rank, now);
    std::vector<QueuedRequest> removed;
    removed.reserve(dropped_.size());
    for (auto& [ticket, request] : dropped_)
        removed.push_back(std::move(request));
    dropped_.clear();
    return removed;
}

std::size_t RankScheduler::size() const
{
    std::size_t total = 0;
    for (const RankState& rank : ranks_)
        total += rank.queue.size();
    return total;
}

void RankScheduler::setSlots(std::size_t slots) { slots_ = slots; }

Duration RankScheduler::expectedWait(std::size_t rank, TimePoint now) const
{
    assert(rank < ranks_.size());
    return waitBehind(rank, ranks_[rank].queue.size(), now);
}

void RankScheduler::advance(TimePoint now)
{
    if (now <= advancedTo_)
        return;
    const Duration elapsed = now - advancedTo_;
    advancedTo_ = now;
    for (RankState& rank : ranks_)
        rank.account.advance(elapsed, slots_, rank.queue.size() > 0, rank.service.mean());
}

bool RankScheduler::claimsFloor(const RankState& rank, TimePoint now) const
{
    if (!rank.account.isBelowFloor(slots_))
        return false;
    const QueuedRequest* earliest = rank.queue.earliestDeadline();
    return earliest
        && toSeconds(now - earliest->arrival) >= floorWaitShare_ * toSeconds(earliest->deadline - earliest->arrival);
}

std::optional<std::size_t> RankScheduler::chooseRank(TimePoint now) const
{
    std::optional<std::size_t> mostUrgent;
    std::optional<std::size_t> furthestBelow;
    for (std::size_t index = 0; index < ranks_.size(); ++index) {
        const RankState& rank = ranks_[index];
        if (rank.queue.size() == 0)
            continue;
        if (!mostUrgent)
            mostUrgent = index;
        if (!claimsFloor(rank, now))
            continue;
        if (!furthestBelow || rank.account.shortfall() > ranks_[*furthestBelow].account.shortfall())
            furthestBelow = index;
    }
    return furthestBelow ? furthestBelow : mostUrgent;
}

void RankScheduler::dropExpired(RankState& rank, TimePoint now)
{
    while (rank.queue.size() > 0) {
        const TimePoint bound = now + rank.allowance(rank.queue.size() - 1);
        std::optional<QueuedRequest> expired = rank.queue.removeExpiredBefore(bound);
        if (!expired)
            return;
        const Ticket ticket = expired->ticket;
        dropped_.emplace(ticket, std::move(*expired));
    }
}

bool RankScheduler::makeRoom(RankState& rank, const QueuedRequest& request)
{
    const auto fits = [&](std::size_t requests, std::size_t bytes) {
        return requests + 1 <= rank.rule.queueRequests && bytes + request.bytes <= rank.rule.queueBytes;
    };
    if (fits(rank.queue.size(), rank.queue.bytes()))
        return true;
    const QueuedRequest* newest = rank.queue.newestOfLongest();
    if (!newest || !fits(rank.queue.size() - 1, rank.queue.bytes() - newest->bytes))
        return false;
    if (rank.queue.queuedOf(newest->caller) <= rank.queue.queuedOf(request.caller) + 1)
        return false;
    const Ticket ticket = newest->ticket;
    dropped_.emplace(ticket, *rank.queue.remove(ticket));
    return true;
}

std::size_t RankScheduler::requestsAhead(const RankState& rank, const CallerId& caller) const
{
    // Callers take turns, so at most as many requests of each other caller run first as this caller has, including the
    // new one.
    const std::size_t own = rank.queue.queuedOf(caller);
    const std::size_t peers = rank.queue.backloggedCallers() - (own > 0 ? 1 : 0);
    return std::min(rank.queue.size(), own + peers * (own + 1));
}

Duration RankScheduler::waitBehind(std::size_t rank, std::size_t requestsAhead, TimePoint now) const
{
    const double slots = static_cast<double>(std::max<std::size_t>(slots_, 1));
    const RankState& own = ranks_[rank];
    const double ownWork = static_cast<double>(requestsAhead) * toSeconds(own.service.mean());
    double urgentWork = 0;
    for (std::size_t index = 0; index < rank; ++index)
        urgentWork += static_cast<double>(ranks_[index].queue.size()) * toSeconds(ranks_[index].service.mean());
    const bool isBusy = static_cast<double>(running_.size()) >= slots;
    if (!isBusy && ownWork + urgentWork <= 0)
        return Duration(0);
    const double untilSlotFree = isBusy ? toSeconds(own.service.mean()) / slots : 0;
    const double share = priorityShare(rank, now);
    const double byPriority = share > 0 ? (ownWork + urgentWork) / (slots * share) : longestWaitSeconds;
    const double floor = own.account.floor();
    const double byFloor = floor > 0 ? ownWork / (slots * floor) : longestWaitSeconds;
    return fromSeconds(untilSlotFree + std::min(byPriority, byFloor));
}

double RankScheduler::priorityShare(std::size_t rank, TimePoint now) const
{
    const Duration elapsed = std::max(now - advancedTo_, Duration(0));
    double share = 1;
    for (std::size_t index = 0; index < ranks_.size(); ++index) {
        if (index == rank)
            continue;
        const FloorAccount& account = ranks_[index].account;
        const double used = account.usedShare(elapsed, slots_);
        share -= index < rank ? used : std::min(used, account.floor());
    }
    return share;
}

Refusal RankScheduler::refuse(Refusal::Reason reason, Duration retryAfter) const
{
    const Duration bounded = std::clamp<Duration>(retryAfter, std::chrono::milliseconds(1), longestRetryAfter);
    return Refusal { reason, std::chrono::ceil<Milliseconds>(bounded) };
}

} // namespace almondlever
