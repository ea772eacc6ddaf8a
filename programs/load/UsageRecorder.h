#pragma once

#include "StandinClient.h"
#include "Workload.h"

#include <map>
#include <string>
#include <vector>

namespace almondlever::load {

/** Use of one database server over a run. */
struct EndpointUsage {
    EndpointFigures last;
    std::uint64_t statementsRun = 0;
};

/** Use of all slots during a phase. */
struct PhaseUsage {
    std::uint64_t samples = 0;
    /** Sum over the samples of the share of slots that were busy. */
    double busyShareSum = 0;
    double busyShare() const { return samples == 0 ? 0 : busyShareSum / static_cast<double>(samples); }
};

/** Keeps the stand-in's figures that were taken in short intervals during a run. */
class UsageRecorder {
public:
    /** Adds one sample of all servers; an empty one is ignored. */
    void add(const std::string& phase, const EndpointFiguresByName&);

    const std::map<std::string, EndpointUsage>& endpoints() const { return endpoints_; }
    const std::map<std::string, PhaseUsage>& phases() const { return phases_; }

private:
    std::map<std::string, EndpointUsage> endpoints_;
    std::map<std::string, PhaseUsage> phases_;
};

} // namespace almondlever::load
