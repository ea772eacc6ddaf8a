#pragma once

#include "CapacityTracker.h"
#include "EndpointLinks.h"
#include "LinkTransaction.h"
#include "almondlever/admission/RankScheduler.h"
#include "almondlever/pooling/EndpointSelection.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/pooling/WriteProgress.h"

#include <set>
#include <unordered_map>

namespace almondlever {

/** A statement that was submitted and has no result yet. */
struct PendingStatement {
    StatementRequest request;
    StatementCallback callback;
    std::size_t attempts = 0;
    /** Endpoints that refused it; they are not tried again while others remain. */
    std::set<EndpointId> refusedBy;
    /** Waits for the primary, because no other endpoint may run it or was able to. */
    bool waitsForPrimary = false;
    /** Time of the next attempt; set while the statement waits for it outside the queues. */
    std::optional<TimePoint> retryAt;
};

/** An attempt to run a statement on an endpoint connection. */
struct StatementRun {
    std::shared_ptr<PooledLink> link;
    /** Set when the statement was taken from a queue, which must be notified of the end of the run. */
    std::optional<QueuedRequest> queued;
    bool fromPrimaryQueue = false;
    /** The connection is being opened for the statement. */
    bool isOpening = false;
    /** The statement continues an open transaction. */
    bool isInTransaction = false;
    /** With isInTransaction: the transaction is not read-only. */
    bool isReadWrite = false;
    /** The proxy begins a read-write transaction for the read; an endpoint that is not the primary refuses it. */
    bool usesGuardTransaction = false;
    /** Position that the endpoint's log must have reached before it runs the statement. */
    std::optional<LogPosition> after;
    /** Unanswered commands that set up the session state or begin the transaction. */
    std::size_t setupLeft = 0;
    /** As after, for the beginning of a read-only transaction. */
    std::optional<LogPosition> beginAfter;
    /** The transaction was begun a second time, because the first answer may have been a repetition. */
    bool isBeginRepeated = false;
    /** Position in the answer to the transaction's beginning, and when that was sent; only from a primary. */
    std::optional<LogPosition> beginPosition;
    TimePoint beginSentAt;
    /** The link's displacements() when the run started. */
    std::size_t displacementsBefore = 0;
    /** The statement itself was sent; all setup commands were answered. */
    bool isForwarded = false;
    TimePoint startedAt;
    TimePoint forwardedAt;
};

/** A success of a commit or an autocommit write that came while the group's writes were held. */
struct HeldAnswer {
    StatementResult result;
    /** Term in which the endpoint acknowledged the write. */
    Term term = 0;
};

/** Queues and observed state of one group. */
struct GroupQueues {
    GroupQueues(const std::vector<RankRule>& ranks, double floorWaitShare)
        : primaryQueue(ranks, 1, floorWaitShare)
        , readQueue(ranks, 1, floorWaitShare)
    {
    }

