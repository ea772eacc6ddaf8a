#pragma once

#include "almondlever/common/TimerService.h"

#include <map>
#include <utility>

namespace almondlever {

/** Timers in virtual time, which a test moves by hand. */
class FakeTimerService final : public TimerService {
public:
    TimePoint now() const override { return now_; }

    void callAfter(Duration delay, std::function<void(TimePoint)> callback) override
    {
        timers_.emplace(now_ + delay, std::move(callback));
    }

    /** Moves time forward and calls what became due, in order. */
    void advance(Duration by)
    {
        const TimePoint end = now_ + by;
        while (!timers_.empty() && timers_.begin()->first <= end) {
            const auto first = timers_.begin();
            const auto callback = std::move(first->second);
            now_ = std::max(now_, first->first);
            timers_.erase(first);
            callback(now_);
        }
        now_ = end;
    }

    /** Moves time forward without calling anything, as while this process is suspended. */
    void skip(Duration by) { now_ += by; }

private:
    TimePoint now_ { std::chrono::hours(1) };
    std::multimap<TimePoint, std::function<void(TimePoint)>> timers_;
};

} // namespace almondlever
