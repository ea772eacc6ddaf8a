#pragma once

#include "ArrivalTrace.h"
#include "almondlever/admission/Scheduler.h"

#include <cstddef>
#include <vector>

namespace almondlever::measure {

/** What became of one rank's requests that arrived in a phase, and the slot time that the rank got in it. */
struct RankRecord {
    std::size_t offered = 0;
    std::size_t insideDeadline = 0;
    std::size_t late = 0;
    std::size_t refusedOnArrival = 0;
    std::size_t removedFromQueue = 0;
    /** Waits of the requests that ran. */
    std::vector<Duration> waits;
    /** Slot time in the phase. */
    Duration slotTime { 0 };
    /** Slot time in the phase of requests that finish inside their deadline. */
    Duration usefulSlotTime { 0 };
    /** By caller: slot time that its arrivals ask for, and that they got inside the deadline. */
    std::vector<Duration> callerOffered;
    std::vector<Duration> callerServed;
};

struct PhaseRecord {
    std::vector<RankRecord> ranks;
    Duration length { 0 };
};

struct ReplayRecord {
    PhaseRecord before;
    PhaseRecord flood;
    /** Requests with no fate or two; zero unless the scheduler is wrong. */
    std::size_t lostOrRepeated = 0;
};

/** Runs a trace through a scheduler in virtual time. */
ReplayRecord replay(Scheduler&, const DeploymentLoad&, const std::vector<Arrival>&, const TracePhases&);

} // namespace almondlever::measure