    GroupRule rule;
    /** Number of daemons that share the connections; 0 when this daemon is not one of them. */
    std::size_t sharingDaemons = 1;
    /** Endpoints whose logs may contain acknowledged commits; 0 while that is not known. */
    std::size_t logHolders = 0;
    /** Logs that a change of the primary lacks, according to this daemon's latest attempt. */
    std::size_t missingLogs = 0;
    RankScheduler primaryQueue;
    RankScheduler readQueue;
    PositionHistory history;
    EndpointId lastPrimary;
    /** Statements of the most urgent rank in primaryQueue. */
    std::size_t urgentQueued = 0;
    /** Smoothed duration of recent failovers, from the detection of the failure to the next usable primary. */
    Duration expectedFailover { 0 };
    /** Time since which no usable primary is known. */
    std::optional<TimePoint> withoutPrimarySince;
    WriteProgress writes;
    /** Until then, new statements for the primary wait: it was ordered to step down. */
    TimePoint heldUntil {};
    /** Nothing may be written, and no write is acknowledged: a change of the primary has not ended. */
    bool areWritesHeld = false;
    /** End of the last hold of the writes. */
    std::optional<TimePoint> holdEndedAt;
    /** Primary with which that change ended; empty if it is not known. */
    EndpointId leaderAfterHold;
    TimePoint lastPrimarySearchAt {};
    /** Time at which the last statement for the group was submitted. */
    TimePoint lastSubmitAt {};
    TimePoint lastTickAt {};
    bool isQueryingPosition = false;
    TimePoint capacityEvaluatedAt {};
};

/** A replication command that has not been answered. */
struct PendingReplicationCommand {
    EndpointId endpoint;
    EndpointCommand command;
    /** Receives the reply, or nullptr and the reason why there is none. */
    std::function<void(const Reply*, const std::string& reason, TimePoint)> callback;
    TimePoint deadline;
    /** Until then, statements that run at the endpoint may end first. */
    TimePoint drainUntil {};
    bool isSent = false;
    /** Returns false once the command must not be sent any more; empty if it may be until its deadline. */
    std::function<bool(TimePoint)> isCurrent;
};

/** Implementation of StatementDispatcher. */
class DispatcherState final : public PooledLinkOwner {
public:
    DispatcherState(EndpointDirectory&, EndpointConnector&, DecisionLog&, Metrics&, const DispatcherSettings&);
    ~DispatcherState() override;

    Ticket submit(StatementRequest, StatementCallback, TimePoint now);
    Ticket submitInTransaction(
        const std::shared_ptr<LinkTransaction>&, StatementRequest, StatementCallback, TimePoint now);
    void abandon(Ticket, TimePoint now);
    void endTransaction(const std::shared_ptr<LinkTransaction>&, TimePoint now);
    void sendReplicationCommand(const EndpointId&, const EndpointCommand&,
        StatementDispatcher::ReplicationCommandCallback, TimePoint now, std::function<bool(TimePoint)> isCurrent);
    void stepDown(const GroupId&, const EndpointId&, Term, StatementDispatcher::StepDownCallback, TimePoint now);
    void setLogHolders(const GroupId& group, std::size_t count) { queuesOf(group).logHolders = count; }
    void setMissingLogs(const GroupId&, std::size_t count);
    EndpointConnector& connector() const { return connector_; }
    void endHold(const GroupId&, TimePoint now);
    void holdWrites(const GroupId&, bool isHeld, TimePoint now, const EndpointId& leader, Term leaderTerm);
    bool areWritesHeld(const GroupId&) const;
    LogPosition acknowledgedToCallers(const GroupId&) const;
    std::optional<TimePoint> awaitsNewsSince() const { return awaitsNewsSince_; }
    void noteNews(TimePoint provenAt, TimePoint now);
    void setGroups(const std::map<GroupId, GroupRule>&, TimePoint now);
    void setConnectionsByCustomer(bool areByCustomer) { areConnectionsByCustomer_ = areByCustomer; }
    void setSharing(const std::map<GroupId, std::size_t>&, TimePoint now);
    void onDirectoryChange(TimePoint now);
    void onTick(TimePoint now);
    std::optional<TimePoint> primaryFailingSince(const GroupId&, TimePoint now) const;
    PrimaryOpinion opinionOf(const EndpointId&, TimePoint since, TimePoint now) const;
    std::optional<TimePoint> writesStalledSince(const GroupId&, TimePoint now) const;
    LogPosition acknowledgedPositionOf(const GroupId&, TimePoint now) const;
    bool isReachable(const EndpointId&) const;
    bool isIdle(const GroupId&, TimePoint now) const;
    GroupReportParticipant* capacityReports() { return capacity_.get(); }

