#pragma once

#include <chrono>
#include <cstdint>
#include <limits>

namespace almondlever {

/** Incarnation of a death that cannot be refuted: the platform's list dropped the VM, and ids are never reused. */
constexpr std::uint64_t finalIncarnation = std::numeric_limits<std::uint64_t>::max();

/** A joining daemon requests the state from another peer if one does not answer within this time. */
constexpr std::chrono::seconds stateTimeout { 1 };

} // namespace almondlever
