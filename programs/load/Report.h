#pragma once

#include "HistoryChecker.h"
#include "LoadRun.h"
#include "Workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace almondlever::load {

/** Service of one rank in one phase. A request is one statement, begin, commit or rollback with all its repeats. */
struct RankService {
    std::string phase;
    std::string rank;
    double phaseSeconds = 0;
    std::uint64_t offered = 0;
    /** Arrivals that the load program did not send because the caller had too many requests in flight. */
    std::uint64_t notSent = 0;
    std::uint64_t attempts = 0;
    /** Requests with an acknowledged attempt. */
    std::uint64_t answered = 0;
    /** Requests acknowledged within the caller's deadline, counted from the first attempt. */
    std::uint64_t insideDeadline = 0;
    /** Attempts answered with `not_run`. */
    std::uint64_t refused = 0;
    /** Attempts whose outcome is `unknown`. */
    std::uint64_t unknown = 0;
    std::uint64_t reads = 0;
    std::uint64_t replicaReads = 0;
    /** Of acknowledged attempts; upper bounds of histogram bins that are about 31 % wide. */
    Duration latencyMedian { 0 };
    Duration latency90 { 0 };
    Duration latency99 { 0 };
    Duration latency999 { 0 };
    /** Requests a second that the floor guarantees: floor times capacity; 0 without a capacity. */
    double floorPerSecond = 0;

    double answeredPerSecond() const;
    /** Share of all arrivals answered inside the deadline. */
    double insideDeadlineShare() const;
    /** Answered requests against what the floor guarantees of the arrivals, at most those that arrived. */
    double shareOfFloor() const;
};

/** Longest time without an acknowledged write around a fault. */
struct WriteGap {
    std::string fault;
    Microseconds faultAt { 0 };
    std::string database;
    /** Longest interval between two acknowledgements that ends within the window after the fault. */
    Microseconds gap { 0 };
    /** The same for a window of the same length before the fault, to tell apart a low rate of writes. */
    Microseconds usualGap { 0 };
    /** From the last acknowledgement before the fault to the first one of a write sent after it. */
    Microseconds lastBeforeToFirstAfter { 0 };
    Term termBefore = 0;
    Term termAfter = 0;
    /** False when no write sent after the fault was acknowledged. */
    bool hasRecovered = false;
};

/** All figures of a run. @see toJson, toMarkdown */
struct Report {
    std::string deployment;
    std::string runId;
    std::uint64_t seed = 0;
    std::vector<RankService> services;
    std::vector<WriteGap> writeGaps;
    /** Acknowledged attempts by rank, for each second of the run. */
    std::map<std::string, std::vector<std::uint64_t>> answeredBySecond;
    std::vector<FaultRecord> faults;
    UsageRecorder usage;
    CheckResult check;
};

/** Computes the figures of a run. */
Report buildReport(const Workload&, const std::string& runId, const LoadRunResult&, CheckResult);

/** The gap in acknowledged writes of one database around a fault. */
WriteGap measureWriteGap(const std::vector<Operation>&, const FaultRecord&, const std::string& database);

/** JSON with documented fields, units in their names; see docs/LOAD.md. */
std::string toJson(const Report&);
/** Self-contained Markdown for a reader who was not there. */
std::string toMarkdown(const Report&);

} // namespace almondlever::load
