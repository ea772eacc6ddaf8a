#pragma once

#include "almondlever/limits/CallerAccount.h"
#include "almondlever/limits/LimitSettings.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"

#include <map>
#include <memory>

namespace almondlever {

/** What all callers hold together, in bytes. */
struct HeldBytes {
    std::size_t mediumStatements = 0;
    std::size_t largeStatements = 0;
    std::size_t sessionState = 0;
    std::size_t unreadResponses = 0;

    friend bool operator==(const HeldBytes& a, const HeldBytes& b)
    {
        return a.mediumStatements == b.mediumStatements && a.largeStatements == b.largeStatements
            && a.sessionState == b.sessionState && a.unreadResponses == b.unreadResponses;
    }
};

/** Sessions of one database. */
struct CallerAccount::Database {
    std::size_t sessions = 0;
    std::size_t stateBytes = 0;
    /** The one that is idle for the longest time first. */
    Accounts idle;
    /** Likewise. */
    Accounts inTransaction;
    Accounts busy;
};

/**
 * Accounts for the memory and the descriptors that callers use, and decides who waits, who is rejected and which
 * connection is closed.
 *
 * - A message above smallMessageBytes needs a reservation for its largest possible size before it is read on, so that
 *   statements that were begun can be completed. Who gets none waits without reading, in the order of arrival. While
 *   others wait, a holder that makes no progress is closed.
 * - Small messages, small session state and one statement per connection never wait.
 * - When no descriptor is left, the connection that was silent for the longest time makes room, then the session that
 *   was idle for the longest time, of the database with the most sessions, at last one that idles in a transaction.
 *
 * Does no I/O and reads no clock. Runs on one thread.
 */
class CallerLimits {
public:
    /** Interval of onTick(). */
    static constexpr Milliseconds tickInterval { 250 };

    CallerLimits(const LimitSettings&, Metrics&);
    ~CallerLimits();
    CallerLimits(const CallerLimits&) = delete;
    CallerLimits& operator=(const CallerLimits&) = delete;

    /** Admits a new connection, which may close another one; nullptr if the new one must be closed. */
    std::unique_ptr<CallerAccount> accept(LimitedConnection&, TimePoint now);
    /** Closes what is too slow. Call every tickInterval. */
    void onTick(TimePoint now);

    std::size_t connections() const { return connections_; }
    const HeldBytes& held() const { return held_; }
    /** Statements of all callers that were received and are not answered. */
    std::size_t unansweredStatements() const { return unansweredStatements_; }
    /** Sums up what the accounts hold; equal to held() unless an account leaks. For tests. */
    HeldBytes sumOverAccounts() const;

private:
    friend class CallerAccount;
    using Phase = CallerAccount::Phase;
    using Reservation = CallerAccount::Reservation;
    using Accounts = CallerAccount::Accounts;

    void note(LimitReason, const CallerAccount*, TimePoint now);
    void close(CallerAccount&, LimitReason, TimePoint now);
    void remove(CallerAccount&);
    void setPhase(CallerAccount&, Phase, TimePoint now);
    Accounts& listOf(const CallerAccount&);
    /** Closes the session that has been in the list for the longest time, of the database with the most sessions. */
    bool evictSession(Accounts CallerAccount::Database::*list, Milliseconds least, LimitReason, TimePoint now);
    /** Closes one connection to make room for another; false if all of them are in use. */
    bool evict(TimePoint now);

    std::size_t costOf(Reservation) const;
    std::size_t& heldBy(Reservation);
    Accounts& waitingFor(Reservation);
    bool isFree(Reservation);
    /** Reserves memory for an incomplete message, or lets its connection wait. */
    void request(CallerAccount&, Reservation, TimePoint now);
    void release(CallerAccount&, TimePoint now);
    void stopWaiting(CallerAccount&);
    /** Gives free reservations to those that wait. */
    void admitWaiting(TimePoint now);
    bool holdState(CallerAccount&, std::size_t bytes, std::size_t entries, TimePoint now);
    void updateUnread(CallerAccount&, std::size_t bytes, TimePoint now);
    /** Closes slow and large readers until the unread responses are within their share. */
    void closeSlowReaders(const CallerAccount* writing, TimePoint now);
    /** Adds the account to the transfers, or removes it. */
    void updateTransfer(CallerAccount&);
    void checkStartups(TimePoint now);
    void checkWaiting(Reservation, TimePoint now);
    void checkTransfers(TimePoint now);
    /** Judges the progress at the end of a period; true if there was none for progressPeriod. */
    bool isStalled(CallerAccount::Progress&, Milliseconds period, TimePoint now) const;
    void exportGauges();

    LimitSettings settings_;
    Metrics& metrics_;
    DecisionLog log_;
    HeldBytes held_;
    std::size_t unansweredStatements_ = 0;
    /** Connections that are not being closed. */
    std::size_t connections_ = 0;
    /** Connections without a session, the oldest first. */
    Accounts silent_;
    Accounts closing_;
    std::map<std::string, CallerAccount::Database> databases_;
    /** Connections that wait for a reservation, in the order of their requests. */
    Accounts waitingMedium_;
    Accounts waitingLarge_;
    /** Connections with an incomplete message or unread responses. */
    Accounts transfers_;
};

} // namespace almondlever
