#pragma once

#include "Operation.h"
#include "Workload.h"

#include <string>

namespace almondlever::load {

/** One session of a caller. Runs one request at a time and carries its token from daemon to daemon. */
struct CallerSession {
    std::string name;
    const CallerLoad* caller = nullptr;
    std::string token;
    /** Index of the daemon that took the last request. */
    std::size_t daemon = 0;
    /** Counts values and idempotency keys, which makes them unique together with the name. */
    std::uint64_t valueCount = 0;
    std::uint64_t transactionCount = 0;
    Microseconds lastAnsweredAt { 0 };
};

} // namespace almondlever::load
