#include "SchedulerDriver.h"

#include <criterion/criterion.h>

#include <map>

using namespace almondlever;
using namespace std::chrono_literals;

// Guards against a queue of lower work delaying urgent work.
Test(RankScheduler, givesFreeSlotToMostUrgentRank)
{
    RankScheduler scheduler({ makeRank("urgent", 0, 1s), makeRank("middle", 0, 1s), makeRank("lowest", 0, 1s) }, 1);
    scheduler.offer(makeRequest(1, 2, "a", testStart), testStart);
    scheduler.offer(makeRequest(2, 1, "b", testStart), testStart);
    scheduler.offer(makeRequest(3, 0, "c", testStart), testStart);
    cr_assert(scheduler.take(testStart)->ticket == 3);
    cr_assert(scheduler.take(testStart)->ticket == 2);
    cr_assert(scheduler.take(testStart)->ticket == 1);
    cr_assert(!scheduler.take(testStart).has_value());
}

// Guards against an idle rank saving up credit and then holding back urgent work.
Test(RankScheduler, boundsCreditOfIdleRank)
{
    RankScheduler scheduler({ makeRank("urgent", 0, 60s), makeRank("lowest", 0.2, 60s) }, 1);
    TimePoint now = trainSlotTime(scheduler, 1, 10ms, testStart);
    now += 1h;
    for (Ticket ticket = 1; ticket <= 50; ++ticket) {
        scheduler.offer(makeRequest(ticket, 0, "a", now, 60s), now);
        scheduler.offer(makeRequest(100 + ticket, 1, "b", now, 60s), now);
    }
    std::size_t lowest = 0;
    for (int taken = 0; taken < 10; ++taken) {
        const auto request = scheduler.take(now);
        lowest += request->rank;
        now += 10ms;
        scheduler.finish(*request, 10ms, now);
    }
    // 100 ms of credit at a fifth of one slot are two requests; the floor during these 100 ms gives two more.
    cr_assert(lowest <= 4, "lowest rank got %zu of 10 slots", lowest);
}

// Guards against a rank that has had far more than its floor of late passing for one below its floor.
Test(RankScheduler, countsSlotTimeOfWholeWindow)
{
    RankScheduler scheduler({ makeRank("urgent", 0, 1s), makeRank("lowest", 0.2, 1s) }, 1);
    TimePoint now = trainSlotTime(scheduler, 1, 20ms, testStart);
    now += 150ms;
    scheduler.offer(makeRequest(1, 1, "a", now), now);
    scheduler.offer(makeRequest(2, 0, "b", now), now);
    cr_assert(scheduler.take(now)->ticket == 2);
}

// Guards against a flooding caller crowding out its peers inside a rank.
Test(RankScheduler, sharesSlotTimeAmongCallersOfRank)
{
    RankScheduler scheduler(makeRanks(), 1);
    TimePoint now = trainSlotTime(scheduler, 2, 10ms, testStart);
    for (Ticket ticket = 1; ticket <= 60; ++ticket)
        scheduler.offer(makeRequest(ticket, 2, "flooding", now, 30s), now);
    for (Ticket ticket = 101; ticket <= 105; ++ticket)
        scheduler.offer(makeRequest(ticket, 2, "steady", now, 30s), now);
    std::map<std::string, int> served;
    for (int taken = 0; taken < 10; ++taken) {
        const auto request = scheduler.take(now);
        ++served[request->caller.text()];
        now += 10ms;
        scheduler.finish(*request, 10ms, now);
    }
    cr_assert(served["steady"] >= 4, "steady caller got %d of 10 slots", served["steady"]);
}

