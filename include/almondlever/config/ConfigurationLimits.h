#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>

namespace almondlever {

/**
 * Connections of each endpoint reserved for status queries, position waits and term changes: three for each of three
 * observers.
 */
inline constexpr std::size_t controlReserveConnections = 9;

/** Minimum number of servers of a database; with fewer, the loss of one leaves no majority. */
inline constexpr std::size_t minimumEndpointsPerDatabase = 3;

/** Maximum size of a configuration file; ten times the inventory of the largest deployment designed for. */
inline constexpr std::size_t maximumConfigurationFileBytes = 32 * 1024 * 1024;

/** Maximum length of a name; names appear in header fields, URLs and log lines. */
inline constexpr std::size_t maximumNameCharacters = 64;

inline constexpr std::size_t maximumSlots = 10000;
inline constexpr std::size_t maximumConnections = 100000;
inline constexpr std::size_t maximumQueueRequests = 1000000;
inline constexpr std::size_t maximumQueueBytes = 1024 * 1024 * 1024;

/** Maximum duration accepted in a rule. */
inline constexpr Milliseconds maximumRuleTime = std::chrono::hours(24);

} // namespace almondlever
