#pragma once

#include "almondlever/common/TimerService.h"

namespace asio {
class io_context;
}

namespace almondlever {

/** Timers on an io_context. */
class AsioTimerService final : public TimerService {
public:
    explicit AsioTimerService(asio::io_context& context)
        : context_(context)
    {
    }

    TimePoint now() const override { return Clock::now(); }
    void callAfter(Duration, std::function<void(TimePoint now)>) override;

private:
    asio::io_context& context_;
};

} // namespace almondlever
