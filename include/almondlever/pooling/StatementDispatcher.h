#pragma once

#include "almondlever/admission/Scheduler.h"
#include "almondlever/capacity/OwnerReports.h"
#include "almondlever/consistency/PositionHistory.h"
#include "almondlever/failover/FailureConfirmation.h"
#include "almondlever/groups/EndpointDirectory.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/pooling/StatementRunner.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Time-outs, limits and intervals of the dispatcher. */
struct DispatcherSettings {
    /** Share of an endpoint's connections that the owners together may open under load, transactions included. */
    double loadShare = 0.8;
    /**
     * Share of an endpoint's connections that the owners together keep open; the same as GroupOwnerSettings::keptShare.
     * More are opened only under load.
     */
    double keptShare = 0.45;
    /** Idle time after which a connection beyond the kept share is closed. */
    Milliseconds surplusIdleTimeout { 250 };
    /** Age at which the primary's position is queried again; a quarter of the shortest usual staleness bound. */
    Milliseconds positionRefreshInterval { 300 };
    /** Time without statements after which a group is idle; longer than the usual pauses of its callers. */
    Milliseconds groupIdleTimeout { 3000 };
    /** Interval at which idle groups are processed; a new statement is dispatched without waiting for it. */
    Milliseconds idleTickInterval { 250 };
    /** As positionRefreshInterval, for an idle group, so that a failed primary is noticed before callers return. */
    Milliseconds idleRefreshInterval { 2000 };
    /** Time-out of a replication command, connecting included. */
    Milliseconds replicationCommandTimeout { 900 };
    /** Time for which statements that run at a primary may end before it is ordered to step down. */
    Milliseconds stepDownDrainTime { 60 };
    /**
     * Time for which new statements for a primary are held back after the order to step down; the longest time from
     * that order until the promoted endpoint leads. An endpoint that knows the order refuses them anyway.
     */
    Milliseconds stepDownHoldTime { 1500 };
    /** Interval at which a group without a known primary is searched for one. */
    Milliseconds primarySearchInterval { 120 };
    /** Time without a known primary after which the primary counts as failed. */
    Milliseconds primarySearchTimeout { 1500 };
    /** Time for which a leaving primary still gets new statements; slightly less than the platform allows. */
    Milliseconds drainLimit { 6000 };
    /** Initial estimate of the time from the detection of a failed primary to the next usable one. */
    Milliseconds expectedFailoverTime { 900 };
    /**
     * For this long after a membership change, all known members may lack an acknowledged commit: a new member is still
     * catching up, and a returning one is not known at once. The platform gives servers 6 s to catch up; an entry takes
     * 3.6 s to lapse and 2 s to be dropped; 11.6 s in total.
     */
    Milliseconds membershipSettleTime { 15000 };
    /** Time in which replicas receive a log entry; eight round trips between regions (12 ms one way). */
    Milliseconds replicationTime { 200 };
    /** Delay before a statement is retried after an endpoint was lagging, busy or lost. */
    Milliseconds retryPause { 25 };
    /** Attempts to run a statement before its caller gets the refusal. */
    std::size_t maximumAttempts = 6;
    /** Maximum number of queued statements of one rank in one queue of a group. */
    std::size_t queueLimit = 400;
    std::size_t queueLimitBytes = 4U * 1024 * 1024;
    /** Number of ranks; less urgent ones share the last. */
    std::size_t ranks = 4;
    /** Minimum share of slot time of each rank except the most urgent, under any load. */
    double floor = 0.1;
    /** Share of the time from arrival to deadline that a statement waits before its rank claims that minimum. */
    double floorWaitShare = 0.5;
    /** Learns the capacity of endpoints from completed statements, ejects endpoints that serve worse than the others of
     * their group, and shares what it learns with the other owners. */
    bool learnsCapacity = false;
    /** Gap between two ticks that indicates that this process was suspended. */
    Milliseconds stallLimit { 300 };
    /**
     * Gap between two ticks after which all writes are held until news of the store come: meanwhile another endpoint
     * may have been promoted, and answers of the former primary may wait in the sockets. 0: none are held.
     */
    Milliseconds suspensionLimit { 0 };
    /** Longest time without news for which writes are held after such a gap; a call to promote takes effect sooner. */
    Milliseconds suspensionHoldLimit { 15000 };
};

/**
 * Runs statements on endpoints: queues them by rank, selects the endpoint, sets up a pooled connection with the state
 * of the session, and retries on another endpoint if a statement certainly did not run.
 *
 * Every group has two queues: one for statements that only the primary may run, and one for reads that any endpoint
 * with a sufficiently recent log may run. A read on the primary runs inside a transaction that the proxy begins and
 * rolls back, because an endpoint that is no longer the primary refuses only statements of a transaction. Not
 * thread-safe.
 */
class StatementDispatcher final : public StatementRunner {
public:
    StatementDispatcher(EndpointDirectory&, EndpointConnector&, DecisionLog&, Metrics&, const DispatcherSettings&);
    ~StatementDispatcher() override;
    StatementDispatcher(const StatementDispatcher&) = delete;
    StatementDispatcher& operator=(const StatementDispatcher&) = delete;

