#pragma once

#include <nlohmann/json.hpp>

namespace almondlever::measure {

/**
 * Bytes, CPU time and heap of a configuration by its number of endpoints: encoding, decoding, placement for the
 * design's ratio of daemons, the copies made for each snapshot, and the look-up of a database as done for each
 * statement.
 */
nlohmann::json measureConfiguration();

} // namespace almondlever::measure
