#include "BaselineScheduler.h"

#include "almondlever/admission/RankScheduler.h"

#include <algorithm>

namespace almondlever::measure {

namespace {

    class FirstComeFirstServed final : public BaselineScheduler {
    public:
        using BaselineScheduler::BaselineScheduler;

    private:
        RankState& chooseRank() override
        {
            RankState* chosen = nullptr;
            for (RankState& rank : ranks())
                if (!rank.queue.empty() && (!chosen || rank.queue.begin()->first < chosen->queue.begin()->first))
                    chosen = &rank;
            return *chosen;
        }
    };

    class StrictPriority final : public BaselineScheduler {
    public:
        using BaselineScheduler::BaselineScheduler;

    private:
        RankState& chooseRank() override
        {
            return *std::find_if(
                ranks().begin(), ranks().end(), [](const RankState& rank) { return !rank.queue.empty(); });
        }
    };

    class EarliestDeadlineFirst final : public BaselineScheduler {
    public:
        using BaselineScheduler::BaselineScheduler;

    private:
        RankState& chooseRank() override
        {
            RankState* chosen = nullptr;
            for (RankState& rank : ranks()) {
                if (rank.queue.empty())
                    continue;
                if (!chosen || rank.queue.begin()->second.deadline < chosen->queue.begin()->second.deadline)
                    chosen = &rank;
            }
            return *chosen;
        }
    };

    /** Weights are the floors. */
    class WeightedFairQueueing final : public BaselineScheduler {
    public:
        using BaselineScheduler::BaselineScheduler;

    private:
        RankState& chooseRank() override
        {
            RankState* chosen = nullptr;
            for (RankState& rank : ranks())
                if (!rank.queue.empty() && (!chosen || rank.virtualTime < chosen->virtualTime))
                    chosen = &rank;
            virtualTime_ = std::max(virtualTime_, chosen->virtualTime);
            chosen->virtualTime += std::chrono::duration<double>(chosen->service.mean()).count() / chosen->rule.floor;
            return *chosen;
        }

        void prepareArrival(RankState& rank) override
        {
            if (rank.queue.empty())
                rank.virtualTime = std::max(rank.virtualTime, virtualTime_);
        }

        double virtualTime_ = 0;
    };

} // namespace

BaselineScheduler::BaselineScheduler(const std::vector<RankRule>& ranks, std::size_t slots, Expiry expiry)
    : slots_(slots)
    , expiry_(expiry)
{
    for (const RankRule& rule : ranks) {
        ranks_.emplace_back();
        ranks_.back().rule = rule;
    }
}

std::optional<Refusal> BaselineScheduler::offer(const QueuedRequest& request, TimePoint now)
{
    RankState& rank = ranks_[request.rank];
    const bool isFull
        = rank.queue.size() + 1 > rank.rule.queueRequests || rank.bytes + request.bytes > rank.rule.queueBytes;
    if (isFull)
        return Refusal { Refusal::Reason::QueueFull, std::chrono::ceil<Milliseconds>(expectedWait(request.rank, now)) };
    prepareArrival(rank);
    rank.queue.emplace(request.ticket, request);
    rank.bytes += request.bytes;
    return std::nullopt;
}

std::optional<QueuedRequest> BaselineScheduler::take(TimePoint)
{
    if (size() == 0)
        return std::nullopt;
    RankState& rank = chooseRank();
    QueuedRequest request = rank.queue.begin()->second;
    rank.queue.erase(rank.queue.begin());
    rank.bytes -= request.bytes;
    return request;
}

void BaselineScheduler::finish(const QueuedRequest& request, Duration slotTime, TimePoint)
{
    ranks_[request.rank].service.add(slotTime);
}

void BaselineScheduler::release(const QueuedRequest&, Duration, TimePoint) { }

bool BaselineScheduler::cancel(Ticket ticket)
{
    for (RankState& rank : ranks_) {
        const auto found = rank.queue.find(ticket);
        if (found == rank.queue.end())
            continue;
        rank.bytes -= found->second.bytes;
        rank.queue.erase(found);
        return true;
    }
    return false;
}

std::vector<QueuedRequest> BaselineScheduler::removeExpired(TimePoint now)
{
    std::vector<QueuedRequest> removed;
    for (RankState& rank : ranks_) {
        const Duration reserved = expiry_ == Expiry::BeforeService ? rank.service.allowance() : Duration(0);
        while (!rank.queue.empty() && rank.queue.begin()->second.deadline <= now + reserved) {
            removed.push_back(rank.queue.begin()->second);
            rank.bytes -= removed.back().bytes;
            rank.queue.erase(rank.queue.begin());
        }
    }
    return removed;
}

std::size_t BaselineScheduler::size() const
{
    std::size_t total = 0;
    for (const RankState& rank : ranks_)
        total += rank.queue.size();
    return total;
}

void BaselineScheduler::setSlots(std::size_t slots) { slots_ = slots; }

Duration BaselineScheduler::expectedWait(std::size_t, TimePoint) const
{
    Duration work { 0 };
    for (const RankState& rank : ranks_)
        work += rank.service.mean() * rank.queue.size();
    return work / std::max<std::size_t>(slots_, 1);
}

const std::vector<std::string>& schedulerNames()
{
    static const std::vector<std::string> names { "rank", "first_come_first_served", "strict_priority",
        "weighted_fair_queueing", "earliest_deadline_first", "weighted_fair_queueing_early_expiry",
        "earliest_deadline_first_early_expiry" };
    return names;
}

std::unique_ptr<Scheduler> makeScheduler(const std::string& name, const std::vector<RankRule>& ranks, std::size_t slots)
{
    if (name == "rank")
        return std::make_unique<RankScheduler>(ranks, slots);
    if (name == "first_come_first_served")
        return std::make_unique<FirstComeFirstServed>(ranks, slots);
    if (name == "strict_priority")
        return std::make_unique<StrictPriority>(ranks, slots);
    if (name == "weighted_fair_queueing")
        return std::make_unique<WeightedFairQueueing>(ranks, slots);
    if (name == "earliest_deadline_first")
        return std::make_unique<EarliestDeadlineFirst>(ranks, slots);
    if (name == "weighted_fair_queueing_early_expiry")
        return std::make_unique<WeightedFairQueueing>(ranks, slots, BaselineScheduler::Expiry::BeforeService);
    if (name == "earliest_deadline_first_early_expiry")
        return std::make_unique<EarliestDeadlineFirst>(ranks, slots, BaselineScheduler::Expiry::BeforeService);
    return nullptr;
}

} // namespace almondlever::measure
