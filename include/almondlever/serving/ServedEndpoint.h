#pragma once

#include "almondlever/admission/ConcurrencyLimiter.h"
#include "almondlever/admission/RankScheduler.h"
#include "almondlever/common/TimerService.h"
#include "almondlever/control/Snapshot.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/serving/ClaimKeeper.h"
#include "almondlever/serving/CommitConfirmer.h"
#include "almondlever/serving/EndpointPool.h"
#include "almondlever/serving/ForwardJob.h"
#include "almondlever/serving/PrimaryEvidence.h"

#include <list>
#include <memory>
#include <set>
#include <unordered_map>

namespace almondlever {

class SentRequests;

/** Makes the queue of an endpoint; lets the measuring tool compare orders. */
using SchedulerFactory = std::function<std::unique_ptr<Scheduler>(const std::vector<RankRule>&, std::size_t slots)>;

/** Bounds of the serving side. */
struct ServingSettings {
    /** Connections of each endpoint left for control by observers. */
    std::size_t controlReserve = 9;
    /** An open transaction without a statement for this long is rolled back. */
    Milliseconds transactionIdleLimit { 5000 };
    /**
     * The same while requests wait in the queue. In a flood with abandoned transactions the longer limit left one slot
     * of five to all statements.
     */
    Milliseconds transactionIdleLimitWhenQueued { 1000 };
    /** An open transaction is rolled back after this time in any case. */
    Milliseconds transactionLifeLimit { 30000 };
    /** Longest time that a read waits for a replica to reach its position. */
    Milliseconds positionWaitLimit { 150 };
};

/** What an endpoint's server needs from the rest of the daemon. */
struct ServingContext {
    EndpointConnector& connector;
    TimerService& timers;
    PrimaryEvidence& evidence;
    Metrics& metrics;
    DecisionLog& decisionLog;
    ServingSettings settings;
    SchedulerFactory makeScheduler;
    /** Gives the number of the next request and of the next transaction. */
    std::function<std::uint64_t()> nextNumber;
};

/**
 * Serves one endpoint on behalf of all daemons: holds its claim, queues requests by rank, gives them slots and
 * connections, confirms writes, and keeps open transactions.
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
    /** Answers what waits with "not owner", lets running work end, and then gives up the claim. */
    void retire(TimePoint now);
    /** True when retired and nothing runs any more. */
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
    enum class Gate {
        Open,
        Hold,
        Redirect,
        Leave,
        /** The endpoint leaves, so reads go to another one of the group. */
        Elsewhere,
    };

    Gate gateFor(const ForwardJob&, TimePoint now) const;
    const PrimaryView* primaryView() const;
    bool isPrimaryHere() const;
    /** True when the platform's list shows the endpoint as leaving and another endpoint is known to be the primary. */
    bool isLeavingReplica() const;
    void place(ForwardJob, TimePoint now);
    void hold(ForwardJob, TimePoint now);
    void enqueue(ForwardJob, TimePoint now);
    /** Slots that may be taken: the adapted limit, but one more than open transactions take as long as it is not zero.
     */
    std::size_t usableSlots(TimePoint now) const;
    void dispatch(TimePoint now);
    void run(ForwardJob, const EndpointPool::ConnectionPtr&, TimePoint now);
    void onReply(ForwardJob, const EndpointPool::ConnectionPtr&, const EndpointResult<EndpointReply>&, TimePoint sentAt,
        TimePoint now);
    void onRefused(ForwardJob, const EndpointError&, TimePoint now);
    void confirm(ForwardJob, const EndpointReply&, TimePoint sentAt, TimePoint now);
    void learn(LogPosition, Milliseconds staleness);
    void finishSlot(const QueuedRequest&, Duration slotTime, TimePoint now);
    void releaseSlot(const QueuedRequest&, Duration slotTime, TimePoint now);

    void submitToTransaction(ForwardJob, TimePoint now);
    void runInTransaction(ForwardJob, Transaction&, TimePoint now);
    void onTransactionReply(ForwardJob, const EndpointResult<EndpointReply>&, TimePoint sentAt, TimePoint now);
    void endTransaction(const TransactionId&, bool isConnectionUsable, TimePoint now);
    void endIdleTransactions(TimePoint now);

    void releaseHeld(TimePoint now);
    /** Takes work that only the primary may do out of the queue when another endpoint leads. */
    void redirectQueued(TimePoint now);
    void expireQueued(TimePoint now);
    void refuseReadsIfUnreachable(TimePoint now);
    void askForPosition(TimePoint now);
    void reportPausedWrites();
    /** Raises a doubt about the primary while a statement waits for its answer far longer than usual. */
    void reportSlowPrimary(TimePoint now);

    EndpointStatement statementFor(const ForwardJob&) const;
    /** True when an earlier attempt of a keyed write may have run, so that its refusal must not say not_run. */
    bool mayHaveRunBefore(const ForwardJob&, TimePoint now) const;
    void notePrimaryHere(TimePoint now);
    void reply(ForwardJob&, ForwardSuccess, TimePoint now);
    void refuse(ForwardJob&, ForwardErrorCode, Outcome, std::string detail, Milliseconds retryAfter, TimePoint now);
    ForwardReply makeReply(const ForwardJob&, TimePoint now) const;

    ServingContext& context_;
    SnapshotPtr snapshot_;
    DatabaseId database_;
    EndpointDescription endpoint_;
    std::shared_ptr<EndpointControl> control_;
    ClaimKeeper claim_;
    EndpointPool pool_;
    std::unique_ptr<Scheduler> scheduler_;
    ConcurrencyLimiter limiter_;
    std::unique_ptr<CommitConfirmer> confirmer_;
    std::unordered_map<Ticket, ForwardJob> queued_;
    std::list<ForwardJob> held_;
    std::unordered_map<TransactionId, Transaction> transactions_;
    std::unique_ptr<SentRequests> sentRequests_;
    /** Since when all keyed writes of the database come through here; earlier ones went to another daemon. */
    TimePoint servesWritesSince_;
    Term servedTerm_ = 0;
    std::size_t running_ = 0;
    std::size_t runningWrites_ = 0;
    /** When each statement in flight was sent. */
    std::multiset<TimePoint> sentTimes_;
    Duration usualLatency_ { 0 };
    LogPosition knownPosition_;
    Milliseconds knownStaleness_ { 0 };
    bool isAskingForPosition_ = false;
    bool isRetired_ = false;
    bool isClaimReleased_ = false;
    /** Outlives the object in callbacks, which do nothing once it is gone. */
    std::shared_ptr<bool> alive_;
};

} // namespace almondlever
