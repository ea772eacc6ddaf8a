#include "EndpointServer.h"

#include "endpoints/HttpEndpointCodec.h"

#include <algorithm>
#include <asio.hpp>
#include <cstdlib>

namespace almondlever::standin {

namespace {

    using Json = nlohmann::json;

    /** Control clients send at once after connecting; a connection silent for longer belongs to a pool. */
    constexpr Milliseconds silentConnectionGrace { 1000 };
    constexpr Milliseconds longestPositionWait { 60000 };
    constexpr const char* replicatePath = "/replicate";

    StandinHttpServer::Settings limitedSettings(const EndpointSettings& settings)
    {
        const EndpointError busy { EndpointErrorCode::Busy, Outcome::NotRun, "all connections of the server are taken",
            0 };
        return { settings.address, settings.place, settings.connections, encodeError(busy) };
    }

    std::unique_ptr<FileJournal> openJournal(const std::string& path)
    {
        return path.empty() ? nullptr : std::make_unique<FileJournal>(path);
    }

    bool isStatementPath(const std::string& path)
    {
        return path == "/statement" || path == "/begin" || path == "/commit" || path == "/rollback";
    }

} // namespace

EndpointServer::EndpointServer(
    asio::io_context& context, NetworkModel& network, EndpointSettings settings, Directory directory)
    : context_(context)
    , settings_(std::move(settings))
    , directory_(std::move(directory))
    , journal_(openJournal(settings_.journalPath))
    , database_(settings_.id, journal_.get())
    , source_(database_)
    , server_(context, network, limitedSettings(settings_),
          { [this](const Connection& connection, const StandinRequest& request) { receive(connection, request); },
              [this](const Connection& connection) { forget(connection); }, [this] { ++refusedConnections_; } })
    , replicationServer_(context, network, { settings_.replicationAddress, settings_.place, 0, {} },
          { [this](const Connection& connection, const StandinRequest& request) {
               runUnlessPaused([this, connection, request] { source_.open(connection, request.body); });
           },
              [this](const Connection& connection) { source_.remove(connection); }, nullptr })
    , serviceTime_(settings_.serviceTime, settings_.seed)
    , lagTimer_(context)
    , retryTimer_(context)
    , heartbeatTimer_(context)
{
    if (journal_) {
        JournalContent content = journal_->takeContent();
        database_.restore(std::move(content.state), std::move(content.entries));
    }
    if (settings_.initialPrimary.isEmpty() || database_.state().promisedTerm != 0)
        return;
    const bool isInitialPrimary = settings_.initialPrimary == settings_.id;
    const auto begun = isInitialPrimary ? database_.raiseTerm(1, VmId("initial"))
                                        : database_.follow(1, settings_.initialPrimary, "");
    if (begun && isInitialPrimary)
        (void)database_.promote(1).hasValue();
}

EndpointServer::~EndpointServer()
{
    kill();
    *isAlive_ = false;
}

Result<Done, std::string> EndpointServer::start()
{
    if (const auto listening = server_.start(); !listening)
        return listening.error();
    if (const auto listening = replicationServer_.start(); !listening)
        return listening.error();
    isRunning_ = true;
    scheduleHeartbeat();
    return Done {};
}

void EndpointServer::beginReplication() { updateReplication(); }

void EndpointServer::kill()
{
    isRunning_ = false;
    isPaused_ = false;
    ++generation_;
    server_.stop();
    replicationServer_.stop();
    updateReplication();
    heartbeatTimer_.cancel();
    pausedActions_.clear();
    waits_.clear();
    states_.clear();
    slotsInUse_ = 0;
}

Result<Done, std::string> EndpointServer::restart()
{
    if (isRunning_)
        return Done {};
    auto started = start();
    if (started)
        updateReplication();
    return started;
}

void EndpointServer::pause() { isPaused_ = true; }

void EndpointServer::resume()
{
    isPaused_ = false;
    while (!pausedActions_.empty() && !isPaused_) {
        const auto action = std::move(pausedActions_.front());
        pausedActions_.pop_front();
        action();
    }
}

void EndpointServer::runUnlessPaused(std::function<void()> action)
{
    if (isPaused_)
        return pausedActions_.push_back(std::move(action));
    action();
}

EndpointServer::ConnectionState* EndpointServer::findState(std::uint64_t connection)
{
    const auto found = states_.find(connection);
    return found == states_.end() ? nullptr : &found->second;
}

void EndpointServer::receive(const Connection& connection, const StandinRequest& request)
{
    if (isPaused_) {
        pausedActions_.emplace_back([this, connection, request] { receive(connection, request); });
        return;
    }
    if (!states_[connection->id()].isOpened)
        return open(connection, request);
    dispatch(connection, request);
}

void EndpointServer::open(const Connection& connection, const StandinRequest& request)
{
    states_[connection->id()].isOpened = true;
    const TimePoint readyAt = connection->acceptedAt() + settings_.openTime;
    if (readyAt <= Clock::now())
        return dispatch(connection, request);
    const auto timer = std::make_shared<asio::steady_timer>(context_, readyAt);
    timer->async_wait([this, timer, alive = isAlive_, id = connection->id(), connection, request](std::error_code) {
        if (*alive && findState(id))
            receive(connection, request);
    });
}

void EndpointServer::dispatch(const Connection& connection, const StandinRequest& request)
{
    if (isStatementPath(request.path) && request.method == "POST")
        return dispatchStatement(connection, request);
    if (request.path == replicatePath && request.method == "POST")
        return source_.open(connection, request.body);
    dispatchControl(connection, request);
}

void EndpointServer::dispatchStatement(const Connection& connection, const StandinRequest& request)
{
    const auto decoded = decodeStatement(request.body);
    if (!decoded) {
        return refuseStatement(connection,
            { EndpointErrorCode::Rejected, Outcome::NotRun, decoded.error(), database_.state().promisedTerm });
    }
    const EndpointStatement& statement = decoded.value();
    states_[connection->id()].epoch = statement.claimEpoch;
    if (request.path == "/statement")
        return runStatement(connection, statement);
    if (request.path == "/begin")
        return begin(connection, statement);
    if (request.path == "/commit")
        return commit(connection, statement);
    rollback(connection, statement);
}

void EndpointServer::runStatement(const Connection& connection, const EndpointStatement& statement)
{
    auto& open = states_[connection->id()].transaction;
    const auto allowed = database_.check(statement, open ? &*open : nullptr, Clock::now());
    if (!allowed)
        return refuseStatement(connection, allowed.error());
    const bool isInTransaction = open.has_value();
    serveInSlot(connection, [this, connection, statement, isInTransaction] {
        ConnectionState* state = findState(connection->id());
        // A statement whose client is gone still runs, as on a database; a transaction ended with its connection.
        if (!state && isInTransaction)
            return;
        Transaction* transaction = state && state->transaction ? &*state->transaction : nullptr;
        respond(connection, database_.execute(statement, transaction, Clock::now()));
    });
}

void EndpointServer::begin(const Connection& connection, const EndpointStatement& header)
{
    ConnectionState& state = states_[connection->id()];
    if (const auto allowed = database_.checkBegin(header); !allowed)
        return refuseStatement(connection, allowed.error());
    if (state.transaction) {
        return refuseStatement(connection,
            { EndpointErrorCode::Rejected, Outcome::NotRun, "a transaction is open on this connection",
                database_.state().promisedTerm });
    }
    state.transaction = Transaction { header.term, {} };
    respond(connection, database_.emptyReply(Clock::now()));
}

void EndpointServer::commit(const Connection& connection, const EndpointStatement& header)
{
    serveInSlot(connection, [this, connection, header] {
        ConnectionState* state = findState(connection->id());
        if (!state)
            return;
        const std::optional<Transaction> transaction = std::move(state->transaction);
        state->transaction.reset();
        respond(connection, database_.commit(header, transaction ? &*transaction : nullptr, Clock::now()));
    });
}

void EndpointServer::rollback(const Connection& connection, const EndpointStatement&)
{
    ConnectionState& state = states_[connection->id()];
    if (!state.transaction) {
        return refuseStatement(connection,
            { EndpointErrorCode::TransactionLost, Outcome::NotRun, "no transaction is open on this connection",
                database_.state().promisedTerm });
    }
    state.transaction.reset();
    respond(connection, database_.emptyReply(Clock::now()));
}

void EndpointServer::serveInSlot(const Connection& connection, std::function<void()> work)
{
    if (slotsInUse_ >= settings_.slots) {
        ++refusedBusy_;
        return connection->respond(encodeError({ EndpointErrorCode::Busy, Outcome::NotRun,
            "all slots of the server are taken", database_.state().promisedTerm }));
    }
    ++slotsInUse_;
    peakSlots_ = std::max(peakSlots_, slotsInUse_);
    states_[connection->id()].isRunning = true;
    const Duration serviceTime = serviceTime_.draw();
    if (serviceTime == Duration::zero())
        return finishInSlot(connection->id(), work);
    const auto timer = std::make_shared<asio::steady_timer>(context_, serviceTime);
    timer->async_wait([this, timer, alive = isAlive_, generation = generation_, id = connection->id(),
                          work = std::move(work)](std::error_code) mutable {
        if (!*alive || generation != generation_)
            return;
        runUnlessPaused([this, id, work = std::move(work)] { finishInSlot(id, work); });
    });
}

void EndpointServer::finishInSlot(std::uint64_t connection, const std::function<void()>& work)
{
    --slotsInUse_;
    if (ConnectionState* state = findState(connection))
        state->isRunning = false;
    work();
    afterChange();
}

void EndpointServer::respond(const Connection& connection, const EndpointResult<EndpointReply>& result)
{
    if (!result)
        return refuseStatement(connection, result.error());
    const ConnectionState* state = findState(connection->id());
    connection->respond(encodeReply(result.value()), state && state->closeWhenIdle);
}

void EndpointServer::refuseStatement(const Connection& connection, const EndpointError& error)
{
    ConnectionState* state = findState(connection->id());
    const bool endsTransaction
        = error.code == EndpointErrorCode::ClaimLost || error.code == EndpointErrorCode::NotPrimary;
    if (state && endsTransaction)
        state->transaction.reset();
    const bool isSuperseded = state && state->epoch < database_.state().claim.epoch;
    connection->respond(encodeError(error), isSuperseded || (state && state->closeWhenIdle));
}

void EndpointServer::dispatchControl(const Connection& connection, const StandinRequest& request)
{
    if (request.method == "GET" && request.path == "/status")
        return respondStatus(connection);
    if (request.method == "GET" && request.path == "/position")
        return waitForPosition(connection, request);
    const EndpointClaim claim = database_.state().claim;
    const auto result = control(request);
    if (!result)
        return connection->respond(encodeError(result.error()));
    respondStatus(connection);
    const EndpointClaim& current = database_.state().claim;
    const bool isForced = !claim.owner.isEmpty() && !current.owner.isEmpty() && current.owner != claim.owner;
    if (current.epoch != claim.epoch)
        closeSupersededConnections(isForced);
    updateReplication();
    afterChange();
}

DatabaseServer::Checked EndpointServer::control(const StandinRequest& request)
{
    EndpointError rejected { EndpointErrorCode::Rejected, Outcome::NotRun,
        "no operation " + request.method + ' ' + request.path, database_.state().promisedTerm };
    if (request.method != "POST")
        return rejected;
    try {
        const Json body = Json::parse(request.body);
        if (request.path == "/term")
            return database_.raiseTerm(body.at("term"), VmId(body.at("proposer").get<std::string>()));
        if (request.path == "/promote")
            return database_.promote(body.at("term"));
        if (request.path == "/follow") {
            return database_.follow(
                body.at("term"), EndpointId(body.at("primary").get<std::string>()), body.value("primary_address", ""));
        }
        if (request.path == "/claim")
            return database_.claim(body.at("expected_epoch"), VmId(body.at("owner").get<std::string>()));
    } catch (const Json::exception& error) {
        rejected.detail = std::string("body cannot be read: ") + error.what();
    }
    return rejected;
}

void EndpointServer::respondStatus(const Connection& connection)
{
    connection->respond(encodeStatus(database_.status(Clock::now(), server_.openConnections())));
}

void EndpointServer::waitForPosition(const Connection& connection, const StandinRequest& request)
{
    const auto number
        = [&request](const char* name) { return std::strtoull(request.parameter(name).c_str(), nullptr, 10); };
    const LogPosition position { number("term"), number("index") };
    const Milliseconds wait = std::min(Milliseconds(number("wait_ms")), longestPositionWait);
    if (wait.count() <= 0 || database_.log().end() >= position)
        return respondStatus(connection);
    waits_.push_back(
        { connection, position, database_.state().promisedTerm, std::make_unique<asio::steady_timer>(context_, wait) });
    const auto waiting = std::prev(waits_.end());
    waiting->timer->async_wait([this, alive = isAlive_, id = connection->id()](std::error_code error) {
        if (error || !*alive)
            return;
        runUnlessPaused([this, id] {
            const auto due = std::find_if(waits_.begin(), waits_.end(),
                [id](const PositionWait& candidate) { return candidate.connection->id() == id; });
            if (due == waits_.end())
                return;
            const Connection asker = due->connection;
            waits_.erase(due);
            respondStatus(asker);
        });
    });
}

void EndpointServer::answerWaits()
{
    std::vector<Connection> due;
    for (auto wait = waits_.begin(); wait != waits_.end();) {
        const bool isDue
            = database_.log().end() >= wait->position || database_.state().promisedTerm != wait->promisedTerm;
        if (!isDue) {
            ++wait;
            continue;
        }
        due.push_back(wait->connection);
        wait = waits_.erase(wait);
    }
    for (const Connection& connection : due)
        respondStatus(connection);
}

void EndpointServer::closeSupersededConnections(bool endsTransactions)
{
    const std::uint64_t epoch = database_.state().claim.epoch;
    for (const Connection& connection : server_.connections()) {
        ConnectionState* state = findState(connection->id());
        if (!state || state->epoch == 0 || state->epoch >= epoch || connection->isControl())
            continue;
        if (state->transaction && !endsTransactions)
            continue;
        if (state->isRunning)
            state->closeWhenIdle = true;
        else
            connection->close();
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, silentConnectionGrace);
    timer->async_wait([this, timer, alive = isAlive_, claimedAt = Clock::now()](std::error_code) {
        if (*alive)
            closeSilentConnections(claimedAt);
    });
}

void EndpointServer::closeSilentConnections(TimePoint acceptedBefore)
{
    for (const Connection& connection : server_.connections()) {
        if (!connection->hasSentRequest() && connection->acceptedAt() < acceptedBefore)
            connection->close();
    }
}

void EndpointServer::forget(const Connection& connection)
{
    states_.erase(connection->id());
    waits_.remove_if([&connection](const PositionWait& wait) { return wait.connection == connection; });
    source_.remove(connection);
}

void EndpointServer::afterChange()
{
    answerWaits();
    scheduleSend();
}

Json EndpointServer::statistics() const
{
    const EndpointStatus status = database_.status(Clock::now(), server_.openConnections());
    Json writes = Json::object();
    for (const auto& [term, count] : database_.writesByTerm())
        writes[std::to_string(term)] = count;
    return { { "running", isRunning_ }, { "paused", isPaused_ }, { "connections_open", server_.openConnections() },
        { "connections_peak", server_.peakConnections() }, { "connections_limit", settings_.connections },
        { "connections_refused", refusedConnections_ }, { "statements_run", database_.statementsRun() },
        { "statements_refused_busy", refusedBusy_ }, { "slots_in_use", slotsInUse_ }, { "slots_peak", peakSlots_ },
        { "slots", settings_.slots }, { "writes_by_term", writes },
        { "repeated_requests", database_.log().repeatedRequests() }, { "role", toText(status.role) },
        { "promised_term", status.promisedTerm }, { "log_end", encodePosition(status.logEnd) },
        { "following", status.following.text() }, { "staleness_ms", status.staleness.count() },
        { "claim_epoch", status.claim.epoch }, { "claim_owner", status.claim.owner.text() },
        { "lag_ms", settings_.lag.count() } };
}

Json EndpointServer::describeLog() const
{
    Json entries = Json::array();
    for (const LogEntry& entry : database_.log().entries()) {
        entries.push_back({ { "position", encodePosition(entry.position) }, { "key", entry.key },
            { "request_id", entry.requestId.text() }, { "marker", entry.isMarker } });
    }
    return entries;
}

} // namespace almondlever::standin
