#pragma once

#include "almondlever/customers/CustomerAccess.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/pooling/StatementRunner.h"
#include "almondlever/sessions/Routing.h"
#include "almondlever/sessions/SessionContents.h"
#include "almondlever/sessions/Statement.h"

#include <deque>
#include <memory>
#include <string>

namespace almondlever {

/** The interface through which a session writes to its caller's connection. */
class CallerLink {
public:
    virtual ~CallerLink() = default;

    virtual void send(const Reply&) = 0;
    /** Sends what has been written so far, then closes. The session gets no further callbacks. */
    virtual void close() = 0;
    /**
     * Accounts for the session's values and prepared statements: their size and number. False if there is no memory
     * for them; the session then keeps what it had.
     */
    virtual bool holdSessionState(std::size_t /*bytes*/, std::size_t /*entries*/) { return true; }
};

/** Provides sessions with the configuration in force. */
class RoutingSource {
public:
    virtual ~RoutingSource() = default;

    /** Returns nullptr before the first configuration. */
    virtual std::shared_ptr<const RoutingConfiguration> routing() const = 0;
};

/**
 * One session of a caller with its session values, prepared statements, log position and transaction.
 *
 * Statements that set a value, prepare a statement or begin a transaction are answered at once. Their effect reaches an
 * endpoint only with the first statement that needs it. The route is fixed from the start of a statement or transaction
 * to its end. Statements are answered in the order in which they arrive.
 *
 * Every statement that an endpoint runs needs a key in force when it arrives, and every operation (a statement outside
 * of transactions, or a transaction) counts against its customer's limit.
 *
 * @see CustomerAccess
 */
class Session {
public:
    /** Maximum number of statements that wait behind the running one. If a caller sends more, the session is closed. */
    static constexpr std::size_t maximumPipelined = 64;
    /**
     * Maximum size of a statement with its id, and of the names, values and prepared statements of a session together.
     * Messages have at most 1 MiB, and the proxy's own name or position may take more room than the caller's text.
     */
    static constexpr std::size_t maximumStatementBytes = std::size_t { 1020 } * 1024;
    static constexpr std::size_t maximumContentsBytes = maximumStatementBytes;

    /** The key may be the empty digest where callers need none. */
    Session(DatabaseId database, const KeyDigest& key, CallerLink&, const RoutingSource&, CustomerAccess&,
        StatementRunner&, Metrics&);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void onStatement(Statement, TimePoint now);
    /** Called when the caller's connection has closed. Rolls back an open transaction. */
    void onCallerClosed(TimePoint now);
    /** Rolls back a transaction that has been idle for too long. */
    void onTick(TimePoint now);
    /** Rolls back an open transaction unless a statement runs, and refuses the caller's next statement. Used when the
     * transaction idles for too long and while the process shuts down. */
    void abortTransaction(const std::string& reason, TimePoint now);

    /**
     * Answers a running statement with an error immediately and closes the session. The error is Unknown if the
     * statement may have taken effect, otherwise Busy or, in a transaction, Aborted. Used when the process is about to
     * end.
     */
    void closeImmediately(const std::string& reason, TimePoint now);

    /** True if no transaction is open and no statement is running or waiting. */
    bool isQuiescent() const { return state_ == TransactionState::None && !isRunning_ && pendingStatements_.empty(); }
    bool isRunning() const { return isRunning_; }
    /** Ends an open transaction and closes the session if its key is not in force any more. */
    void endIfKeyWithdrawn(TimePoint now);
    /** Closes the session as soon as no transaction is open and no statement is running or waiting. */
    void closeWhenQuiescent();

private:
    void startNext(TimePoint now);
    void run(const Statement&, TimePoint now);
    void runBegin(const Statement&, TimePoint now);
    void runRollback(TimePoint now);
    void runCommit(const Statement&, TimePoint now);
    void runOnEndpoint(const Statement&, TimePoint now);
    void runLocal(const Statement&, TimePoint now);
    /** Checks that the key is in force; if not, answers the statement and returns false. */
    bool checkKey(const Statement&, TimePoint now);
    /** Ends the transaction and the session, whose key is not in force. */
    void refuseUnknownKey(TimePoint now);
    /** Ends the transaction and answers its running statement with Aborted. */
    void refuseInTransaction(const Statement&, const std::string& reason, TimePoint now);
    /** Requests an operation of the customer's limit, and then starts it with this statement. */
    void requestOperation(const Statement&, TimePoint now);
    void onQuotaDecision(const Statement&, const std::optional<QuotaRefusal>&, TimePoint now);
    void startOperation(const Statement&, TimePoint now);
    void submitStatement(const Statement&, TimePoint now);
    /** Stops waiting for the result of the running statement. */
    void abandonRunning(TimePoint now);
    void submit(StatementRequest, TimePoint now);
    void onResult(StatementResult&&, TimePoint now);
    /** Answers with an error, which ends an open transaction. */
    void answerWithError(StatementError, const std::string& detail, TimePoint now);
    void answer(Reply, TransactionState);
    bool resolveRoute(TimePoint now);
    StatementRequest makeRequest(const Statement&, TimePoint now) const;
    SessionContents& writableContents();
    /** Accounts for the contents as they will be after the statement; answers it if there is no room for them. */
    bool admitContents(const Statement&, TimePoint now);

    DatabaseId database_;
    KeyDigest key_;
    CallerLink& link_;
    const RoutingSource& routing_;
    CustomerAccess& access_;
    StatementRunner& runner_;
    Metrics& metrics_;

    std::shared_ptr<SessionContents> contents_ = std::make_shared<SessionContents>();
    /** Equal to contents_->bytes(), whose cost grows with the number of values. */
    std::size_t contentsBytes_ = 0;
    /** Highest position of the session's own commits. */
    std::optional<LogPosition> position_;
    TransactionState state_ = TransactionState::None;
    /** Route of the running statement or transaction. */
    Route route_;
    /** Customer of the running statement or transaction; empty where callers need no key. */
    CustomerId customer_;
    bool isReadOnlyTransaction_ = false;
    bool hasWritten_ = false;
    TransactionHandle transaction_;
    /** Why the proxy rolled back the transaction; sent to the caller in reply to its next statement. */
    std::string abortReason_;

    std::deque<Statement> pendingStatements_;
    bool isRunning_ = false;
    bool isStarting_ = false;
    bool isCommitting_ = false;
    bool isWriting_ = false;
    bool isClosing_ = false;
    bool isClosed_ = false;
    Ticket ticket_ = 0;
    /** Set while the running statement waits for the decision about the customer's limit. */
    QuotaTicket quotaTicket_ = 0;
    TimePoint startedAt_;
    TimePoint lastActivity_;
};

} // namespace almondlever
