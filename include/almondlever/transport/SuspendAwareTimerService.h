#pragma once

#include "almondlever/common/TimerService.h"

namespace asio {
class io_context;
}

namespace almondlever {

/**
 * Timers on an io_context whose present time also counts while the VM is suspended, so that what was known before a
 * suspension is seen to be old after it.
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
