#pragma once

#include <chrono>
#include <cstdint>

#include <nlohmann/json.hpp>

namespace almondlever::measure {

/**
 * Replays the floods of both deployments through RankScheduler and the baselines. Each result holds the figures by rank
 * and whether the targets of docs/design.md, section 1.2, are met.
 */
nlohmann::json measureSchedulers(std::uint64_t seed, std::chrono::seconds phaseLength);

/** True when RankScheduler lost no request and met every target in the result of measureSchedulers(). */
bool meetsTargets(const nlohmann::json& measured);

} // namespace almondlever::measure
