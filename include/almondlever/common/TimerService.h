#pragma once

#include "almondlever/common/Time.h"

#include <functional>

namespace almondlever {

/** The clock and the timers of one thread. Tests put a fake in its place and move time by hand. */
class TimerService {
public:
    virtual ~TimerService() = default;

    /** The present time, to be passed on to deciding functions. */
    virtual TimePoint now() const = 0;
    /** Calls once after a delay, on the same thread, never from inside this call. */
    virtual void callAfter(Duration, std::function<void(TimePoint now)>) = 0;
};

} // namespace almondlever
