#pragma once

#include "FaultScript.h"
#include "Operation.h"
#include "StatementSender.h"
#include "UsageRecorder.h"
#include "Workload.h"

#include <map>
#include <string>
#include <vector>

namespace almondlever::load {

/** What a run needs beside its workload. */
struct LoadRunSettings {
    std::vector<HttpAddress> daemons;
    std::vector<HttpAddress> controls;
    ProcessNames processes;
    std::string runId;
};

/** What a run gave. */
struct LoadRunResult {
    History history;
    UsageRecorder usage;
    /** Arrivals that were due and not sent because of maximum_in_flight, by phase and caller. */
    std::map<std::pair<std::string, std::string>, std::uint64_t> unsentArrivals;
};

/** Runs a workload with its faults, reads everything back, and gets the servers' logs. Ends by itself. */
LoadRunResult runLoad(const Workload&, const LoadRunSettings&, HistoryWriter&);

} // namespace almondlever::load