    Ticket submit(StatementRequest, StatementCallback, TimePoint now) override;
    Ticket submit(const TransactionHandle&, StatementRequest, StatementCallback, TimePoint now) override;
    void abandon(Ticket, TimePoint now) override;
    void endTransaction(const TransactionHandle&, TimePoint now) override;

    /** Receives the replication status, or nullopt and the reason why there is none. */
    using ReplicationCommandCallback = std::function<void(
        const std::optional<EndpointReplicationStatus>&, const std::string& detail, TimePoint now)>;
    /**
     * Sends a status query or a replication command. It uses an idle pooled connection if there is one, because an
     * endpoint under load may accept no further connection. Connections in a transaction are not used. A command that
     * waits for a connection is dropped once `isCurrent` returns false; without it, it is sent until its timeout.
     */
    void sendReplicationCommand(const EndpointId&, const EndpointCommand&, ReplicationCommandCallback, TimePoint now,
        std::function<bool(TimePoint)> isCurrent = nullptr);

    using StepDownCallback = std::function<void(const StepDownReport&, TimePoint now)>;
    /**
     * Holds back new statements for the group's primary, lets those that run end for a moment, and orders the primary
     * to step down in a term.
     */
    void stepDown(const GroupId&, const EndpointId&, Term, StepDownCallback, TimePoint now);
    /** Sets the number of endpoints whose logs may contain acknowledged commits, listed or not. */
    void setLogHolders(const GroupId&, std::size_t count);
    /**
     * Sets how many logs of a group are missing for a change of its primary; while there are any, statements for the
     * primary are refused at once. 0: a primary can be chosen.
     */
    void setMissingLogs(const GroupId&, std::size_t count);
    /** Ends the hold that stepDown() began; a new primary ends it as well. */
    void endHold(const GroupId&, TimePoint now);

    /**
     * Begins or ends a hold of the group's writes during a change of its primary. While it lasts, statements for the
     * primary and those of read-write transactions wait, and no write is acknowledged. A write that the primary
     * acknowledges in the meantime is reported as successful at the end of the hold if that endpoint still leads in the
     * same term, otherwise, and at its deadline, with an unknown outcome.
     *
     * @param leader      at the end of a hold: the primary with which the change ended; empty if it is not known, so
     *                    that the directory alone decides.
     * @param leaderTerm  the term in which it was seen to lead; 0 if that is not known.
     */
    void holdWrites(
        const GroupId&, bool isHeld, TimePoint now, const EndpointId& leader = EndpointId(), Term leaderTerm = 0);
    /** True between the calls of holdWrites(); false for a hold that begins after a suspension. */
    bool areWritesHeld(const GroupId&) const;
    /** Newest commit of the present primary that was passed on to a caller as successful. */
    LogPosition acknowledgedToCallers(const GroupId&) const;
    /** End of a suspension of this process after which writes are held until noteNews(); nullopt if there is none. */
    std::optional<TimePoint> awaitsNewsSince() const;
    /** All changes of primaries that the store held at a time have been taken into account. */
    void noteNews(TimePoint provenAt, TimePoint now);

    /** What this daemon reports to other owners, and receives from them; nullptr unless learnsCapacity is set. */
    GroupReportParticipant* capacityReports();

    /** Applies a new configuration. */
    void setGroups(const std::map<GroupId, GroupRule>&, TimePoint now);
    /** Sets whether endpoints are told the customer of a connection, which then runs statements of no other. */
    void setConnectionsByCustomer(bool);
    /**
     * Sets for each group the number of daemons that share the connections to its endpoints, including this one; 0 if
     * this daemon is not one of them. Such a daemon opens connections only for statements that it receives.
     */
    void setSharing(const std::map<GroupId, std::size_t>&, TimePoint now);
    /** Handles changes of the directory: added and removed endpoints, a new primary. */
    void onDirectoryChange(TimePoint now);
    /** Handles time-outs, queries the positions of primaries and opens connections. Call every tickInterval. */
    void onTick(TimePoint now);
    static constexpr Milliseconds tickInterval { 25 };

    /** True if the group received no statement recently. */
    bool isIdle(const GroupId&, TimePoint now) const;
    /** Time of the first sign that the primary of a group failed or is missing; nullopt while it is healthy. */
    std::optional<TimePoint> primaryFailingSince(const GroupId&, TimePoint now) const;
    /** State of an endpoint as seen by this daemon, for a daemon that got no answer from it since a time. */
    PrimaryOpinion opinionOf(const EndpointId&, TimePoint since, TimePoint now) const;
    /** Time since which the primary acknowledges no write although it answers; nullopt while it does. */
    std::optional<TimePoint> writesStalledSince(const GroupId&, TimePoint now) const;
    /**
     * Latest position that this daemon knows to be acknowledged: an endpoint whose log ends before it lacks an
     * acknowledged commit. For membershipSettleTime after a membership change, positions that the primary reported at
     * least replicationTime before it failed count as acknowledged too.
     */
    LogPosition acknowledgedPositionOf(const GroupId&, TimePoint now) const;
    /** True if there is an open connection to the endpoint. */
    bool isReachable(const EndpointId&) const;
    EndpointConnector& connector() const;

private:
    std::unique_ptr<class DispatcherState> state_;
};

} // namespace almondlever
