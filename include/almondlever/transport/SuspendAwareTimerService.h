#pragma once

#include "almondlever/common/TimerService.h"

namespace asio {
class io_context;
}

namespace almondlever {

/**
 * Timers on an io_context with a clock that also advances while the VM is suspended, so that information from before a
 * suspension is recognised as outdated after it.
 */
class SuspendAwareTimerService final : public TimerService {
public:
    explicit SuspendAwareTimerService(asio::io_context& context)
        : context_(context)
    {
    }

    TimePoint now() const override;
    void callAfter(Duration, std::function<void(TimePoint now)>) override;

private:
    asio::io_context& context_;
};

} // namespace almondlever
