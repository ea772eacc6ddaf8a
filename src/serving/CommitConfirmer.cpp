#include "almondlever/serving/CommitConfirmer.h"

namespace almondlever {

namespace {

    /** Longest time that a server may delay its answer to waitForPosition(). Short, since the position of a pending
     * request cannot be changed: another position is awaited only by the next request. */
    constexpr Milliseconds maximumPositionWait { 500 };
    constexpr Milliseconds requestTimeout { 400 };
    /** Delay after a failed request, so that an unreachable server does not cause a busy loop. */
    constexpr Milliseconds retryDelay { 50 };

} // namespace

struct CommitConfirmer::State : std::enable_shared_from_this<CommitConfirmer::State> {
    struct Server {
        std::shared_ptr<EndpointControl> control;
        bool isPositionWaitPending = false;
        bool isStatusPending = false;
        TimePoint retryAt;
    };

    State(const DatabaseDescription& database, EndpointId primaryEndpoint, EndpointConnector& connector,
        TimerService& timerService)
        : timers(timerService)
        , primary(std::move(primaryEndpoint))
        , tracker(idsOf(database))
    {
        for (const EndpointDescription& endpoint : database.endpoints) {
            if (endpoint.id != primary)
                servers[endpoint.id].control = connector.control(endpoint.address);
        }
    }

    static std::vector<EndpointId> idsOf(const DatabaseDescription& database)
    {
        std::vector<EndpointId> ids;
        for (const EndpointDescription& endpoint : database.endpoints)
            ids.push_back(endpoint.id);
        return ids;
    }

    void complete(const std::vector<Confirmation>& confirmations, TimePoint now)
    {
        for (const Confirmation& confirmation : confirmations) {
            const auto found = callbacks.find(confirmation.id);
            if (found == callbacks.end())
                continue;
            const Callback callback = std::move(found->second);
            callbacks.erase(found);
            callback(confirmation.verdict, now);
        }
    }

    void sendRequests(TimePoint now)
    {
        for (auto& [id, server] : servers) {
            if (now < server.retryAt)
                continue;
            const auto awaitedPosition = tracker.wantedFrom(id);
            if (awaitedPosition && !server.isPositionWaitPending)
                waitForPosition(id, server, *awaitedPosition, now);
            if (tracker.needsFreshReport(id) && !server.isStatusPending)
                requestStatus(id, server, now);
        }
    }

    void waitForPosition(const EndpointId& id, Server& server, LogPosition position, TimePoint now)
    {
        server.isPositionWaitPending = true;
        server.control->waitForPosition(position, maximumPositionWait, maximumPositionWait + requestTimeout,
            [self = shared_from_this(), id, now](const EndpointResult<EndpointStatus>& result) {
                self->servers[id].isPositionWaitPending = false;
                self->onStatus(id, result, now);
            });
    }

    void requestStatus(const EndpointId& id, Server& server, TimePoint now)
    {
        server.isStatusPending = true;
        server.control->status(
            requestTimeout, [self = shared_from_this(), id, now](const EndpointResult<EndpointStatus>& result) {
                self->servers[id].isStatusPending = false;
                self->onStatus(id, result, now);
            });
    }

    void onStatus(const EndpointId& id, const EndpointResult<EndpointStatus>& result, TimePoint requestedAt)
    {
        const TimePoint now = timers.now();
        if (!result) {
            servers[id].retryAt = now + retryDelay;
            return;
        }
        const EndpointStatus& status = result.value();
        complete(tracker.onReport({ id, status.promisedTerm, status.logEnd, requestedAt }, now), now);
        sendRequests(now);
    }

    TimerService& timers;
    EndpointId primary;
    CommitTracker tracker;
    std::map<EndpointId, Server> servers;
    std::unordered_map<ConfirmationId, Callback> callbacks;
    ConfirmationId lastId = 0;
};

CommitConfirmer::CommitConfirmer(
    const DatabaseDescription& database, EndpointId primary, EndpointConnector& connector, TimerService& timers)
    : state_(std::make_shared<State>(database, std::move(primary), connector, timers))
{
}

CommitConfirmer::~CommitConfirmer()
{
    const auto callbacks = std::move(state_->callbacks);
    state_->callbacks.clear();
    for (const auto& [id, callback] : callbacks)
        callback(Confirmation::Verdict::TimedOut, state_->timers.now());
}

void CommitConfirmer::awaitPosition(LogPosition position, TimePoint deadline, TimePoint now, Callback callback)
{
    const ConfirmationId id = ++state_->lastId;
    state_->callbacks.emplace(id, std::move(callback));
    state_->complete(state_->tracker.awaitPosition(id, state_->primary, position, deadline, now), now);
    state_->sendRequests(now);
}

void CommitConfirmer::awaitLeadership(
    LogPosition answered, TimePoint sentAt, TimePoint deadline, TimePoint now, Callback callback)
{
    const ConfirmationId id = ++state_->lastId;
    state_->callbacks.emplace(id, std::move(callback));
    // A server answers as the primary only while it has promised no later term than its own, so the answer is also
    // evidence of its promised term and counts as a status report.
    state_->complete(state_->tracker.onReport({ state_->primary, answered.term, answered, sentAt }, now), now);
    state_->complete(state_->tracker.awaitLeadership(id, state_->primary, answered.term, sentAt, deadline, now), now);
    state_->sendRequests(now);
}

void CommitConfirmer::onTick(TimePoint now)
{
    state_->complete(state_->tracker.onTick(now), now);
    state_->sendRequests(now);
}

std::size_t CommitConfirmer::waitingCount() const { return state_->tracker.waitingCount(); }

LogPosition CommitConfirmer::confirmedPosition() const { return state_->tracker.confirmedPosition(); }

} // namespace almondlever