    void onPooledLinkOpened(PooledLink&, const Reply&, TimePoint now) override;
    void onPooledLinkReply(PooledLink&, const Reply&, TimePoint now) override;
    void onUnmatchedReply(PooledLink&, ReplyMatch, const Reply&, TimePoint now) override;
    void onPooledLinkClosed(
        PooledLink&, const std::string& reason, std::optional<StatementError>, TimePoint now) override;

private:
    // Queues (DispatcherState.cpp).
    GroupQueues& queuesOf(const GroupId&);
    void enqueue(Ticket, TimePoint now);
    /** Adds the statement to the queue for the primary or for reads, or refuses it. */
    void offer(Ticket, TimePoint now);
    void dispatch(const GroupId&, TimePoint now);
    void dispatchPrimary(GroupQueues&, const GroupId&, TimePoint now);
    void dispatchReads(GroupQueues&, const GroupId&, TimePoint now);
    bool placeRead(GroupQueues&, const GroupId&, const QueuedRequest&, TimePoint now);
    /** The endpoints for a read; only those that can run it for the customer if there is one. */
    std::vector<ReadCandidate> readCandidates(
        GroupQueues&, const GroupId&, const std::optional<CustomerId>&, TimePoint now);
    void updateSlots(GroupQueues&, const GroupId&, TimePoint now);
    void answerExpired(GroupQueues&, TimePoint now);
    /** Updates urgentQueued after a statement left the queue for the primary. */
    static void noteRemovedFromPrimaryQueue(GroupQueues&, const QueuedRequest&);
    void cancelQueued(GroupQueues&, Ticket);
    void refuse(Ticket, Duration retryAfter, std::string_view reason, TimePoint now);
    void finish(Ticket, StatementResult&&, TimePoint now);
    std::optional<LogPosition> minimumFor(const GroupQueues&, const StatementRequest&) const;

    /** Creates the learned capacity of new endpoints and forgets that of removed ones. */
    void trackCapacity(const GroupId&);
    /** Ejects and readmits endpoints of the group; only while capacity is learned. */
    void evaluateCapacity(const GroupId&, TimePoint now);

    // The primary (DispatcherPrimary.cpp).
    EndpointLinks* usablePrimary(const GroupId&, TimePoint now);
    /** Discards what was known of the former primary's log. */
    static void noteNewPrimary(GroupQueues&, const EndpointId&);
    /** Expected time until a usable primary is known; zero while there is one. */
    Duration expectedWaitForPrimary(GroupQueues&, const GroupId&, TimePoint now);
    /** True if enough endpoints answer to include one with every acknowledged commit, so that it can be promoted. */
    bool canChangePrimary(const GroupQueues&, const GroupId&, TimePoint now) const;
    /** True if statements for the primary cannot be served before an endpoint returns. */
    bool waitsForLogs(const GroupQueues&, const GroupId&, TimePoint now) const;
    /** Number of logs that a promotion must see. */
    std::size_t requiredLogs(const GroupQueues&, const GroupId&) const;
    /** Refuses queued statements whose deadlines a new primary would probably miss. */
    void refuseUnservable(GroupQueues&, const GroupId&, TimePoint now);
    /** True if recent writes were not answered and no replica that could receive them from the primary answers. */
    bool areWritesBlocked(const GroupQueues&, const GroupId&, TimePoint now) const;
    /** Number of endpoints of the group that are not suspected of a failure. */
    std::size_t countAnswering(const GroupId&, bool withPrimary, TimePoint now) const;