// Guards against fairness by count, where a caller with slow statements takes most of the slot time.
Test(RankScheduler, countsSlotTimeAndNotRequests)
{
    RankScheduler scheduler(makeRanks(), 1);
    TimePoint now = testStart;
    for (Ticket ticket = 1; ticket <= 400; ++ticket)
        scheduler.offer(makeRequest(ticket, 2, ticket % 2 ? "slow" : "fast", now, 600s), now);
    std::map<std::string, Duration> used;
    for (int taken = 0; taken < 150; ++taken) {
        const auto request = scheduler.take(now);
        const Duration slotTime = request->caller.text() == "slow" ? 40ms : 10ms;
        used[request->caller.text()] += slotTime;
        now += slotTime;
        scheduler.finish(*request, slotTime, now);
    }
    const double ratio = std::chrono::duration<double>(used["slow"]) / std::chrono::duration<double>(used["fast"]);
    cr_assert(ratio > 0.8 && ratio < 1.25, "slot time ratio %f", ratio);
}

// Guards against requests of one caller overtaking each other.
Test(RankScheduler, keepsArrivalOrderInsideCaller)
{
    RankScheduler scheduler(makeRanks(), 1);
    for (Ticket ticket = 1; ticket <= 5; ++ticket)
        scheduler.offer(makeRequest(ticket, 1, "a", testStart), testStart);
    for (Ticket ticket = 1; ticket <= 5; ++ticket)
        cr_assert(scheduler.take(testStart)->ticket == ticket);
}

// Guards against accepting work that can only time out, and against a refusal without a usable Retry-After.
Test(RankScheduler, refusesWorkThatCannotMeetItsDeadline)
{
    RankScheduler scheduler({ makeRank("only", 0.5, 1s) }, 1);
    const TimePoint now = trainSlotTime(scheduler, 0, 100ms, testStart);
    for (Ticket ticket = 1; ticket <= 5; ++ticket)
        cr_assert(!scheduler.offer(makeRequest(ticket, 0, "a", now), now).has_value());
    const auto refusal = scheduler.offer(makeRequest(6, 0, "a", now, 300ms), now);
    cr_assert(refusal.has_value());
    cr_assert(refusal->reason == Refusal::Reason::DeadlineTooClose);
    // 500 ms of queue and a service of 100 ms against 300 ms: the excess is 300 ms.
    cr_assert(refusal->retryAfter >= 290ms && refusal->retryAfter <= 400ms, "retry after %lld ms",
        static_cast<long long>(refusal->retryAfter.count()));
}

// Guards against a flooding caller making the expected wait of its peers look too long.
Test(RankScheduler, admitsLightCallerDuringFloodOfPeer)
{
    RankScheduler scheduler({ makeRank("only", 0.5, 1s) }, 1);
    const TimePoint now = trainSlotTime(scheduler, 0, 100ms, testStart);
    Ticket ticket = 1;
    while (!scheduler.offer(makeRequest(ticket, 0, "flooding", now), now))
        ++ticket;
    cr_assert(ticket < 20);
    cr_assert(!scheduler.offer(makeRequest(100, 0, "light", now), now).has_value());
}

// Guards against queues that grow beyond the declared bounds in requests or in bytes.
Test(RankScheduler, boundsQueueInRequestsAndBytes)
{
    RankScheduler scheduler({ makeRank("only", 0.5, 1s, 2) }, 1);
    cr_assert(!scheduler.offer(makeRequest(1, 0, "a", testStart, 1s, 1900), testStart).has_value());
    const auto tooManyBytes = scheduler.offer(makeRequest(2, 0, "a", testStart, 1s, 200), testStart);
    cr_assert(tooManyBytes.has_value() && tooManyBytes->reason == Refusal::Reason::QueueFull);
    cr_assert(tooManyBytes->retryAfter >= 1ms);
    cr_assert(!scheduler.offer(makeRequest(3, 0, "a", testStart, 1s, 50), testStart).has_value());
    cr_assert(scheduler.offer(makeRequest(4, 0, "a", testStart, 1s, 1), testStart).has_value());
    cr_assert(scheduler.size() == 2);
}

