#pragma once

#include <chrono>

namespace almondlever {

/** Monotonic clock on which every deadline and time-out of a process is measured. */
using Clock = std::chrono::steady_clock;

/** A moment on Clock. Deciding functions take it as an argument and never read the clock themselves. */
using TimePoint = Clock::time_point;

/** A span of time at the resolution of Clock. */
using Duration = Clock::duration;

/** Whole milliseconds, the unit of settings and of messages between processes. */
using Milliseconds = std::chrono::milliseconds;

/** Whole microseconds, the unit of measured latencies. */
using Microseconds = std::chrono::microseconds;

} // namespace almondlever
