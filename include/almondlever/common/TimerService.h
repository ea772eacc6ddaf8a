#pragma once

#include "almondlever/common/Time.h"

#include <functional>

namespace almondlever {

/** The clock and the timers of one thread. Tests use a fake whose time they advance explicitly. */
class TimerService {
public:
    virtual ~TimerService() = default;

    /** The current time, to be passed to decision functions. */
    virtual TimePoint now() const = 0;
    /** Invokes the callback once after the delay, on the same thread and never from within this call. */
    virtual void callAfter(Duration, std::function<void(TimePoint now)>) = 0;
};

} // namespace almondlever
