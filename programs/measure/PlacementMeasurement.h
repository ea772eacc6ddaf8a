#pragma once

#include <nlohmann/json.hpp>

namespace almondlever::measure {

/**
 * Time and memory to compute the owners of all endpoints, whole and incrementally, and the share of endpoints that move
 * when one VM leaves or joins, for fleets up to the design size.
 */
nlohmann::json measurePlacement();

} // namespace almondlever::measure
