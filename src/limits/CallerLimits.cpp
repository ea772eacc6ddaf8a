#include "almondlever/limits/CallerLimits.h"

#include <algorithm>
#include <cassert>

namespace almondlever {

namespace {

    /** Largest message of a caller. */
    constexpr std::size_t largestMessageBytes = std::size_t { 1024 } * 1024;
    /** Waiting statements beyond this multiple of the reservations would not be served in time. */
    constexpr std::size_t waitingPerReservation = 32;

} // namespace

CallerLimits::CallerLimits(const LimitSettings& settings, Metrics& metrics)
    : settings_(settings)
    , metrics_(metrics)
    , log_(settings.logLinesPerSecond)
{
    assert(*firstInvalidLimit(settings) == '\0');
}

CallerLimits::~CallerLimits() = default;

std::unique_ptr<CallerAccount> CallerLimits::accept(LimitedConnection& connection, TimePoint now)
{
    if (connections_ >= settings_.callerDescriptors && !evict(now)) {
        note(LimitReason::NoDescriptor, nullptr, now);
        return nullptr;
    }
    // The constructor is private, so that every account is registered here.
    std::unique_ptr<CallerAccount> account(new CallerAccount(*this, connection, now)); // NOLINT
    account->position_ = silent_.insert(silent_.end(), account.get());
    ++connections_;
    return account;
}

void CallerLimits::note(LimitReason reason, const CallerAccount* account, TimePoint now)
{
    metrics_.count("almondlever_caller_limits_total", std::string("reason=\"") + toText(reason) + '"');
    if (!log_.admits(1, now))
        return;
    const std::size_t unread = account ? account->unreadBytes_ : 0;
    const std::size_t incomplete = account ? account->incompleteBytes_ : 0;
    log_.write("close_caller",
        { { "reason", toText(reason) }, { "connections", std::to_string(connections_) },
            { "incomplete_bytes", std::to_string(incomplete) }, { "unread_bytes", std::to_string(unread) },
            { "database", account && account->database_ ? account->database_->first : "-" } });
}

void CallerLimits::close(CallerAccount& account, LimitReason reason, TimePoint now)
{
    if (account.phase_ == Phase::Closing)
        return;
    note(reason, &account, now);
    setPhase(account, Phase::Closing, now);
    stopWaiting(account);
    --connections_;
    account.connection_.scheduleClose(reason);
}

void CallerLimits::remove(CallerAccount& account)
{
    if (account.phase_ != Phase::Closing)
        --connections_;
    stopWaiting(account);
    unansweredStatements_ -= account.unansweredStatements_;
    account.incompleteBytes_ = 0;
    held_.unreadResponses -= account.unreadBytes_;
    account.unreadBytes_ = 0;
    updateTransfer(account);
    listOf(account).erase(account.position_);
    held_.sessionState -= account.stateBytes_;
    if (account.database_) {
        CallerAccount::Database& database = account.database_->second;
        database.stateBytes -= account.stateBytes_;
        if (--database.sessions == 0)
            databases_.erase(account.database_->first);
    }
    // Those that wait get the memory with the next tick: the time is not known here.
    if (account.reservation_ != Reservation::None)
        heldBy(account.reservation_) -= costOf(account.reservation_);
}

CallerLimits::Accounts& CallerLimits::listOf(const CallerAccount& account)
{
    switch (account.phase_) {
    case Phase::Silent:
        return silent_;
    case Phase::Idle:
        return account.database_->second.idle;
    case Phase::InTransaction:
        return account.database_->second.inTransaction;
    case Phase::Busy:
        return account.database_->second.busy;
    case Phase::Closing:
        break;
    }
    return closing_;
}

void CallerLimits::setPhase(CallerAccount& account, Phase phase, TimePoint now)
{
    Accounts& from = listOf(account);
    account.phase_ = phase;
    account.phaseSince_ = now;
    Accounts& to = listOf(account);
    to.splice(to.end(), from, account.position_);
}

bool CallerLimits::evict(TimePoint now)
{
    if (!silent_.empty()) {
        close(*silent_.front(), LimitReason::SilentEvicted, now);
        return true;
    }
    return evictSession(&CallerAccount::Database::idle, settings_.shortestEvictedIdle, LimitReason::IdleEvicted, now)
        || evictSession(&CallerAccount::Database::inTransaction, settings_.shortestEvictedTransaction,
            LimitReason::TransactionEvicted, now);
}

bool CallerLimits::evictSession(
    Accounts CallerAccount::Database::*list, Milliseconds least, LimitReason reason, TimePoint now)
{
    CallerAccount::Database* largest = nullptr;
    for (auto& [name, database] : databases_) {
        const Accounts& accounts = database.*list;
        if (accounts.empty())
            continue;
        // A flood of one database must not lock out the others by keeping its sessions active.
        const bool isDominant = databases_.size() > 1 && database.sessions > connections_ / 2;
        const bool isLongEnough = isDominant || now - accounts.front()->phaseSince_ >= least;
        if (isLongEnough && (!largest || database.sessions > largest->sessions))
            largest = &database;
    }
    if (!largest)
        return false;
    close(*(largest->*list).front(), reason, now);
    return true;
}

std::size_t CallerLimits::costOf(Reservation reservation) const
{
    const std::size_t bytes = reservation == Reservation::Large ? largestMessageBytes : settings_.mediumMessageBytes;
    return reservation == Reservation::None ? 0 : settings_.statementCopies * bytes;
}

std::size_t& CallerLimits::heldBy(Reservation reservation)
{
    return reservation == Reservation::Large ? held_.largeStatements : held_.mediumStatements;
}

CallerLimits::Accounts& CallerLimits::waitingFor(Reservation reservation)
{
    return reservation == Reservation::Large ? waitingLarge_ : waitingMedium_;
}

bool CallerLimits::isFree(Reservation reservation)
{
    const std::size_t most
        = reservation == Reservation::Large ? settings_.largeStatementBytes : settings_.mediumStatementBytes;
    return heldBy(reservation) + costOf(reservation) <= most;
}

void CallerLimits::request(CallerAccount& account, Reservation reservation, TimePoint now)
{
    if (account.awaited_ != Reservation::None)
        return;
    Accounts& waiting = waitingFor(reservation);
    if (waiting.empty() && isFree(reservation)) {
        release(account, now);
        account.reservation_ = reservation;
        heldBy(reservation) += costOf(reservation);
        return;
    }
    const std::size_t most
        = reservation == Reservation::Large ? settings_.largeStatementBytes : settings_.mediumStatementBytes;
    if (waiting.size() >= waitingPerReservation * (most / costOf(reservation)))
        return close(account, LimitReason::NoMemory, now);
    account.awaited_ = reservation;
    account.awaitedSince_ = now;
    account.waitingPosition_ = waiting.insert(waiting.end(), &account);
}

void CallerLimits::release(CallerAccount& account, TimePoint now)
{
    if (account.reservation_ == Reservation::None)
        return;
    heldBy(account.reservation_) -= costOf(account.reservation_);
    account.reservation_ = Reservation::None;
    admitWaiting(now);
}

void CallerLimits::stopWaiting(CallerAccount& account)
{
    if (account.awaited_ == Reservation::None)
        return;
    waitingFor(account.awaited_).erase(account.waitingPosition_);
    account.awaited_ = Reservation::None;
}

void CallerLimits::admitWaiting(TimePoint now)
{
    for (const Reservation reservation : { Reservation::Large, Reservation::Medium }) {
        Accounts& waiting = waitingFor(reservation);
        while (!waiting.empty() && isFree(reservation)) {
            CallerAccount& account = *waiting.front();
            stopWaiting(account);
            if (account.reservation_ != Reservation::None)
                heldBy(account.reservation_) -= costOf(account.reservation_);
            account.reservation_ = reservation;
            heldBy(reservation) += costOf(reservation);
            account.input_.begin(now);
            account.connection_.scheduleResume();
        }
    }
}

bool CallerLimits::holdState(CallerAccount& account, std::size_t bytes, std::size_t entries, TimePoint now)
{
    if (!account.database_)
        return true;
    const std::size_t needed = bytes + entries * settings_.stateEntryBytes;
    const std::size_t charged = needed - std::min(needed, settings_.freeSessionStateBytes);
    CallerAccount::Database& database = account.database_->second;
    const std::size_t total = held_.sessionState - account.stateBytes_ + charged;
    const std::size_t ofDatabase = database.stateBytes - account.stateBytes_ + charged;
    const auto share
        = static_cast<std::size_t>(static_cast<double>(settings_.sessionStateBytes) * settings_.stateShareOfDatabase);
    const bool isWithinShares = total <= settings_.sessionStateBytes && ofDatabase <= share;
    if (charged > account.stateBytes_ && !isWithinShares) {
        metrics_.count("almondlever_caller_limits_total", "reason=\"session_state\"");
        if (log_.admits(1, now))
            log_.write("refuse_session_state",
                { { "database", account.database_->first }, { "session_bytes", std::to_string(charged) },
                    { "database_bytes", std::to_string(database.stateBytes) },
                    { "total_bytes", std::to_string(held_.sessionState) } });
        return false;
    }
    held_.sessionState = total;
    database.stateBytes = ofDatabase;
    account.stateBytes_ = charged;
    return true;
}

void CallerLimits::updateUnread(CallerAccount& account, std::size_t bytes, TimePoint now)
{
    if (account.unreadBytes_ == 0)
        account.output_.begin(now);
    account.output_.bytes += account.unreadBytes_ > bytes ? account.unreadBytes_ - bytes : 0;
    const bool hasGrown = bytes > account.unreadBytes_;
    held_.unreadResponses = held_.unreadResponses - account.unreadBytes_ + bytes;
    account.unreadBytes_ = bytes;
    updateTransfer(account);
    if (hasGrown && held_.unreadResponses > settings_.unreadResponseBytes)
        closeSlowReaders(&account, now);
}

void CallerLimits::closeSlowReaders(const CallerAccount* writing, TimePoint now)
{
    // What is being closed holds its bytes until it is closed.
    std::size_t leaving = 0;
    for (const CallerAccount* account : closing_)
        leaving += account->unreadBytes_;
    while (held_.unreadResponses - leaving > settings_.unreadResponseBytes) {
        CallerAccount* worst = nullptr;
        double worstScore = 0;
        for (CallerAccount* account : transfers_) {
            // The responses of the one that is writing have not been offered to the caller yet.
            if (account == writing || account->unreadBytes_ == 0 || account->phase_ == Phase::Closing)
                continue;
            // Large and slow: the bytes times the time in which they were not read.
            const std::chrono::duration<double> age = now - account->output_.since + Milliseconds(1);
            const double score = age.count() * static_cast<double>(account->unreadBytes_);
            if (score > worstScore) {
                worst = account;
                worstScore = score;
            }
        }
        if (!worst)
            return;
        leaving += worst->unreadBytes_;
        close(*worst, LimitReason::ContendedReader, now);
    }
}

void CallerLimits::updateTransfer(CallerAccount& account)
{
    const bool isTransfer = account.incompleteBytes_ > 0 || account.unreadBytes_ > 0;
    if (isTransfer == account.isInTransfers_)
        return;
    account.isInTransfers_ = isTransfer;
    if (isTransfer)
        account.transferPosition_ = transfers_.insert(transfers_.end(), &account);
    else
        transfers_.erase(account.transferPosition_);
}

void CallerLimits::onTick(TimePoint now)
{
    checkStartups(now);
    checkWaiting(Reservation::Large, now);
    checkWaiting(Reservation::Medium, now);
    checkTransfers(now);
    if (held_.unreadResponses > settings_.unreadResponseBytes)
        closeSlowReaders(nullptr, now);
    admitWaiting(now);
    exportGauges();
}

void CallerLimits::checkStartups(TimePoint now)
{
    while (!silent_.empty() && now - silent_.front()->phaseSince_ >= settings_.startupTimeout)
        close(*silent_.front(), LimitReason::StartupTimeout, now);
}

void CallerLimits::checkWaiting(Reservation reservation, TimePoint now)
{
    Accounts& waiting = waitingFor(reservation);
    while (!waiting.empty() && now - waiting.front()->awaitedSince_ >= settings_.reservationTimeout)
        close(*waiting.front(), LimitReason::NoMemory, now);
}

void CallerLimits::checkTransfers(TimePoint now)
{
    std::size_t waitingLarge = waitingLarge_.size();
    std::size_t waitingMedium = waitingMedium_.size();
    for (CallerAccount* account : transfers_) {
        if (account->phase_ == Phase::Closing)
            continue;
        if (account->unreadBytes_ > 0 && isStalled(account->output_, settings_.progressPeriod, now)) {
            close(*account, LimitReason::SlowReader, now);
            continue;
        }
        // The input of a connection that has to wait cannot make progress.
        if (account->incompleteBytes_ == 0 || !account->mayContinue()) {
            account->input_.begin(now);
            continue;
        }
        const bool holdsMemory = account->reservation_ != Reservation::None;
        const Milliseconds period = holdsMemory ? settings_.contendedPeriod : settings_.progressPeriod;
        std::size_t& waiting = account->reservation_ == Reservation::Large ? waitingLarge : waitingMedium;
        const bool isPeriodOver = now - account->input_.since >= period;
        if (holdsMemory && waiting > 0 && isPeriodOver && account->input_.bytes < settings_.contendedBytes) {
            --waiting;
            close(*account, LimitReason::ContendedSender, now);
        } else if (isStalled(account->input_, period, now)) {
            close(*account, LimitReason::SlowSender, now);
        }
    }
}

bool CallerLimits::isStalled(CallerAccount::Progress& progress, Milliseconds period, TimePoint now) const
{
    const Duration elapsed = now - progress.since;
    if (elapsed < period)
        return false;
    const Duration stalled = progress.bytes < settings_.progressBytes ? progress.stalled + elapsed : Duration(0);
    progress.since = now;
    progress.bytes = 0;
    progress.stalled = stalled;
    return stalled >= settings_.progressPeriod;
}

void CallerLimits::exportGauges()
{
    const auto set = [this](const char* kind, std::size_t bytes) {
        metrics_.setGauge(
            "almondlever_caller_held_bytes", std::string("kind=\"") + kind + '"', static_cast<double>(bytes));
    };
    set("medium_statements", held_.mediumStatements);
    set("large_statements", held_.largeStatements);
    set("session_state", held_.sessionState);
    set("unread_responses", held_.unreadResponses);
    metrics_.setGauge("almondlever_caller_connections", "", static_cast<double>(connections_));
    metrics_.setGauge(
        "almondlever_caller_statements_waiting", "", static_cast<double>(waitingLarge_.size() + waitingMedium_.size()));
}

HeldBytes CallerLimits::sumOverAccounts() const
{
    HeldBytes sum;
    const auto add = [this, &sum](const Accounts& accounts) {
        for (const CallerAccount* account : accounts) {
            if (account->reservation_ == Reservation::Large)
                sum.largeStatements += costOf(Reservation::Large);
            else
                sum.mediumStatements += costOf(account->reservation_);
            sum.sessionState += account->stateBytes_;
            sum.unreadResponses += account->unreadBytes_;
        }
    };
    add(silent_);
    add(closing_);
    for (const auto& [name, database] : databases_) {
        add(database.idle);
        add(database.inTransaction);
        add(database.busy);
    }
    return sum;
}

} // namespace almondlever
