#pragma once

#include "EndpointLinks.h"
#include "almondlever/admission/RankScheduler.h"
#include "almondlever/pooling/EndpointChoice.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/pooling/WriteWatch.h"

#include <set>
#include <unordered_map>

namespace almondlever {

/** A statement that was submitted and has no result yet. */
struct PendingStatement {
    StatementRequest request;
    StatementCallback callback;
    std::size_t attempts = 0;
    /** Endpoints that refused it and are not asked again while others remain. */
    std::set<EndpointId> refusedBy;
    /** Waits for the primary, because no other endpoint may run it or could. */
    bool waitsForPrimary = false;
    /** Set while it is not queued, until it is offered again. */
    std::optional<TimePoint> retryAt;
};

/** A statement on an endpoint connection. */
struct StatementRun {
    std::shared_ptr<PooledLink> link;
    /** Set when the run came out of a queue, which must be told its end. */
    std::optional<QueuedRequest> queued;
    bool fromPrimaryQueue = false;
    /** The statement continues an open transaction. */
    bool isInTransaction = false;
    /** The proxy began a transaction only so that the endpoint refuses when it does not lead. */
    bool isWrapped = false;
    /** Values were set inside the transaction. */
    bool changesContentsInTransaction = false;
    std::optional<LogPosition> after;
    std::size_t setupLeft = 0;
    bool isForwarded = false;
    TimePoint startedAt;
    TimePoint forwardedAt;
};

/** Queues and knowledge of one group. */
struct GroupQueues {
    GroupQueues(const std::vector<RankRule>& ranks, double floorPatience)
        : primaryQueue(ranks, 1, floorPatience)
        , readQueue(ranks, 1, floorPatience)
    {
    }

    GroupRule rule;
    /** Daemons that share the connections; 0 when this one only stands in for them. */
    std::size_t sharers = 1;
    RankScheduler primaryQueue;
    RankScheduler readQueue;
    PositionHistory history;
    EndpointId lastPrimary;
    /** Statements of the most urgent rank in primaryQueue. */
    std::size_t urgentQueued = 0;
    /** How long the latest changes of the primary took, from detection to the first answer of the next one. */
    Duration usualChange { 0 };
    /** Since when no usable primary is known. */
    std::optional<TimePoint> withoutPrimarySince;
    WriteWatch writes;
    TimePoint searchedAt {};
    /** When the last statement for the group came. */
    TimePoint demandedAt {};
    TimePoint tickedAt {};
    bool isProbing = false;
};

/** An order about replication without an answer. */
struct PendingOrder {
    EndpointId endpoint;
    EndpointCommand command;
    StatementDispatcher::OrderCallback callback;
    TimePoint deadline;
    bool isSent = false;
};

/** State of StatementDispatcher; see there. */
class DispatcherState final : public PooledLinkOwner {
public:
    DispatcherState(EndpointDirectory&, EndpointConnector&, DecisionLog&, Metrics&, const DispatcherSettings&);
    ~DispatcherState() override;

    Ticket submit(StatementRequest, StatementCallback, TimePoint now);
    Ticket submitInTransaction(const std::shared_ptr<PooledLink>&, StatementRequest, StatementCallback, TimePoint now);
    void abandon(Ticket, TimePoint now);
    void endTransaction(const std::shared_ptr<PooledLink>&, TimePoint now);
    void order(const EndpointId&, const EndpointCommand&, StatementDispatcher::OrderCallback, TimePoint now);
    void setGroups(const std::map<GroupId, GroupRule>&, TimePoint now);
    void setSharing(const std::map<GroupId, std::size_t>&, TimePoint now);
    void onDirectoryChange(TimePoint now);
    void onTick(TimePoint now);
    std::optional<TimePoint> primaryFailingSince(const GroupId&, TimePoint now) const;
    PrimaryOpinion opinionOf(const EndpointId&, TimePoint since, TimePoint now) const;
    std::optional<TimePoint> writesStalledSince(const GroupId&, TimePoint now) const;
    LogPosition acknowledgedPositionOf(const GroupId&, TimePoint now) const;
    bool isReachable(const EndpointId&) const;
    bool isIdle(const GroupId&, TimePoint now) const;

    void onPooledLinkOpened(PooledLink&, const Reply&, TimePoint now) override;
    void onPooledLinkReply(PooledLink&, const Reply&, TimePoint now) override;
    void onPooledLinkClosed(
        PooledLink&, const std::string& reason, std::optional<StatementError>, TimePoint now) override;

private:
    // Queues (DispatcherState.cpp).
    GroupQueues& queuesOf(const GroupId&);
    void enqueue(Ticket, TimePoint now);
    /** Puts the statement into the queue that it belongs to, or refuses it. */
    void offer(Ticket, TimePoint now);
    void dispatch(const GroupId&, TimePoint now);
    void dispatchPrimary(GroupQueues&, const GroupId&, TimePoint now);
    void dispatchReads(GroupQueues&, const GroupId&, TimePoint now);
    bool placeRead(GroupQueues&, const GroupId&, const QueuedRequest&, TimePoint now);
    std::vector<ReadCandidate> readCandidates(GroupQueues&, const GroupId&, TimePoint now);
    void updateSlots(GroupQueues&, const GroupId&, TimePoint now);
    void answerExpired(GroupQueues&, TimePoint now);
    static void noteUnqueued(GroupQueues&, const QueuedRequest&);
    void cancelQueued(GroupQueues&, Ticket);
    void refuse(Ticket, Duration retryAfter, std::string_view reason, TimePoint now);
    void finish(Ticket, StatementResult&&, TimePoint now);
    std::optional<LogPosition> minimumFor(const GroupQueues&, const StatementRequest&) const;

