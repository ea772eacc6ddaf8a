#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace almondlever {

/**
 * Statements whose latencies are comparable. Ranks are kept apart because their service times differ fivefold in one
 * group, so that another mix of ranks would look like a slow endpoint. Opening a connection is not part of a latency.
 */
struct StatementClass {
    enum class Type { Read, Write, Commit, Other };
    /** Less urgent ranks share the last. */
    static constexpr std::size_t ranks = 4;

    Type type = Type::Read;
    std::size_t rank = 0;

    /** Number of the class in a GroupReport. */
    std::uint64_t number() const { return static_cast<std::uint64_t>(type) * ranks + std::min(rank, ranks - 1); }
    /** True if the number in a GroupReport denotes reads. */
    static bool isRead(std::uint64_t number) { return number < ranks; }
};

} // namespace almondlever