// Guards against a full queue of one caller shutting out its peers, and against losing the displaced request.
Test(RankScheduler, displacesNewestOfLongestCallerWhenFull)
{
    RankScheduler scheduler({ makeRank("only", 0.5, 60s, 3) }, 1);
    for (Ticket ticket = 1; ticket <= 3; ++ticket)
        scheduler.offer(makeRequest(ticket, 0, "flooding", testStart, 60s), testStart);
    cr_assert(!scheduler.offer(makeRequest(4, 0, "light", testStart, 60s), testStart).has_value());
    const auto removed = scheduler.removeExpired(testStart);
    cr_assert(removed.size() == 1 && removed.front().ticket == 3);
    cr_assert(scheduler.size() == 3);
}

// Guards against old work taking a slot although it can no longer meet its deadline.
Test(RankScheduler, dropsQueuedWorkThatIsTooOld)
{
    RankScheduler scheduler({ makeRank("only", 0.5, 1s) }, 1);
    TimePoint now = trainSlotTime(scheduler, 0, 100ms, testStart);
    scheduler.offer(makeRequest(1, 0, "a", now, 500ms), now);
    scheduler.offer(makeRequest(2, 0, "a", now, 1s), now);
    now += 450ms;
    cr_assert(scheduler.take(now)->ticket == 2);
    const auto removed = scheduler.removeExpired(now);
    cr_assert(removed.size() == 1 && removed.front().ticket == 1);
}

// Guards against a slot time that was once too long refusing all work, so that it is never measured again.
Test(RankScheduler, recoversFromSlowPhase)
{
    RankScheduler scheduler({ makeRank("only", 0.5, 1s) }, 1);
    TimePoint now = trainSlotTime(scheduler, 0, 5s, testStart);
    for (Ticket ticket = 1; ticket <= 100; ++ticket) {
        cr_assert(!scheduler.offer(makeRequest(ticket, 0, "a", now), now).has_value());
        const auto taken = scheduler.take(now);
        cr_assert(taken.has_value());
        now += 10ms;
        scheduler.finish(*taken, 10ms, now);
    }
    cr_assert(!scheduler.offer(makeRequest(201, 0, "a", now), now).has_value());
    cr_assert(!scheduler.offer(makeRequest(202, 0, "a", now), now).has_value());
}

// Guards against a cancelled request taking a slot, and against a wrong answer for one that already has.
Test(RankScheduler, cancelsOnlyQueuedRequests)
{
    RankScheduler scheduler(makeRanks(), 1);
    scheduler.offer(makeRequest(1, 0, "a", testStart), testStart);
    scheduler.offer(makeRequest(2, 0, "a", testStart), testStart);
    cr_assert(scheduler.take(testStart)->ticket == 1);
    cr_assert(!scheduler.cancel(1));
    cr_assert(scheduler.cancel(2));
    cr_assert(!scheduler.cancel(2));
    cr_assert(!scheduler.take(testStart).has_value());
}

// Guards against an expected wait that ignores the floors of lower ranks or grows without bound.
Test(RankScheduler, estimatesWaitFromBacklog)
{
    RankScheduler scheduler(makeRanks(), 2);
    TimePoint now = trainSlotTime(scheduler, 0, 50ms, testStart);
    now += 1h;
    cr_assert(scheduler.expectedWait(0, now) == Duration(0));
    for (Ticket ticket = 1; ticket <= 10; ++ticket)
        scheduler.offer(makeRequest(ticket, 0, "a", now), now);
    // 10 requests of 50 ms on two slots, no other rank active.
    const Duration wait = scheduler.expectedWait(0, now);
    cr_assert(wait >= 240ms && wait <= 260ms);
}

