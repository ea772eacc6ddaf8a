#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>
#include <list>
#include <string>
#include <utility>

namespace almondlever {

class CallerLimits;

/** Why a connection is closed. */
enum class LimitReason {
    /** No STARTUP was completed in time. */
    StartupTimeout,
    /** A session that idles in a transaction makes room for another connection. */
    TransactionEvicted,
    /** A silent connection makes room for another one. */
    SilentEvicted,
    /** An idle session makes room for another connection. */
    IdleEvicted,
    /** A new connection, while all others are in use. */
    NoDescriptor,
    /** An incomplete message makes no progress. */
    SlowSender,
    /** An incomplete message makes little progress while others wait for its memory. */
    ContendedSender,
    /** A statement waited too long for memory, or too many wait already. */
    NoMemory,
    /** Responses are not read. */
    SlowReader,
    /** Responses are read too slowly while the memory for responses is used up. */
    ContendedReader,
};

/** "startup_timeout", "silent_evicted" and so on, for logs and metrics. */
const char* toText(LimitReason);

/** A caller's connection, as far as the limits act on it. Both functions may be called from within a call to an account
 * and must only schedule what they do. */
class LimitedConnection {
public:
    virtual ~LimitedConnection() = default;

    /** Closes the connection. A statement that is not fully received has not run. */
    virtual void scheduleClose(LimitReason) = 0;
    /** The connection may go on if it had to stop. */
    virtual void scheduleResume() = 0;
};

/**
 * What one caller's connection holds. Owned by the connection; what it holds is returned when it is destroyed. The
 * account must not outlive the CallerLimits that created it.
 *
 * @see CallerLimits
 */
class CallerAccount {
public:
    ~CallerAccount();
    CallerAccount(const CallerAccount&) = delete;
    CallerAccount& operator=(const CallerAccount&) = delete;

    /** True if the connection may handle its next message and read. If not, scheduleResume() follows. */
    bool mayContinue() const;
    /** The last message that was received is incomplete and has this many bytes so far. Call after each read. */
    void onIncompleteMessage(std::size_t bytes, TimePoint now);
    /** A complete message has been handled. */
    void onMessage(TimePoint now);
    /** The session is open. */
    void onSession(const std::string& database, TimePoint now);
    /** A statement of this size was passed to the session, or waits for the session to open. */
    void onStatement(std::size_t bytes, TimePoint now);
    /** A statement was answered; a transaction is open or not. */
    void onAnswer(bool isTransactionOpen, TimePoint now);
    /** This many bytes of responses wait for the caller to read. */
    void onUnreadResponses(std::size_t bytes, TimePoint now);
    /**
     * The session asks to hold this many bytes in this many values and prepared statements, in place of what it holds.
     * False if there is no memory for it.
     */
    bool holdSessionState(std::size_t bytes, std::size_t entries, TimePoint now);

private:
    friend class CallerLimits;

    enum class Phase {
        Silent,
        Idle,
        /** All statements are answered and a transaction is open or has failed. */
        InTransaction,
        /** A statement is unanswered. */
        Busy,
        Closing,
    };
    enum class Reservation { None, Medium, Large };
    /** Progress of a transfer, judged once in a period. */
    struct Progress {
        TimePoint since {};
        std::size_t bytes = 0;
        /** Time without progress before the current period. */
        Duration stalled { 0 };

        void begin(TimePoint now)
        {
            *this = Progress();
            since = now;
        }
    };
    struct Database;
    using Accounts = std::list<CallerAccount*>;

    CallerAccount(CallerLimits& limits, LimitedConnection& connection, TimePoint now)
        : limits_(limits)
        , connection_(connection)
        , phaseSince_(now)
    {
    }

    CallerLimits& limits_;
    LimitedConnection& connection_;
    Phase phase_ = Phase::Silent;
    Reservation reservation_ = Reservation::None;
    /** The reservation that the connection waits for; reading is paused meanwhile. */
    Reservation awaited_ = Reservation::None;
    bool isInTransfers_ = false;
    TimePoint phaseSince_;
    TimePoint awaitedSince_ {};
    std::size_t incompleteBytes_ = 0;
    std::size_t unansweredStatements_ = 0;
    std::size_t unansweredBytes_ = 0;
    std::size_t unreadBytes_ = 0;
    std::size_t stateBytes_ = 0;
    Progress input_;
    Progress output_;
    std::pair<const std::string, Database>* database_ = nullptr;
    /** Position in the list of the phase. */
    Accounts::iterator position_;
    Accounts::iterator waitingPosition_;
    Accounts::iterator transferPosition_;
};

} // namespace almondlever
