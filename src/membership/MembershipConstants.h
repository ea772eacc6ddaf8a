#pragma once

#include <chrono>
#include <cstdint>
#include <limits>

namespace almondlever {

/** Incarnation in the Dead record of a VM that the platform no longer lists. It cannot be refuted: ids are never
 * reused. */
constexpr std::uint64_t finalIncarnation = std::numeric_limits<std::uint64_t>::max();

/** If a peer does not answer a StateRequest within this time, the joining daemon sends it to another peer. */
constexpr std::chrono::seconds stateTimeout { 1 };

} // namespace almondlever
