#include "almondlever/transport/SuspendAwareTimerService.h"

#include <asio.hpp>
#include <ctime>
#include <memory>

namespace almondlever {

TimePoint SuspendAwareTimerService::now() const
{
    timespec time {};
    if (clock_gettime(CLOCK_BOOTTIME, &time) != 0)
        return Clock::now();
    return TimePoint(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

void SuspendAwareTimerService::callAfter(Duration delay, std::function<void(TimePoint)> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, callback = std::move(callback)](std::error_code error) {
        if (!error)
            callback(now());
    });
}

} // namespace almondlever
