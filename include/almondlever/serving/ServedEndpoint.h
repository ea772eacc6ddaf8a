#pragma once

#include "almondlever/admission/ConcurrencyLimiter.h"
#include "almondlever/admission/RankScheduler.h"
#include "almondlever/common/TimerService.h"
#include "almondlever/control/Snapshot.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/serving/ClaimManager.h"
#include "almondlever/serving/CommitConfirmer.h"
#include "almondlever/serving/EndpointPool.h"
#include "almondlever/serving/ForwardJob.h"
#include "almondlever/serving/PrimaryListener.h"

#include <list>
#include <memory>
#include <set>
#include <unordered_map>

namespace almondlever {

class SentRequests;

/** Creates the request queue of an endpoint; almondlever-measure replaces it to compare scheduling policies. */
using SchedulerFactory = std::function<std::unique_ptr<Scheduler>(const std::vector<RankRule>&, std::size_t slots)>;

/** Limits for served endpoints. */
struct ServingSettings {
    /** Connections of each endpoint that are reserved for control requests of observers. */
    std::size_t controlReserve = 9;
    /** A transaction that has been idle for longer than this is rolled back. */
    Milliseconds transactionIdleLimit { 5000 };
    /**
     * Idle limit while requests are queued. In a flood with abandoned transactions, the longer limit left only one slot
     * of five for all statements.
     */
    Milliseconds transactionIdleLimitWhenQueued { 1000 };
    /** A transaction that has been open for longer than this is rolled back, even when it is used. */
    Milliseconds transactionLifeLimit { 30000 };
    /** Longest time that a read waits until the replica reaches the read's minimum position. */
    Milliseconds positionWaitLimit { 150 };
};

/** What ServedEndpoint needs from the rest of the daemon. */
struct ServingContext {
    EndpointConnector& connector;
    TimerService& timers;
    PrimaryListener& primaryListener;
    Metrics& metrics;
    DecisionLog& decisionLog;
    ServingSettings settings;
    SchedulerFactory makeScheduler;
    /** Returns the next number for queue tickets and transaction ids. */
    std::function<std::uint64_t()> nextNumber;
};

/**
 * Serves one endpoint on behalf of all daemons: holds its claim, queues requests by rank, assigns them slots and
 * connections, confirms writes, and manages open transactions.
 *
 * Runs on the traffic thread. Every submitted job is answered exactly once.
 */
class ServedEndpoint {
public:
    ServedEndpoint(ServingContext&, SnapshotPtr, const DatabaseId&, const EndpointDescription&);
    ~ServedEndpoint();
    ServedEndpoint(const ServedEndpoint&) = delete;
    ServedEndpoint& operator=(const ServedEndpoint&) = delete;

    void setSnapshot(SnapshotPtr, TimePoint now);
    void submit(ForwardJob, TimePoint now);
    void onTick(TimePoint now);
    /** Refuses waiting jobs with NotOwner, lets running ones finish, and then releases the claim. */
    void retire(TimePoint now);
    /** True when the endpoint is retired, its claim is released and nothing is running. */
    bool isDone() const;

    const EndpointId& id() const { return endpoint_.id; }
    std::size_t queuedCount() const;
    std::size_t runningCount() const { return running_; }
    bool hasTransaction(const TransactionId& id) const { return transactions_.count(id) > 0; }
    std::size_t transactionCount() const { return transactions_.size(); }

private:
    struct Transaction {
        EndpointPool::ConnectionPtr connection;
        QueuedRequest queued;
        CallerId caller;
        Term term = 0;
        TimePoint beganAt;
        TimePoint lastUsed;
        bool isBusy = false;
    };
    /** Whether a job can run now, and otherwise what to do with it. */
    enum class Readiness {
        Ready,
        /** The job is kept and checked again later. */
        Wait,
        /** Another endpoint is the primary. */
        OtherPrimary,
        /** Another daemon serves the endpoint. */
        Retired,
        /** The endpoint is leaving, so another one of the group has to run the read. */
        LeavingReplica,
    };

