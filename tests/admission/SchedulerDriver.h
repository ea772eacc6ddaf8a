#pragma once

#include "almondlever/admission/RankScheduler.h"

#include <string>
#include <vector>

namespace almondlever {

/** Start of the virtual time of the admission tests. */
constexpr TimePoint testStart = TimePoint(std::chrono::hours(1));

inline RankRule makeRank(const std::string& name, double floor, Milliseconds deadline, std::size_t requests = 1000)
{
    RankRule rule;
    rule.name = RankName(name);
    rule.floor = floor;
    rule.deadline = deadline;
    rule.queueRequests = requests;
    rule.queueBytes = requests * 1000;
    return rule;
}

inline std::vector<RankRule> makeRanks()
{
    return { makeRank("urgent", 0.3, Milliseconds(1000)), makeRank("middle", 0.3, Milliseconds(1000)),
        makeRank("lowest", 0.2, Milliseconds(1000)) };
}

inline QueuedRequest makeRequest(Ticket ticket, std::size_t rank, const std::string& caller, TimePoint now,
    Milliseconds deadline = Milliseconds(1000), std::size_t bytes = 100)
{
    return { ticket, CallerId(caller), rank, bytes, now, now + deadline };
}

/** Runs requests of the same slot time one after the other until the scheduler has measured it. */
inline TimePoint trainSlotTime(RankScheduler& scheduler, std::size_t rank, Duration slotTime, TimePoint now)
{
    constexpr Ticket firstTicket = 1'000'000'000;
    constexpr Ticket samples = 100;
    for (Ticket sample = 0; sample < samples; ++sample) {
        scheduler.offer(makeRequest(firstTicket + rank * samples + sample, rank, "teacher", now), now);
        const auto taken = scheduler.take(now);
        now += slotTime;
        scheduler.finish(*taken, slotTime, now);
    }
    return now;
}

} // namespace almondlever
