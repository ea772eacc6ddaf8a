#include "almondlever/serving/CommitConfirmer.h"

namespace almondlever {

namespace {

    /** Longest time that a server holds a position wait; short enough that a changed wish is noticed. */
    constexpr Milliseconds positionWait { 500 };
    constexpr Milliseconds requestTimeout { 400 };
    /** Pause after a request that failed, so that an unreachable server is not asked in a loop. */
    constexpr Milliseconds retryPause { 50 };

} // namespace

struct CommitConfirmer::State : std::enable_shared_from_this<CommitConfirmer::State> {
    struct Server {
        std::shared_ptr<EndpointControl> control;
        bool isWaiting = false;
        bool isAsking = false;
        TimePoint pausedUntil;
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

    void settle(const std::vector<Confirmation>& confirmations, TimePoint now)
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

    void ask(TimePoint now)
    {
        for (auto& [id, server] : servers) {
            if (now < server.pausedUntil)
                continue;
            const auto wanted = tracker.wantedFrom(id);
            if (wanted && !server.isWaiting)
                waitForPosition(id, server, *wanted, now);
            if (tracker.needsFreshReport(id) && !server.isAsking)
                askStatus(id, server, now);
        }
    }

    void waitForPosition(const EndpointId& id, Server& server, LogPosition position, TimePoint now)
    {
        server.isWaiting = true;
        server.control->waitForPosition(position, positionWait, positionWait + requestTimeout,
            [self = shared_from_this(), id, now](const EndpointResult<EndpointStatus>& result) {
                self->servers[id].isWaiting = false;
                self->onAnswer(id, result, now);
            });
    }

    void askStatus(const EndpointId& id, Server& server, TimePoint now)
    {
        server.isAsking = true;
        server.control->status(
            requestTimeout, [self = shared_from_this(), id, now](const EndpointResult<EndpointStatus>& result) {
                self->servers[id].isAsking = false;
                self->onAnswer(id, result, now);
            });
    }

    void onAnswer(const EndpointId& id, const EndpointResult<EndpointStatus>& result, TimePoint askedAt)
    {
        const TimePoint now = timers.now();
        if (!result) {
            servers[id].pausedUntil = now + retryPause;
            return;
        }
        const EndpointStatus& status = result.value();
        settle(tracker.onReport({ id, status.promisedTerm, status.logEnd, askedAt }, now), now);
        ask(now);
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
    state_->settle(state_->tracker.awaitPosition(id, state_->primary, position, deadline, now), now);
    state_->ask(now);
}

void CommitConfirmer::awaitLeadership(
    LogPosition answered, TimePoint sentAt, TimePoint deadline, TimePoint now, Callback callback)
{
    const ConfirmationId id = ++state_->lastId;
    state_->callbacks.emplace(id, std::move(callback));
    // A server answers as primary only while its promised term is its own, so the answer is a report.
    state_->settle(state_->tracker.onReport({ state_->primary, answered.term, answered, sentAt }, now), now);
    state_->settle(state_->tracker.awaitLeadership(id, state_->primary, answered.term, sentAt, deadline, now), now);
    state_->ask(now);
}

void CommitConfirmer::onTick(TimePoint now)
{
    state_->settle(state_->tracker.onTick(now), now);
    state_->ask(now);
}

std::size_t CommitConfirmer::waitingCount() const { return state_->tracker.waitingCount(); }

LogPosition CommitConfirmer::confirmedPosition() const { return state_->tracker.confirmedPosition(); }

} // namespace almondlever
