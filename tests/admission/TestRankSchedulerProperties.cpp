#include "SchedulerDriver.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <queue>
#include <set>

using namespace almondlever;
using namespace std::chrono_literals;

namespace {

/** A request that holds a slot; std::priority_queue returns the one that ends first. */
struct RunningRequest {
    TimePoint end;
    Duration slotTime;
    QueuedRequest request;
    friend bool operator<(const RunningRequest& left, const RunningRequest& right) { return left.end > right.end; }
};

/** The tickets that are queued and those that have finished. */
struct RequestStates {
    std::set<Ticket> queued;
    std::set<Ticket> finished;
    void removeQueued(Ticket ticket) { RC_ASSERT(queued.erase(ticket) == 1U); }
};

void fillSlots(RankScheduler& scheduler, std::size_t slots, std::priority_queue<RunningRequest>& busy,
    RequestStates& states, TimePoint now)
{
    while (busy.size() < slots) {
        auto request = scheduler.take(now);
        if (!request) {
            RC_ASSERT(scheduler.size() == 0U); // No slot is idle while work waits.
            break;
        }
        states.removeQueued(request->ticket);
        const Duration slotTime = Milliseconds(1 + request->ticket * 7919 % 40);
        busy.push({ now + slotTime, slotTime, *request });
    }
    for (const QueuedRequest& removed : scheduler.removeExpired(now))
        states.removeQueued(removed.ticket);
    RC_ASSERT(scheduler.size() == states.queued.size());
}

void endUntil(RankScheduler& scheduler, std::size_t slots, std::priority_queue<RunningRequest>& busy,
    RequestStates& states, TimePoint now)
{
    while (!busy.empty() && busy.top().end <= now) {
        const RunningRequest ended = busy.top();
        busy.pop();
        RC_ASSERT(states.finished.insert(ended.request.ticket).second);
        scheduler.finish(ended.request, ended.slotTime, ended.end);
        fillSlots(scheduler, slots, busy, states, ended.end);
    }
}

} // namespace

// Guards against a request that is lost, runs twice, or waits beside a free slot, under arbitrary traffic.
Test(RankSchedulerProperties, losesAndRepeatsNothingAndIdlesNoSlot)
{
    const bool holds = rc::check("every request has one fate and no slot idles beside a queue", [] {
        const auto slots = *rc::gen::inRange<std::size_t>(1, 6);
        RankScheduler scheduler(
            { makeRank("urgent", 0.3, 1s, 6), makeRank("middle", 0.3, 1s, 6), makeRank("lowest", 0.2, 1s, 6) }, slots);
        std::priority_queue<RunningRequest> busy;
        RequestStates states;
        TimePoint now = testStart;
        const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000));
        Ticket ticket = 0;
        for (const int step : steps) {
            now += Milliseconds(step % 11);
            endUntil(scheduler, slots, busy, states, now);
            ++ticket;
            if (step % 17 == 0 && ticket > 3) {
                const Ticket cancelled = ticket - 3;
                RC_ASSERT(scheduler.cancel(cancelled) == (states.queued.erase(cancelled) == 1U));
            }
            const auto rank = static_cast<std::size_t>(step / 11 % 3);
            const auto request = makeRequest(
                ticket, rank, std::to_string(step / 37 % 4), now, Milliseconds(5 + step / 53 % 400), 1 + step % 900);
            if (!scheduler.offer(request, now))
                states.queued.insert(ticket);
            fillSlots(scheduler, slots, busy, states, now);
        }
        endUntil(scheduler, slots, busy, states, now + 1h);
        RC_ASSERT(states.queued.empty());
        RC_ASSERT(scheduler.size() == 0U);
    });
    cr_assert(holds);
}

// Guards against a rank that stays under its floor while it is backlogged, whichever rank floods.
Test(RankSchedulerProperties, keepsFloorsOfBackloggedRanks)
{
    const bool holds = rc::check("a backlogged rank gets its floor of slot time", [] {
        const auto slots = *rc::gen::inRange<std::size_t>(1, 6);
        std::vector<RankRule> ranks = makeRanks();
        const auto weights = *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 10));
        const double total = (weights[0] + weights[1] + weights[2]) * 1.1;
        for (std::size_t rank = 0; rank < 3; ++rank)
            ranks[rank].floor = weights[rank] / total;
        const auto slotMilliseconds = *rc::gen::container<std::vector<int>>(3, rc::gen::inRange(1, 60));
        const auto idleRank = *rc::gen::inRange<std::size_t>(0, 4);
        RankScheduler scheduler(ranks, slots);
        std::priority_queue<RunningRequest> busy;
        std::array<Duration, 3> used {};
        Ticket ticket = 0;
        const TimePoint end = testStart + 20s;
        TimePoint now = testStart;
        while (now < end) {
            while (busy.size() < slots) {
                for (std::size_t rank = 0; rank < 3; ++rank)
                    if (rank != idleRank)
                        scheduler.offer(makeRequest(++ticket, rank, "a", now, 60s), now);
                const auto request = scheduler.take(now);
                RC_ASSERT(request.has_value());
                const Duration slotTime = Milliseconds(slotMilliseconds[request->rank]);
                busy.push({ now + slotTime, slotTime, *request });
            }
            now = busy.top().end;
            used[busy.top().request.rank] += busy.top().slotTime;
            scheduler.finish(busy.top().request, busy.top().slotTime, now);
            busy.pop();
        }
        for (std::size_t rank = 0; rank < 3; ++rank) {
            if (rank == idleRank)
                continue;
            const double share = std::chrono::duration<double>(used[rank]).count() / (20.0 * double(slots));
            RC_ASSERT(share >= 0.95 * ranks[rank].floor);
        }
    });
    cr_assert(holds);
}
