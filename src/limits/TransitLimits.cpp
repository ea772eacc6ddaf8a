#include "almondlever/limits/TransitLimits.h"

#include <utility>

namespace almondlever {

namespace {

    /** A response that holds less never stops, so that health checks and small reads are not delayed. */
    constexpr std::size_t smallResponseBytes = std::size_t { 64 } * 1024;

} // namespace

TransitAccount::TransitAccount(TransitLimits& limits, std::function<void()> scheduleResume)
    : limits_(limits)
    , scheduleResume_(std::move(scheduleResume))
{
}

TransitAccount::~TransitAccount() { release(); }

bool TransitAccount::mayContinue()
{
    isStopped_
        = bytes_ > smallResponseBytes && limits_.heldBytes_ > limits_.mostBytes_ && limits_.holders_.front() != this;
    return !isStopped_;
}

void TransitAccount::hold(std::size_t bytes)
{
    if (bytes == 0)
        return;
    if (bytes_ == 0)
        position_ = limits_.holders_.insert(limits_.holders_.end(), this);
    bytes_ += bytes;
    limits_.heldBytes_ += bytes;
}

void TransitAccount::release()
{
    if (bytes_ == 0)
        return;
    limits_.heldBytes_ -= bytes_;
    bytes_ = 0;
    isStopped_ = false;
    limits_.holders_.erase(position_);
    limits_.resumeStopped();
}

void TransitLimits::resumeStopped()
{
    for (TransitAccount* account : holders_) {
        if (account->isStopped_ && account->mayContinue())
            account->scheduleResume_();
    }
}

} // namespace almondlever
