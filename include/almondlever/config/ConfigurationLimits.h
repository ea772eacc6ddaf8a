#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/** Connections of each endpoint kept for status, position waits and changes of term: three observers, three each. */
inline constexpr std::size_t controlReserveConnections = 9;

/** Least number of servers of a database; with fewer, no majority survives the loss of one. */
inline constexpr std::size_t minimumEndpointsPerDatabase = 3;

/** Longest file that is read; ten times the inventory of the design size. */
inline constexpr std::size_t maximumConfigurationFileBytes = 32 * 1024 * 1024;

/** Longest name; names appear in header fields, URLs and log lines. */
inline constexpr std::size_t maximumNameCharacters = 64;

inline constexpr std::size_t maximumSlots = 10000;
inline constexpr std::size_t maximumConnections = 100000;
inline constexpr std::size_t maximumQueueRequests = 1000000;
inline constexpr std::size_t maximumQueueBytes = 1024 * 1024 * 1024;

/** Longest time that a rule may state. */
inline constexpr Milliseconds maximumRuleTime = std::chrono::hours(24);

} // namespace almondlever