    // The primary (DispatcherPrimary.cpp).
    EndpointLinks* usablePrimary(const GroupId&, TimePoint now);
    /** What was known of the former primary's log is forgotten. */
    static void noteNewPrimary(GroupQueues&, const EndpointId&);
    /** Time until a usable primary is expected; zero while there is one. */
    Duration untilPrimary(GroupQueues&, const GroupId&, TimePoint now);
    /** Enough endpoints answer to find every acknowledged commit, so that another one can be promoted. */
    bool canChangePrimary(const GroupQueues&, const GroupId&, TimePoint now) const;
    /** Refuses what waits for a primary that will probably come too late. */
    void refuseHopeless(GroupQueues&, const GroupId&, TimePoint now);
    /** Writes had no answer, and no endpoint is left that could receive them from the primary. */
    bool areWritesHopeless(const GroupQueues&, const GroupId&, TimePoint now) const;
    /** Endpoints of the group that answer. */
    std::size_t countAnswering(const GroupId&, bool withPrimary, TimePoint now) const;

    // Runs (DispatcherRuns.cpp).
    void startRun(Ticket, StatementRun, TimePoint now);
    void forward(Ticket, TimePoint now);
    void onSetupReply(Ticket, const EndpointCommand::Kind&, TimePoint sentAt, const Reply*, TimePoint now);
    void onForwardReply(Ticket, const Reply*, TimePoint now);
    void succeed(Ticket, const Reply&, TimePoint now);
    void passOn(Ticket, Reply, TimePoint now);
    /** The statement certainly did not run here. */
    void retryElsewhere(Ticket, const Reply&, TimePoint now);
    void onLost(Ticket, const std::string& reason, TimePoint now);
    StatementRun takeRun(Ticket, TimePoint now, bool isStatement);
    void timeOut(Ticket, TimePoint now);
    void noteRefusal(const EndpointId&, StatementError, TimePoint now);
    void putBack(const std::shared_ptr<PooledLink>&, TransactionState, TimePoint now);
    void rollBack(const std::shared_ptr<PooledLink>&, TimePoint now);
    Reply lostReply(const StatementRequest&, bool isInTransaction, const std::string& reason) const;
    void logEnd(const StatementRequest&, std::string_view decision, const EndpointId&, std::string_view outcome,
        std::string_view reason, TimePoint now);

    // Connections (DispatcherLinks.cpp).
    EndpointLinks& linksOf(const EndpointId&);
    const EndpointLinks* findLinks(const EndpointId&) const;
    /** Connections to the endpoint that this daemon may open under load. */
    std::size_t connectionShare(const EndpointEntry& entry) const { return shareOf(entry, settings_.loadShare); }
    /** Connections that it keeps when they are idle. */
    std::size_t keptConnections(const EndpointEntry&) const;
    /** This daemon's share of a part of the endpoint's connections; at least one. */
    std::size_t shareOf(const EndpointEntry&, double part) const;
    void closeSpareLinks(TimePoint now);
    /** Opens connections until so many are being opened; the extra ones may exceed the daemon's share. */
    void openLinks(EndpointLinks&, std::size_t wanted, TimePoint now, std::size_t extra = 0);
    void openWarmLinks(const GroupId&, TimePoint now);
    void askForPosition(GroupQueues&, const GroupId&, TimePoint now);
    /** No statement came lately. */
    bool isIdle(const GroupQueues& queues, TimePoint now) const
    {
        return now - queues.demandedAt > settings_.idleAfter;
    }
    void askWhoLeads(GroupQueues&, const GroupId&, TimePoint now);
    void askPosition(const GroupId&, const std::shared_ptr<PooledLink>&, bool isRegular, TimePoint now);
    void noteLeading(const GroupId&, const EndpointId&, const LogPosition&, TimePoint askedAt);
    void closeStuckLinks(TimePoint now);
    void sendWaitingOrders(TimePoint now);
    void answerOrder(std::uint64_t number, const Reply*, TimePoint now);

    EndpointDirectory& directory_;
    EndpointConnector& connector_;
    DecisionLog& log_;
    Metrics& metrics_;
    DispatcherSettings settings_;
    EndpointHealthSettings health_;
    std::vector<RankRule> ranks_;
    std::map<GroupId, GroupQueues> groups_;
    std::map<EndpointId, EndpointLinks> endpoints_;
    std::unordered_map<Ticket, PendingStatement> pending_;
    std::unordered_map<Ticket, StatementRun> runs_;
    std::map<std::uint64_t, PendingOrder> orders_;
    Ticket lastTicket_ = 0;
    std::optional<TimePoint> lastTick_;
    std::optional<TimePoint> spareCheckedAt_;
};

} // namespace almondlever
