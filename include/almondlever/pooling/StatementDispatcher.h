#pragma once

#include "almondlever/admission/Scheduler.h"
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

/** Bounds of the dispatcher. */
struct DispatcherSettings {
    /** Share of an endpoint's connections that the owners open together under load, transactions included. */
    double loadShare = 0.8;
    /**
     * Share of an endpoint's connections that the owners keep open together; as GroupSharing::keptShare. The rest is
     * opened under load only.
     */
    double keptShare = 0.45;
    /** A connection beyond the kept share is closed after it was idle for this long. */
    Milliseconds spareIdleTime { 250 };
    /** Age at which the primary is asked for its position again; a quarter of the shortest usual staleness. */
    Milliseconds positionRefresh { 300 };
    /** A group for which no statement came for this long is idle; longer than the pauses of its callers. */
    Milliseconds idleAfter { 3000 };
    /** Interval at which idle groups are looked at; their callers wait for no tick. */
    Milliseconds idleTick { 250 };
    /** Age at which the primary of an idle group is asked again: its silence is noticed before callers return. */
    Milliseconds idleRefresh { 2000 };
    /** Time for the answer to an order about replication, connecting included. */
    Milliseconds orderTimeout { 900 };
    /** Interval at which the endpoints of a group without a known primary are asked who leads. */
    Milliseconds leaderSearchInterval { 120 };
    /** A group in which nobody was found to lead for this long has lost its primary. */
    Milliseconds leaderSearchPatience { 1500 };
    /** A leaving primary gets no new work after this; the platform allows a little more. */
    Milliseconds drainLimit { 6000 };
    /** Time from the detection of a failed primary until another one leads, assumed until changes were observed. */
    Milliseconds usualPrimaryChange { 900 };
    /**
     * After a member came or went, the known members may all lack a commit that was acknowledged: a new one catches up,
     * and one that is back is not known at once. The platform gives servers 6 s to catch up; an entry needs 3.6 s to
     * lapse and 2 s to be dropped; 11.6 s together.
     */
    Milliseconds membersSettleTime { 15000 };
    /** Time in which replicas receive what the primary appended; eight round trips between regions (12 ms one way). */
    Milliseconds replicationTime { 200 };
    /** Pause before a statement is offered again to an endpoint that was behind or full. */
    Milliseconds retryPause { 25 };
    /** Endpoints that one statement is offered to before its caller gets the refusal. */
    std::size_t maximumAttempts = 6;
    /** Statements of one rank that wait for one group. */
    std::size_t queueLimit = 400;
    std::size_t queueLimitBytes = 4U * 1024 * 1024;
    /** Ranks that are told apart; less urgent ones share the last. */
    std::size_t ranks = 4;
    /** Share of slot time that each rank but the most urgent keeps under any flood. */
    double floor = 0.1;
    /** Share of its time that a statement waits before its rank claims that floor. */
    double floorPatience = 0.5;
    /** A gap between two ticks that shows that this process did not run. */
    Milliseconds stallLimit { 300 };
};

/**
 * Runs statements on endpoints: queues them by rank, chooses the endpoint, prepares a pooled connection so that it
 * holds exactly what the session needs, and repeats elsewhere what certainly did not run.
 *
 * Every group has two queues: one for what only the primary may run, one for reads that any endpoint with a late enough
 * log may run. A read for the primary runs inside a transaction that the proxy begins and rolls back, because only
 * statements of a transaction are refused by an endpoint that has lost the lead. Runs on one thread.
 */
class StatementDispatcher final : public StatementRunner {
public:
    StatementDispatcher(EndpointDirectory&, EndpointConnector&, DecisionLog&, Metrics&, const DispatcherSettings&);
    ~StatementDispatcher() override;
    StatementDispatcher(const StatementDispatcher&) = delete;
    StatementDispatcher& operator=(const StatementDispatcher&) = delete;

    Ticket submit(StatementRequest, StatementCallback, TimePoint now) override;
    Ticket submit(const TransactionLink&, StatementRequest, StatementCallback, TimePoint now) override;
    void abandon(Ticket, TimePoint now) override;
    void endTransaction(const TransactionLink&, TimePoint now) override;

    /** The status, or nullopt with the reason why there is none. */
    using OrderCallback = std::function<void(
        const std::optional<EndpointReplicationStatus>&, const std::string& detail, TimePoint now)>;
    /**
     * Sends a status query or an order about replication. It uses an open connection, because an endpoint under load
     * accepts no further one; statements of transactions are not mixed with it.
     */
    void order(const EndpointId&, const EndpointCommand&, OrderCallback, TimePoint now);

    /** Follows a new configuration. */
    void setGroups(const std::map<GroupId, GroupRule>&, TimePoint now);
    /**
     * Sets for each group how many daemons share the connections to its endpoints, this one included; 0 when this
     * daemon is none of them. It then opens connections only for the statements that are submitted all the same.
     */
    void setSharing(const std::map<GroupId, std::size_t>&, TimePoint now);
    /** Follows changes of the directory: new endpoints, lost ones, another primary. */
    void onDirectoryChange(TimePoint now);
    /** Handles time-outs, asks primaries for their positions and opens connections. Call every tickInterval. */
    void onTick(TimePoint now);
    static constexpr Milliseconds tickInterval { 25 };

    /** No statement for the group came lately, so that nothing about it is urgent. */
    bool isIdle(const GroupId&, TimePoint now) const;
    /** Since when the known primary of a group gives signs of failure; nullopt while it answers. */
    std::optional<TimePoint> primaryFailingSince(const GroupId&, TimePoint now) const;
    /** What this daemon's connections say of an endpoint that gave another daemon no answer since a time. */
    PrimaryOpinion opinionOf(const EndpointId&, TimePoint since, TimePoint now) const;
    /** Since when the known primary acknowledges no write although it answers; nullopt while it does. */
    std::optional<TimePoint> writesStalledSince(const GroupId&, TimePoint now) const;
    /**
     * No endpoint whose log ends below this holds every commit of the group that was acknowledged, as far as this
     * daemon knows. While members come and go, what the primary told counts as acknowledged too.
     */
    LogPosition acknowledgedPositionOf(const GroupId&, TimePoint now) const;
    /** True when there is an open connection to the endpoint. */
    bool isReachable(const EndpointId&) const;

private:
    std::unique_ptr<class DispatcherState> state_;
};

} // namespace almondlever