// A lower rank with few requests is always below its floor. Guards against each of its requests preceding urgent ones,
// and against a floor that is never claimed.
Test(RankScheduler, lightRankClaimsFloorAfterWaitShare)
{
    RankScheduler scheduler({ makeRank("urgent", 0, 1s), makeRank("lowest", 0.2, 1s) }, 1, 0.5);
    TimePoint now = trainSlotTime(scheduler, 1, 20ms, testStart);
    now += 10s;
    scheduler.offer(makeRequest(1, 1, "a", now, 1s), now);
    scheduler.offer(makeRequest(2, 0, "b", now, 1s), now);
    scheduler.offer(makeRequest(3, 0, "b", now, 1s), now);
    auto request = scheduler.take(now);
    cr_assert(request->ticket == 2);
    now += 499ms;
    scheduler.finish(*request, 20ms, now);
    request = scheduler.take(now);
    cr_assert(request->ticket == 3);
    scheduler.finish(*request, 20ms, now);
    scheduler.offer(makeRequest(4, 0, "b", now, 1s), now);
    now += 1ms;
    cr_assert(scheduler.take(now)->ticket == 1, "half of its time is over");
}

// Urgent requests exceed the capacity of the slots for seconds. Guards against a lower rank losing its floor because of
// the wait share: it should wait longer, but get the same share of the slots.
Test(RankScheduler, waitShareKeepsFloorDuringUrgentFlood)
{
    RankScheduler scheduler({ makeRank("urgent", 0, 1s), makeRank("lowest", 0.2, 1s) }, 1, 0.5);
    TimePoint now = trainSlotTime(scheduler, 1, 10ms, testStart);
    now += 10s;
    Ticket ticket = 0;
    std::size_t lowest = 0;
    constexpr int rounds = 1000;
    for (int round = 0; round < rounds; ++round) {
        for (int urgent = 0; urgent < 2; ++urgent)
            scheduler.offer(makeRequest(++ticket, 0, "a", now, 1s), now);
        scheduler.offer(makeRequest(++ticket, 1, "b", now, 1s), now);
        const auto request = scheduler.take(now);
        scheduler.removeExpired(now);
        cr_assert(request);
        lowest += request->rank;
        now += 10ms;
        scheduler.finish(*request, 10ms, now);
    }
    // A fifth of the slots, less the half second in which the first requests wait.
    cr_assert_geq(lowest, rounds / 5 - 50 / 5 - 5, "lowest rank got %zu of %d slots", lowest, rounds);
}

// A hot customer floods another owner of the endpoint and is served here like a light one. Guards against customers
// that queue behind one which has had its share elsewhere, and against one that is passed over for longer than a second
// of slot time or while nobody else waits.
Test(RankScheduler, countsSlotTimeOfOtherOwners)
{
    for (const auto& [elsewhere, expected] :
        { std::pair(Milliseconds(200), 20), std::pair(Milliseconds(60000), 100) }) {
        RankScheduler scheduler(makeRanks(), 1);
        constexpr Duration slotTime = std::chrono::milliseconds(10);
        TimePoint now = trainSlotTime(scheduler, 0, slotTime, testStart);
        constexpr Milliseconds deadline { 60000 };
        for (Ticket ticket = 1; ticket <= 300; ++ticket)
            scheduler.offer(makeRequest(ticket, 0, ticket % 2 == 0 ? "hot" : "light", now, deadline), now);
        scheduler.noteUsedElsewhere(CallerId("hot"), elsewhere);
        int before = 0;
        for (auto taken = scheduler.take(now); taken && taken->caller == CallerId("light");
             taken = scheduler.take(now)) {
            ++before;
            now += slotTime;
            scheduler.finish(*taken, slotTime, now);
        }
        cr_assert(std::abs(before - expected) <= 2, "%d of the light customer first", before);
    }
    RankScheduler scheduler(makeRanks(), 1);
    scheduler.offer(makeRequest(1, 0, "hot", testStart), testStart);
    scheduler.noteUsedElsewhere(CallerId("hot"), Milliseconds(500));
    cr_assert(scheduler.take(testStart).has_value(), "nobody else waits");
}
