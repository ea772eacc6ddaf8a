#include "almondlever/limits/CallerAccount.h"

#include "almondlever/limits/CallerLimits.h"

namespace almondlever {

const char* toText(LimitReason reason)
{
    switch (reason) {
    case LimitReason::StartupTimeout:
        return "startup_timeout";
    case LimitReason::SilentEvicted:
        return "silent_evicted";
    case LimitReason::IdleEvicted:
        return "idle_evicted";
    case LimitReason::TransactionEvicted:
        return "transaction_evicted";
    case LimitReason::NoDescriptor:
        return "no_descriptor";
    case LimitReason::SlowSender:
        return "slow_sender";
    case LimitReason::ContendedSender:
        return "contended_sender";
    case LimitReason::NoMemory:
        return "no_memory";
    case LimitReason::SlowReader:
        return "slow_reader";
    case LimitReason::ContendedReader:
        break;
    }
    return "contended_reader";
}

CallerAccount::~CallerAccount() { limits_.remove(*this); }

bool CallerAccount::mayContinue() const
{
    const LimitSettings& settings = limits_.settings_;
    return awaited_ == Reservation::None && phase_ != Phase::Closing
        && unansweredStatements_ < settings.pipelinedStatements && unansweredBytes_ <= settings.pipelinedBytes
        && unreadBytes_ <= settings.unreadBytesOfConnection;
}

void CallerAccount::onIncompleteMessage(std::size_t bytes, TimePoint now)
{
    if (phase_ == Phase::Closing || bytes == incompleteBytes_)
        return;
    if (incompleteBytes_ == 0)
        input_.begin(now);
    input_.bytes += bytes > incompleteBytes_ ? bytes - incompleteBytes_ : 0;
    incompleteBytes_ = bytes;
    limits_.updateTransfer(*this);
    const LimitSettings& settings = limits_.settings_;
    const Reservation needed = bytes > settings.mediumMessageBytes ? Reservation::Large
        : bytes > settings.smallMessageBytes                       ? Reservation::Medium
                                                                   : Reservation::None;
    if (needed > reservation_)
        limits_.request(*this, needed, now);
}

void CallerAccount::onMessage(TimePoint now)
{
    if (incompleteBytes_ > 0) {
        incompleteBytes_ = 0;
        limits_.updateTransfer(*this);
    }
    if (unansweredStatements_ == 0)
        limits_.release(*this, now);
}

void CallerAccount::onSession(const std::string& database, TimePoint now)
{
    if (phase_ != Phase::Silent)
        return;
    database_ = &*limits_.databases_.try_emplace(database).first;
    ++database_->second.sessions;
    limits_.setPhase(*this, unansweredStatements_ > 0 ? Phase::Busy : Phase::Idle, now);
}

void CallerAccount::onStatement(std::size_t bytes, TimePoint now)
{
    ++unansweredStatements_;
    ++limits_.unansweredStatements_;
    unansweredBytes_ += bytes;
    if (phase_ == Phase::Idle || phase_ == Phase::InTransaction)
        limits_.setPhase(*this, Phase::Busy, now);
}

void CallerAccount::onAnswer(bool isTransactionOpen, TimePoint now)
{
    const bool mightContinue = mayContinue();
    if (unansweredStatements_ > 0) {
        --unansweredStatements_;
        --limits_.unansweredStatements_;
    }
    if (unansweredStatements_ == 0) {
        unansweredBytes_ = 0;
        if (incompleteBytes_ == 0)
            limits_.release(*this, now);
        if (phase_ == Phase::Busy)
            limits_.setPhase(*this, isTransactionOpen ? Phase::InTransaction : Phase::Idle, now);
    }
    if (!mightContinue && mayContinue())
        connection_.scheduleResume();
}

void CallerAccount::onUnreadResponses(std::size_t bytes, TimePoint now)
{
    if (bytes == unreadBytes_)
        return;
    const bool mightContinue = mayContinue();
    limits_.updateUnread(*this, bytes, now);
    if (!mightContinue && mayContinue())
        connection_.scheduleResume();
}

bool CallerAccount::holdSessionState(std::size_t bytes, std::size_t entries, TimePoint now)
{
    return limits_.holdState(*this, bytes, entries, now);
}

} // namespace almondlever