    // Hold of the writes (DispatcherHold.cpp).
    bool isHeld(const GroupId& group) const { return awaitsNewsSince_ || areWritesHeld(group); }
    /** Begins a hold of all writes if this process was suspended. */
    void checkSuspension(TimePoint now);
    void endSuspensionHold(bool hasNews, TimePoint now);
    /** True if the statement must not be sent before the hold ends. */
    bool mustHold(const StatementRun&, const StatementRequest&) const;
    /** Ends a run whose statement was not sent; the statement waits for the end of the hold. */
    void postpone(Ticket, TimePoint now);
    void holdAnswer(Ticket, HeldAnswer, TimePoint now);
    /** True if no other endpoint has become the primary since the endpoint acknowledged a write in the term. */
    bool isSafeAfterHold(const GroupId&, const EndpointId&, Term) const;
    /** Reports the success if it is safe, otherwise an unknown outcome and the reason. */
    void passOn(Ticket, HeldAnswer, bool isSafe, const std::string& reason, TimePoint now);
    void resumeHeldStatement(Ticket, TimePoint now);
    /** Rolls the transaction back and reports the statement as not run. */
    void abortInTransaction(Ticket, const std::shared_ptr<LinkTransaction>&, const std::string& reason, TimePoint now);
    /** Decides the answers and sends the statements that waited for the end of the hold. */
    void releaseHeld(const GroupId&, TimePoint now);
    /** Answers what was held until its deadline. */
    void expireHeld(TimePoint now);

    // Runs (DispatcherRuns.cpp).
    /** Sends a statement of an open transaction, unless the transaction has ended. */
    void runInTransaction(Ticket, const std::shared_ptr<LinkTransaction>&, TimePoint now);
    /**
     * Starts the statement on an idle connection of its customer, or opens one for it. Returns false if there is
     * neither a connection nor room for one.
     */
    bool runAt(EndpointLinks&, Ticket, StatementRun, TimePoint now);
    void startRun(Ticket, StatementRun, TimePoint now);
    /** Sends the commands that the statement needs before it. */
    void setUp(Ticket, TimePoint now);
    /** Continues the statements for which a connection was opened. */
    void onRunLinkOpened(const PooledLink&, TimePoint now);
    void onRunLinkFailed(const PooledLink&, TimePoint now);
    void forward(Ticket, TimePoint now);
    void onSetupReply(Ticket, const EndpointCommand::Kind&, TimePoint sentAt, const Reply*, TimePoint now);
    /** Rolls back and begins again: the answers show whether the transaction is open. */
    void repeatBegin(Ticket, EndpointCommand::Kind, TimePoint now);
    void onForwardReply(Ticket, const Reply*, TimePoint now);
    void noteCapacityAnswer(Ticket, TimePoint now);
    void succeed(Ticket, const Reply&, TimePoint now);
    /** Ends a run that the endpoint reports as a success outside of the transaction in which it had to run. */
    void loseTransaction(Ticket, TimePoint now);
    void completeWithError(Ticket, Reply, TimePoint now);
    /** Retries a statement that certainly did not run on this endpoint. */
    void retryElsewhere(Ticket, const Reply&, TimePoint now);
    void onConnectionLost(Ticket, const std::string& reason, TimePoint now);
    /** Removes a run and frees its slot; isStatement is true if its duration counts as that of a statement. */
    StatementRun removeRun(Ticket, TimePoint now, bool isStatement);
    void timeOut(Ticket, TimePoint now);
    void noteRefusal(const EndpointId&, StatementError, TimePoint now);
    void returnToPool(const std::shared_ptr<PooledLink>&, TransactionState, TimePoint now);
    using RollbackCallback = std::function<void(TimePoint now)>;
    /** The callback is called once the endpoint has rolled back, or after the connection was closed instead. */
    void rollBack(const std::shared_ptr<PooledLink>&, TimePoint now, RollbackCallback = nullptr);
    Reply makeLostReply(const StatementRequest&, bool isInTransaction, const std::string& reason) const;
    void logOutcome(const StatementRequest&, std::string_view decision, const EndpointId&, std::string_view outcome,
        std::string_view reason, TimePoint now);

