#pragma once

#include "Operation.h"
#include "StandinClient.h"
#include "Workload.h"
#include "almondlever/common/TimerService.h"

#include <map>
#include <string>
#include <vector>

namespace almondlever::load {

/** Processes that faults may signal: a process id, or "@FILE" with a file that holds it when the fault is due. */
using ProcessNames = std::map<std::string, std::string>;

/** Carries out the timed faults of a workload. Starts no process. */
class FaultScript {
public:
    FaultScript(const Workload&, ProcessNames, StandinClient&, TimerService&);

    /** Schedules every fault; the run begins at `start`. */
    void begin(TimePoint start);
    /** The faults that are over, in the order in which they were carried out. */
    const std::vector<FaultRecord>& records() const { return records_; }
    /** Signals SIGCONT to processes that a fault has stopped and none has continued. */
    void continueStopped();

private:
    void carryOut(const Fault&, TimePoint now);
    /** Returns why the signal could not be sent, else "". */
    std::string sendSignal(const Fault&);
    std::string findProcess(const std::string& name, int& processId) const;
    void record(const Fault&, const std::string& description, const std::string& error, Duration at);

    const Workload& workload_;
    ProcessNames processes_;
    StandinClient& standin_;
    TimerService& timers_;
    TimePoint start_;
    std::vector<FaultRecord> records_;
    std::map<std::string, int> stopped_;
};

} // namespace almondlever::load
