#include "almondlever/transport/AsioTimerService.h"

#include <asio.hpp>
#include <memory>

namespace almondlever {

void AsioTimerService::callAfter(Duration delay, std::function<void(TimePoint)> callback)
{
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, callback = std::move(callback)](std::error_code error) {
        if (!error)
            callback(Clock::now());
    });
}

} // namespace almondlever
