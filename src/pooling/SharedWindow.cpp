#include "almondlever/pooling/SharedWindow.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Weight of one answer; the average follows a change within about ten statements. */
    constexpr double latencySmoothing = 1.0 / 8;
    /** Rate at which the unloaded latency may rise; so low that minutes of load do not raise it noticeably. */
    constexpr double unloadedLatencyRise = 1.0 / 500;
    /** Fraction of the distance to the target size that the window moves per answer. */
    constexpr double sizeSmoothing = 0.2;
    /** Increase of the target size while the window is full and the latency shows no queue. */
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
    smoothedLatency_ = isMeasured_ ? smoothedLatency_ + (seconds - smoothedLatency_) * latencySmoothing : seconds;
    unloadedLatency_ = isMeasured_
        ? std::min(smoothedLatency_, unloadedLatency_ + (smoothedLatency_ - unloadedLatency_) * unloadedLatencyRise)
        : seconds;
    isMeasured_ = true;
    const double tolerated = std::max(unloadedLatency_ * latencyTolerance,
        unloadedLatency_ + std::chrono::duration<double>(toleratedQueueing).count());
    const double gradient = std::clamp(tolerated / std::max(smoothedLatency_, 1e-6), strongestDecrease, 1.0);
    const bool isFull = static_cast<double>(running) + 1 > size_;
    const bool mayGrow = isFull && gradient >= 1;
    const double target = size_ * gradient + (mayGrow ? growth : 0);
    size_ = std::clamp(size_ + (target - size_) * sizeSmoothing, minimum, maximum_);
    if (size_ < 1)
        pausedUntil_ = now + std::chrono::duration_cast<Duration>(latency * (1 / size_ - 1));
}

bool SharedWindow::allows(std::size_t running, bool isUrgent, TimePoint now) const
{
    const std::size_t wholeStatements = std::max<std::size_t>(static_cast<std::size_t>(size_), 1);
    if (isUrgent)
        return running < wholeStatements + 1;
    return running < wholeStatements && (size_ >= 1 || now >= pausedUntil_);
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
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(smoothedLatency_));
}

} // namespace almondlever
