#include "almondlever/pooling/SharedWindow.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** An answer counts one eighth: follows a change within about ten statements. */
    constexpr double smoothing = 1.0 / 8;
    /** The time at rest rises this slowly, so that minutes of load are not taken for rest. */
    constexpr double restRise = 1.0 / 500;
    /** Share of the way to the new size that one answer goes. */
    constexpr double step = 0.2;
    /** Growth for each answer while the window is full and the endpoint is not busy. */
    constexpr double growth = 0.5;
    constexpr double strongestDecrease = 0.5;

} // namespace

void SharedWindow::setMaximum(std::size_t maximum)
{
    const bool wasFull = size_ >= maximum_;
    maximum_ = static_cast<double>(std::max<std::size_t>(maximum, 1));
    size_ = wasFull ? maximum_ : std::min(size_, maximum_);
}

void SharedWindow::noteAnswer(Duration latency, std::size_t running, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(latency).count();
    smoothed_ = isMeasured_ ? smoothed_ + (seconds - smoothed_) * smoothing : seconds;
    atRest_ = isMeasured_ ? std::min(smoothed_, atRest_ + (smoothed_ - atRest_) * restRise) : seconds;
    isMeasured_ = true;
    const double tolerated
        = std::max(atRest_ * tolerance, atRest_ + std::chrono::duration<double>(toleratedWait).count());
    const double gradient = std::clamp(tolerated / std::max(smoothed_, 1e-6), strongestDecrease, 1.0);
    const bool isFull = static_cast<double>(running) + 1 > size_;
    const bool mayGrow = isFull && gradient >= 1;
    const double target = size_ * gradient + (mayGrow ? growth : 0);
    size_ = std::clamp(size_ + (target - size_) * step, minimum, maximum_);
    if (size_ < 1)
        pausedUntil_ = now + std::chrono::duration_cast<Duration>(latency * (1 / size_ - 1));
}

bool SharedWindow::allows(std::size_t running, bool isUrgent, TimePoint now) const
{
    const std::size_t whole = std::max<std::size_t>(static_cast<std::size_t>(size_), 1);
    if (isUrgent)
        return running < whole + 1;
    return running < whole && (size_ >= 1 || now >= pausedUntil_);
}

void SharedWindow::noteRefusal(TimePoint now)
{
    if (now - refusedAt_ < refusalInterval)
        return;
    refusedAt_ = now;
    size_ = std::max(minimum, size_ / 2);
}

Duration SharedWindow::latency() const
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(smoothed_));
}

} // namespace almondlever
