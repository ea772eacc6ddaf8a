#pragma once

#include "almondlever/config/Configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace almondlever::measure {

/** Work of one rank on one endpoint. */
struct RankLoad {
    RankRule rule;
    std::size_t callers = 0;
    /** Offered slot time as a share of the endpoint's slots, without a flood. */
    double load = 0;
    Duration meanSlotTime { 0 };
};

/** One endpoint of a deployment and the work that it gets. */
struct DeploymentLoad {
    std::string name;
    std::size_t slots = 0;
    std::vector<RankLoad> ranks;

    std::vector<RankRule> rules() const;
};

/** Kavango Pod Analytics and Límmiðasmiðjan as in docs/design.md, section 1.3. */
std::vector<DeploymentLoad> deploymentLoads();

/** Which ranks flood. */
struct FloodScenario {
    std::string name;
    bool isUrgentFlooding = false;
    bool isLowestFlooding = false;

    bool isFlooding(std::size_t rank, std::size_t ranks) const;
};

std::vector<FloodScenario> floodScenarios();

/** One request of a trace; its slot time is drawn beforehand so that every scheduler meets the same work. */
struct Arrival {
    TimePoint time;
    std::size_t rank = 0;
    std::size_t caller = 0;
    Duration slotTime { 0 };
};

/** Times that split a trace. Service is compared between the span before the flood and the flood. */
struct TracePhases {
    /** The schedulers measure slot times until here; not reported. */
    TimePoint warm;
    TimePoint floodBegin;
    TimePoint floodEnd;
};

TracePhases makePhases(std::chrono::seconds phaseLength);

/**
 * Poisson arrivals with lognormal slot times (sigma 0.7). During the flood the first caller of each flooding rank
 * raises the rank's offered load to ten times the capacity of the endpoint.
 */
std::vector<Arrival> makeTrace(const DeploymentLoad&, const FloodScenario&, const TracePhases&, std::uint64_t seed);

} // namespace almondlever::measure
