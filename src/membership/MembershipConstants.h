#pragma once

#include <chrono>
#include <cstdint>
#include <limits>

namespace almondlever {

/**
 * Incarnation of a death that nothing refutes: the platform's list dropped the VM, and its id is never reused.
 */
constexpr std::uint64_t finalIncarnation = std::numeric_limits<std::uint64_t>::max();

/** A joining daemon asks another peer for the state when one does not answer within this time. */
constexpr std::chrono::seconds stateTimeout { 1 };

} // namespace almondlever
