#pragma once

#include <chrono>
#include <cstddef>
#include <string>

namespace almondlever::measure {

/**
 * Opens client connections to a daemon, sends one GET /healthz on each so that the daemon holds it as a kept-alive one,
 * prints "held N" and keeps them idle for the given time. Returns the number that were answered.
 */
std::size_t holdConnections(const std::string& address, std::size_t count, std::chrono::seconds time);

} // namespace almondlever::measure