    // Connections (DispatcherLinks.cpp).
    EndpointLinks& linksOf(const EndpointId&);
    const EndpointLinks* findLinks(const EndpointId&) const;
    /** Number of connections to the endpoint that this daemon may open under load. */
    std::size_t connectionShare(const EndpointEntry& entry) const { return shareOf(entry, settings_.loadShare); }
    /** Number of idle connections that this daemon keeps open. */
    std::size_t keptConnections(const EndpointEntry&) const;
    /** This daemon's share of a fraction of the endpoint's connections; at least one. */
    std::size_t shareOf(const EndpointEntry&, double fraction) const;
    void closeSurplusLinks(TimePoint now);
    /**
     * Opens connections until the wanted number is being opened, at most openingsAtOnce. The total may exceed the
     * daemon's share by extra.
     */
    void openLinks(EndpointLinks&, std::size_t wanted, TimePoint now, std::size_t extra = 0);
    /**
     * Opens a connection for a statement of a customer. At the daemon's share, it takes the place of the connection
     * that has been idle for the longest time. Returns nullptr if there is no room.
     */
    std::shared_ptr<PooledLink> openLinkFor(EndpointLinks&, const CustomerId&, TimePoint now);
    /** True if openLinkFor() would open a connection. */
    bool mayOpenLink(EndpointLinks&, TimePoint now);
    std::shared_ptr<PooledLink> openLink(EndpointLinks&, const EndpointEntry&, const CustomerId&, TimePoint now);
    void ensureOpenLink(const GroupId&, TimePoint now);
    void refreshPrimaryPosition(GroupQueues&, const GroupId&, TimePoint now);
    /** True if no statement was submitted recently. */
    bool isIdle(const GroupQueues& queues, TimePoint now) const
    {
        return now - queues.lastSubmitAt > settings_.groupIdleTimeout;
    }
    void searchForPrimary(GroupQueues&, const GroupId&, TimePoint now);
    /**
     * Begins and rolls back a transaction, which succeeds only on a primary and returns its position. isRegular marks
     * the periodic query of the known primary. A position that may come from a repetition is queried once more;
     * firstSentAt is then the time of the first query.
     */
    void queryPosition(const GroupId&, const std::shared_ptr<PooledLink>&, bool isRegular, TimePoint now,
        std::optional<TimePoint> firstSentAt = std::nullopt);
    /** Records that an endpoint proved to be the primary, and its position in reply to a command sent at askedAt. */
    void noteLeading(const GroupId&, const EndpointId&, const LogPosition&, TimePoint askedAt);
    void closeUnresponsiveLinks(TimePoint now);
    void sendPendingReplicationCommands(TimePoint now);
    /** True if a caller's statement runs at the endpoint. */
    bool hasRuns(const EndpointId&) const;
    void completeReplicationCommand(std::uint64_t number, const Reply*, TimePoint now);
    /** Why a command could not be sent to the endpoint before its deadline; for log lines. */
    std::string describeMissingLink(const EndpointId&, TimePoint now) const;

    EndpointDirectory& directory_;
    EndpointConnector& connector_;
    DecisionLog& log_;
    Metrics& metrics_;
    DispatcherSettings settings_;
    EndpointHealthSettings health_;
    std::vector<RankRule> ranks_;
    /** A connection serves one customer for as long as it is open. */
    bool areConnectionsByCustomer_ = false;
    std::map<GroupId, GroupQueues> groups_;
    /** nullptr unless the settings ask for it. */
    std::unique_ptr<CapacityTracker> capacity_;
    std::map<EndpointId, EndpointLinks> endpoints_;
    std::unordered_map<Ticket, PendingStatement> pending_;
    std::unordered_map<Ticket, StatementRun> runs_;
    /** Acknowledgements that wait for the end of a hold. Ordered, because callers are answered in this order. */
    std::map<Ticket, HeldAnswer> heldAnswers_;
    /** Statements of open transactions that wait for the end of a hold. */
    std::map<Ticket, std::shared_ptr<LinkTransaction>> heldStatements_;
    std::map<std::uint64_t, PendingReplicationCommand> replicationCommands_;
    Ticket lastTicket_ = 0;
    std::optional<TimePoint> lastTick_;
    /** End of a suspension after which no news of the store have come. */
    std::optional<TimePoint> awaitsNewsSince_;
    std::optional<TimePoint> surplusCheckedAt_;
};

} // namespace almondlever
