#pragma once

#include "almondlever/observability/Metrics.h"
#include "almondlever/pooling/StatementRunner.h"
#include "almondlever/sessions/Routing.h"
#include "almondlever/sessions/SessionContents.h"
#include "almondlever/sessions/Statement.h"

#include <deque>
#include <memory>
#include <string>

namespace almondlever {

/** The connection of a caller, as a session writes to it. */
class CallerLink {
public:
    virtual ~CallerLink() = default;

    virtual void send(const Reply&) = 0;
    /** Sends what is written so far and closes; the session hears nothing more. */
    virtual void close() = 0;
};

/** Gives sessions the configuration in force. */
class RoutingSource {
public:
    virtual ~RoutingSource() = default;

    /** nullptr before the first configuration. */
    virtual std::shared_ptr<const RoutingConfiguration> routing() const = 0;
};

/**
 * One session of a caller: its values, prepared statements, position and transaction.
 *
 * Values, prepared statements and the begin of a transaction are answered at once and reach an endpoint only with the
 * first statement that needs them. A route applies from the start of a statement or transaction to its end. Statements
 * are answered in the order in which they came.
 */
class Session {
public:
    /** Statements that may wait behind the running one; a caller that sends more is closed. */
    static constexpr std::size_t maximumPipelined = 64;

    Session(DatabaseId database, CallerLink&, const RoutingSource&, StatementRunner&, Metrics&);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void onStatement(Statement, TimePoint now);
    /** The caller's connection is gone; an open transaction is rolled back. */
    void onCallerClosed(TimePoint now);
    /** Ends a transaction that idles for too long. */
    void onTick(TimePoint now);
    /** Ends an open transaction; the caller's next statement is refused. Used while the process stops. */
    void abortTransaction(const std::string& reason, TimePoint now);

    /**
     * Answers a running statement at once and closes. The answer promises no effect only where there can be none; used
     * when the process is about to end.
     */
    void endNow(const std::string& reason, TimePoint now);

    /** No transaction is open and no statement is outstanding. */
    bool isAtRest() const { return state_ == TransactionState::None && !isRunning_ && waiting_.empty(); }
    bool isRunning() const { return isRunning_; }
    /** Answers its current statement, then closes instead of starting another operation. */
    void closeWhenAtRest();

private:
    void startNext(TimePoint now);
    void run(const Statement&, TimePoint now);
    void runBegin(const Statement&);
    void runRollback(TimePoint now);
    void runCommit(const Statement&, TimePoint now);
    void runOnEndpoint(const Statement&, TimePoint now);
    void runLocal(const Statement&);
    void submit(StatementRequest, TimePoint now);
    void onResult(StatementResult&&, TimePoint now);
    void failLocally(StatementError, const std::string& detail);
    void answer(Reply, TransactionState);
    bool takeRoute();
    StatementRequest makeRequest(const Statement&, TimePoint now) const;
    SessionContents& writableContents();

    DatabaseId database_;
    CallerLink& link_;
    const RoutingSource& routing_;
    StatementRunner& runner_;
    Metrics& metrics_;

    std::shared_ptr<SessionContents> contents_ = std::make_shared<SessionContents>();
    std::optional<LogPosition> position_;
    TransactionState state_ = TransactionState::None;
    /** The route of the running statement or transaction. */
    Route route_;
    bool isReadOnlyTransaction_ = false;
    bool hasWritten_ = false;
    TransactionHandle transaction_;
    /** Why the proxy ended the transaction; told to the caller with its next statement. */
    std::string abortReason_;

    std::deque<Statement> waiting_;
    bool isRunning_ = false;
    bool isStarting_ = false;
    bool isCommitting_ = false;
    bool isWriting_ = false;
    bool isClosing_ = false;
    bool isClosed_ = false;
    Ticket ticket_ = 0;
    TimePoint startedAt_;
    TimePoint lastActivity_;
};

} // namespace almondlever
