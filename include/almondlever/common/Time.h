#pragma once

#include <chrono>

namespace almondlever {

/** Monotonic clock used for all deadlines and time-outs within a process. */
using Clock = std::chrono::steady_clock;

/** A point in time on Clock. Decision functions take it as an argument and never read the clock themselves. */
using TimePoint = Clock::time_point;

/** A duration at the resolution of Clock. */
using Duration = Clock::duration;

/** Whole milliseconds, the unit of settings and of messages between processes. */
using Milliseconds = std::chrono::milliseconds;

/** Whole microseconds, the unit of measured latencies. */
using Microseconds = std::chrono::microseconds;

} // namespace almondlever