    Readiness readinessOf(const ForwardJob&, TimePoint now) const;
    const PrimaryView* primaryView() const;
    bool isPrimaryHere() const;
    /** True when the VM list shows the endpoint as leaving and another endpoint is known to be the primary. */
    bool isLeavingReplica() const;
    /** Queues, defers or refuses a job. */
    void admit(ForwardJob, TimePoint now);
    void defer(ForwardJob, TimePoint now);
    void enqueue(ForwardJob, TimePoint now);
    /**
     * Number of slots that may be used: the limit that the ConcurrencyLimiter sets. Unless that limit is zero, it is at
     * least one more than the open transactions occupy, but not more than the endpoint has.
     */
    std::size_t usableSlots(TimePoint now) const;
    void dispatch(TimePoint now);
    void run(ForwardJob, const EndpointPool::ConnectionPtr&, TimePoint now);
    void onReply(ForwardJob, const EndpointPool::ConnectionPtr&, const EndpointResult<EndpointReply>&, TimePoint sentAt,
        TimePoint now);
    void onStatementError(ForwardJob, const EndpointError&, TimePoint now);
    void confirm(ForwardJob, const EndpointReply&, TimePoint sentAt, TimePoint now);
    void updatePosition(LogPosition, Milliseconds staleness);
    void finishSlot(const QueuedRequest&, Duration slotTime, TimePoint now);
    void releaseSlot(const QueuedRequest&, Duration slotTime, TimePoint now);

    void submitToTransaction(ForwardJob, TimePoint now);
    void runInTransaction(ForwardJob, Transaction&, TimePoint now);
    void onTransactionReply(ForwardJob, const EndpointResult<EndpointReply>&, TimePoint sentAt, TimePoint now);
    void endTransaction(const TransactionId&, bool isConnectionUsable, TimePoint now);
    void endIdleTransactions(TimePoint now);

    void retryDeferred(TimePoint now);
    /** Removes from the queue what this endpoint may no longer run, and redirects, defers or refuses it. */
    void redirectQueued(TimePoint now);
    void expireQueued(TimePoint now);
    void refuseReadsIfUnreachable(TimePoint now);
    void requestPosition(TimePoint now);
    void reportPausedWrites();
    /** Reports the primary as failed while a statement has been unanswered for much longer than usual. */
    void reportSlowPrimary(TimePoint now);

    EndpointStatement statementFor(const ForwardJob&) const;
    /** True when an earlier attempt of a keyed write may have run, so that a refusal must not report not_run. */
    bool mayHaveRunBefore(const ForwardJob&, TimePoint now) const;
    void updateServedTerm(TimePoint now);
    void reply(ForwardJob&, ForwardSuccess, TimePoint now);
    void refuse(ForwardJob&, ForwardErrorCode, Outcome, std::string detail, Milliseconds retryAfter, TimePoint now);
    ForwardReply makeReply(const ForwardJob&, TimePoint now) const;

    ServingContext& context_;
    SnapshotPtr snapshot_;
    DatabaseId database_;
    EndpointDescription endpoint_;
    std::shared_ptr<EndpointControl> control_;
    ClaimManager claim_;
    EndpointPool pool_;
    std::unique_ptr<Scheduler> scheduler_;
    ConcurrencyLimiter limiter_;
    std::unique_ptr<CommitConfirmer> confirmer_;
    std::unordered_map<Ticket, ForwardJob> queued_;
    std::list<ForwardJob> deferred_;
    std::unordered_map<TransactionId, Transaction> transactions_;
    std::unique_ptr<SentRequests> sentRequests_;
    /** Since when this object has received all keyed writes of the database; earlier ones went to another daemon. */
    TimePoint servesWritesSince_;
    Term servedTerm_ = 0;
    std::size_t running_ = 0;
    std::size_t runningWrites_ = 0;
    /** Send times of the statements in flight. */
    std::multiset<TimePoint> sentTimes_;
    /** Exponentially weighted moving average. */
    Duration averageLatency_ { 0 };
    LogPosition knownPosition_;
    Milliseconds knownStaleness_ { 0 };
    bool isPositionRequested_ = false;
    bool isRetired_ = false;
    bool isClaimReleased_ = false;
    /** Shared with callbacks, which check it because they may be called after this object was destroyed. */
    std::shared_ptr<bool> alive_;
};

} // namespace almondlever
