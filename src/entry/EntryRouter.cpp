#include "almondlever/entry/EntryRouter.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>

namespace almondlever {

namespace {

    /** Limit on the routing attempts of a request, so that it does not circulate forever between daemons that disagree
     * about the owner or primary.
     */
    constexpr int maximumAttempts = 64;
    /**
     * Shortest and longest delay before a request is routed again after daemons disagreed about the owner or primary,
     * or a daemon could not be reached. The delay grows by half each time, so that waiting for a new owner costs few
     * messages.
     */
    constexpr Milliseconds initialRetryDelay { 10 };
    constexpr Milliseconds maximumRetryDelay { 100 };
    /** Retry-After value for callers when there is no estimate. */
    constexpr Milliseconds defaultRetryAfter { 1000 };
    /** Largest Retry-After value for callers. */
    constexpr Milliseconds maximumRetryAfter { 30000 };

    std::string sha256Prefix(const std::string& text)
    {
        std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
        unsigned size = 0;
        EVP_Digest(text.data(), text.size(), digest.data(), &size, EVP_sha256(), nullptr);
        std::string hex;
        for (std::size_t i = 0; i < 16; ++i)
            fmt::format_to(std::back_inserter(hex), "{:02x}", digest[i]);
        return hex;
    }

    /** Returns the VM that serves a transaction: the part of its id before the last dot. */
    VmId servingVm(const TransactionId& transaction)
    {
        const auto dot = transaction.text().rfind('.');
        return dot == std::string::npos ? VmId() : VmId(transaction.text().substr(0, dot));
    }

    CallerErrorCode callerCode(ForwardErrorCode code)
    {
        switch (code) {
        case ForwardErrorCode::Overloaded:
            return CallerErrorCode::Overloaded;
        case ForwardErrorCode::DeadlineExceeded:
            return CallerErrorCode::DeadlineExceeded;
        case ForwardErrorCode::TransactionLost:
            return CallerErrorCode::TransactionLost;
        case ForwardErrorCode::NotConfirmed:
            return CallerErrorCode::NotConfirmed;
        case ForwardErrorCode::Rejected:
            return CallerErrorCode::BadRequest;
        default:
            return CallerErrorCode::Unavailable;
        }
    }

} // namespace

/** State of a request from its arrival until its final answer. */
struct EntryRouter::Exchange {
    CallerRequest request;
    CallerCallback callback;
    RequestId requestId;
    SnapshotPtr snapshot;
    const CallerRule* rule = nullptr;
    const DatabaseDescription* database = nullptr;
    SessionState session;
    bool hasToken = false;
    TimePoint arrival;
    TimePoint deadline;
    std::vector<EndpointId> excluded;
    int attempts = 0;
    Duration nextRetryDelay { initialRetryDelay };
    /** Set when the owner of the endpoint refused the last attempt for a reason other than an unavailable endpoint; the
     * outcome that it reported is then certain. */
    bool isRefusedByOwner = false;
    /** Set when the last attempt followed a redirect without a delay. */
    bool wasRedirected = false;
    /** Set when an earlier attempt may have run, so that the final answer must not report not_run. */
    bool mayHaveRun = false;

    bool isRead() const
    {
        return request.kind == ForwardKind::Statement && request.operation == OperationKind::Read
            && request.transaction.isEmpty();
    }
    LogPosition minimumPosition() const
    {
        const auto found = session.positions.find(request.database);
        return found == session.positions.end() ? LogPosition {} : found->second;
    }
    /** True when the caller must read its own writes but the session's position in the database is unknown. */
    bool isPositionLost() const
    {
        return rule->readYourWrites && (!hasToken || session.isTruncated) && minimumPosition() == LogPosition {};
    }
    std::optional<Milliseconds> maximumStaleness() const
    {
        if (rule->maxStaleness.count() > 0)
            return rule->maxStaleness;
        return std::nullopt;
    }
    bool mayUseReplica() const
    {
        if (isPositionLost())
            return false;
        return maximumStaleness() || minimumPosition() != LogPosition {};
    }
};

EntryRouter::EntryRouter(Forwarder& forwarder, TimerService& timers, const SessionTokenCodec& tokenCodec,
    RetryBudget& retryBudget, Metrics& metrics, DecisionLog& decisionLog, std::uint64_t seed)
    : forwarder_(forwarder)
    , timers_(timers)
    , tokenCodec_(tokenCodec)
    , retryBudget_(retryBudget)
    , metrics_(metrics)
    , decisionLog_(decisionLog)
    , random_(seed)
{
}

EntryRouter::~EntryRouter() = default;

void EntryRouter::setSnapshot(SnapshotPtr snapshot) { snapshot_ = std::move(snapshot); }

void EntryRouter::handle(CallerRequest request, TimePoint now, CallerCallback callback)
{
    ++pendingCount_;
    const auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(request);
    exchange->callback = std::move(callback);
    exchange->snapshot = snapshot_;
    exchange->arrival = now;
    if (auto error = validate(*exchange, now))
        return fail(exchange, std::move(*error), now);
    exchange->requestId = makeRequestId(exchange->request);
    retryBudget_.addRequest(now);
    route(exchange, now);
}

std::optional<CallerError> EntryRouter::validate(Exchange& exchange, TimePoint now) const
{
    const CallerRequest& request = exchange.request;
    if (!snapshot_ || !snapshot_->configuration)
        return CallerError { CallerErrorCode::NotReady, Outcome::NotRun, "no configuration is in force yet",
            defaultRetryAfter };
    const Configuration& configuration = *snapshot_->configuration;
    exchange.rule = configuration.findCaller(request.caller);
    if (!exchange.rule)
        return CallerError { CallerErrorCode::UnknownCaller, Outcome::NotRun,
            "caller '" + request.caller.text() + "' is not in the inventory", {} };
    exchange.database = configuration.findDatabase(request.database);
    if (!exchange.database)
        return CallerError { CallerErrorCode::UnknownDatabase, Outcome::NotRun,
            "database '" + request.database.text() + "' is not in the inventory", {} };
    const auto& allowed = exchange.rule->databases;
    if (std::find(allowed.begin(), allowed.end(), request.database) == allowed.end())
        return CallerError { CallerErrorCode::DatabaseNotAllowed, Outcome::NotRun,
            "the inventory does not list database '" + request.database.text() + "' for this caller", {} };
    if (!request.sessionToken.empty()) {
        auto session = tokenCodec_.decode(request.sessionToken);
        if (!session)
            return CallerError { CallerErrorCode::BadSessionToken, Outcome::NotRun, toText(session.error()), {} };
        exchange.session = std::move(session.value());
        exchange.hasToken = true;
    }
    const Milliseconds longest = configuration.ranks[exchange.rule->rank].deadline;
    const Milliseconds wanted = request.deadline.value_or(longest);
    if (wanted.count() <= 0)
        return CallerError { CallerErrorCode::DeadlineExceeded, Outcome::NotRun, "the deadline has passed on arrival",
            {} };
    exchange.deadline = now + std::min(wanted, longest);
    return std::nullopt;
}

void EntryRouter::route(const ExchangePtr& exchange, TimePoint now)
{
    exchange->isRefusedByOwner = false;
    if (now >= exchange->deadline)
        return fail(exchange,
            { CallerErrorCode::DeadlineExceeded, Outcome::NotRun, "the deadline has passed", defaultRetryAfter }, now);
    if (++exchange->attempts > maximumAttempts)
        return fail(exchange,
            { CallerErrorCode::Unavailable, Outcome::NotRun, "no endpoint took the request", defaultRetryAfter }, now);
    if (!exchange->request.transaction.isEmpty())
        return routeTransaction(exchange, now);
    if (exchange->isRead())
        return routeRead(exchange, now);
    routeWrite(exchange, now);
}

void EntryRouter::routeTransaction(const ExchangePtr& exchange, TimePoint now)
{
    const VmId owner = servingVm(exchange->request.transaction);
    if (owner.isEmpty() || !snapshot_->members.find(owner))
        return fail(exchange,
            { CallerErrorCode::TransactionLost, Outcome::NotRun, "the daemon that held the transaction is gone", {} },
            now);
    sendTo(exchange, owner, EndpointId(), "open_transaction", now);
}

void EntryRouter::routeRead(const ExchangePtr& exchange, TimePoint now)
{
    const EndpointId primary = likelyPrimary(*exchange->database);
    if (!exchange->mayUseReplica())
        return forward(
            exchange, primary, exchange->isPositionLost() ? "no_session_position" : "no_staleness_allowed", now);
    const ReadRequirements requirements { exchange->rule->rank, exchange->minimumPosition(),
        exchange->maximumStaleness() };
    const auto order = endpointTracker_.readOrder(*exchange->database, *exchange->snapshot->configuration,
        snapshot_->failureDomain, primary, excludedEndpoints(*exchange, primary), requirements, now);
    if (order.empty()) {
        // Every endpoint has refused the read or is leaving. All refusals were without effect, so the endpoints that
        // refused it can be tried again after a delay.
        exchange->excluded.clear();
        return retryLater(exchange);
    }
    // Owners refuse requests that cannot finish in time, so a replica whose queue is too long is skipped in favor of
    // the next one or the primary. Without this, a flood of reads left the slots of the primaries idle while the
    // replicas refused reads.
    const auto canFinishInTime = [&](const EndpointId& endpoint) {
        const auto wait = endpointTracker_.expectedWait(endpoint, exchange->rule->rank, now);
        return !wait || now + *wait < exchange->deadline;
    };
    const auto chosen = std::find_if(order.begin(), order.end(), canFinishInTime);
    const EndpointId& endpoint = chosen == order.end() ? order.front() : *chosen;
    forward(exchange, endpoint, endpoint == primary ? "replicas_exhausted" : "best_replica", now);
}

std::vector<EndpointId> EntryRouter::excludedEndpoints(const Exchange& exchange, const EndpointId& primary) const
{
    std::vector<EndpointId> excluded = exchange.excluded;
    for (const EndpointDescription& endpoint : exchange.database->endpoints) {
        if (endpoint.id != primary && snapshot_->leavingEndpoints.count(endpoint.id) > 0)
            excluded.push_back(endpoint.id);
    }
    return excluded;
}

void EntryRouter::routeWrite(const ExchangePtr& exchange, TimePoint now)
{
    forward(exchange, likelyPrimary(*exchange->database), "primary", now);
}

void EntryRouter::forward(const ExchangePtr& exchange, const EndpointId& endpoint, const char* reason, TimePoint now)
{
    const VmId owner = snapshot_->owners->ownerOf(endpoint);
    if (owner.isEmpty())
        return retryLater(exchange);
    const auto wait = endpointTracker_.expectedWait(endpoint, exchange->rule->rank, now);
    const bool isFirstChoice = exchange->attempts == 1;
    const bool isKeyed = !exchange->request.idempotencyKey.empty();
    if (wait && now + *wait >= exchange->deadline && isFirstChoice && !exchange->isRead() && !isKeyed) {
        logDecision(*exchange, "refuse", endpoint, owner, "owner_overloaded", now);
        return fail(exchange,
            { CallerErrorCode::Overloaded, Outcome::NotRun, "the queue is longer than the deadline", *wait }, now);
    }
    sendTo(exchange, owner, endpoint, reason, now);
}

void EntryRouter::sendTo(
    const ExchangePtr& exchange, const VmId& owner, const EndpointId& endpoint, const char* reason, TimePoint now)
{
    logDecision(*exchange, "route", endpoint, owner, reason, now);
    const CallerRequest& request = exchange->request;
    ForwardRequest message;
    message.kind = request.kind;
    message.requestId = exchange->requestId;
    message.caller = request.caller;
    message.database = request.database;
    message.endpoint = endpoint;
    message.rank = exchange->rule->rank;
    message.operation = request.operation;
    message.key = request.key;
    message.value = request.value;
    message.transaction = request.transaction;
    message.isRepeatable = request.isRepeatable && request.idempotencyKey.empty();
    message.timeLeft = std::chrono::duration_cast<Milliseconds>(exchange->deadline - now);
    message.minimumPosition = exchange->minimumPosition();
    message.maximumStaleness = exchange->maximumStaleness();
    message.needsConfirmedLeadership = exchange->isRead() && !exchange->mayUseReplica();
    message.traceparent = request.traceparent;
    forwarder_.forward(owner, std::move(message), exchange->deadline,
        [this, exchange, endpoint, now](
            ForwardReply reply, TimePoint later) { onReply(exchange, endpoint, now, std::move(reply), later); });
}

void EntryRouter::onReply(
    const ExchangePtr& exchange, const EndpointId& endpoint, TimePoint sentAt, ForwardReply reply, TimePoint now)
{
    const ForwardError* error = std::get_if<ForwardError>(&reply.result);
    const bool isUnreachable = error && error->code == ForwardErrorCode::EndpointUnavailable;
    if (isUnreachable)
        endpointTracker_.onUnavailable(endpoint, now);
    else if (!endpoint.isEmpty())
        endpointTracker_.onReply(endpoint, reply, now - sentAt, now);
    if (!error)
        return succeed(exchange, std::get<ForwardSuccess>(reply.result), now);
    updateHintedPrimary(error->primary);
    onError(exchange, endpoint, *error, now);
}

void EntryRouter::onError(
    const ExchangePtr& exchange, const EndpointId& endpoint, const ForwardError& error, TimePoint now)
{
    if (error.outcome == Outcome::Unknown && !exchange->isRead())
        exchange->mayHaveRun = true;
    const bool isNotRun = error.outcome == Outcome::NotRun;
    switch (error.code) {
    case ForwardErrorCode::NotOwner:
    case ForwardErrorCode::ShuttingDown:
        return retryLater(exchange);
    case ForwardErrorCode::NotPrimary:
        // The first redirect to another endpoint is followed at once. The next one is delayed, since during a primary
        // change two owners may each name the other's endpoint.
        if (likelyPrimary(*exchange->database) != endpoint && !exchange->wasRedirected) {
            exchange->wasRedirected = true;
            return route(exchange, now);
        }
        exchange->wasRedirected = false;
        return retryLater(exchange);
    case ForwardErrorCode::Behind:
        exchange->excluded.push_back(endpoint);
        return route(exchange, now);
    default:
        break;
    }
    exchange->isRefusedByOwner = error.code != ForwardErrorCode::EndpointUnavailable;
    const bool isTransactional = !exchange->request.transaction.isEmpty();
    const bool isTransactionLost = isTransactional && error.code == ForwardErrorCode::EndpointUnavailable;
    const CallerErrorCode code = isTransactionLost ? CallerErrorCode::TransactionLost : callerCode(error.code);
    const CallerError final { code, error.outcome, error.detail, error.retryAfter };
    // The statement was not sent. It is retried until the daemon that holds the transaction can be reached again or is
    // known to be dead, since only then is the transaction certainly lost.
    if (isTransactional && isNotRun && error.code == ForwardErrorCode::EndpointUnavailable)
        return retryLater(exchange);
    const bool hasTime = now < exchange->deadline && error.code != ForwardErrorCode::DeadlineExceeded;
    if (isTransactional || !hasTime || !mayRepeat(*exchange, error))
        return fail(exchange, final, now);
    // Routing a request again that reached no endpoint adds no load, so it does not use the retry budget.
    const bool isLoad = !isNotRun || error.code == ForwardErrorCode::Overloaded;
    if (isLoad && !retryBudget_.tryRetry(now)) {
        metrics_.count("almondlever_retries_refused_total", "");
        return fail(exchange, final, now);
    }
    metrics_.count("almondlever_retries_total", "");
    if (exchange->isRead()) {
        exchange->excluded.push_back(endpoint);
        return route(exchange, now);
    }
    isNotRun ? retryLater(exchange) : route(exchange, now);
}

bool EntryRouter::mayRepeat(const Exchange& exchange, const ForwardError& error) const
{
    if (error.code == ForwardErrorCode::Rejected)
        return false;
    if (error.code == ForwardErrorCode::Overloaded)
        return exchange.isRead() && exchange.mayUseReplica();
    if (exchange.isRead() || error.outcome == Outcome::NotRun)
        return true;
    // The endpoint detects duplicates by request id, so a write that did run is not run again.
    return exchange.request.kind == ForwardKind::Statement && exchange.request.isRepeatable
        && exchange.request.idempotencyKey.empty();
}

void EntryRouter::retryLater(const ExchangePtr& exchange)
{
    const Duration delay = exchange->nextRetryDelay;
    exchange->nextRetryDelay = std::min<Duration>(maximumRetryDelay, delay + delay / 2);
    timers_.callAfter(delay, [this, exchange](TimePoint now) { route(exchange, now); });
}

void EntryRouter::succeed(const ExchangePtr& exchange, const ForwardSuccess& success, TimePoint now)
{
    const bool isNewerPosition = success.position.term > 0 && exchange->minimumPosition() < success.position;
    if (isNewerPosition)
        exchange->session.observe(exchange->request.database, success.position);
    const std::string rank
        = "rank=\"" + exchange->snapshot->configuration->ranks[exchange->rule->rank].name.text() + '"';
    if (exchange->isRead())
        metrics_.count("almondlever_reads_total", success.isFromReplica ? "from=\"replica\"" : "from=\"primary\"");
    metrics_.observe("almondlever_request_seconds", rank, now - exchange->arrival);
    // When this daemon itself repeated the request, a duplicate is the result of the caller's own request, not of an
    // earlier one.
    const bool isDuplicate = success.isDuplicate && !exchange->mayHaveRun;
    CallerReply reply;
    reply.result = CallerSuccess { success.value, success.transaction, isDuplicate, success.isFromReplica,
        success.position, success.staleness };
    // Reuses the caller's token when the position is not newer, since copying is cheaper than signing.
    reply.sessionToken = exchange->hasToken && !isNewerPosition ? exchange->request.sessionToken
                                                                : tokenCodec_.encode(exchange->session);
    finish(exchange, std::move(reply), now);
}

void EntryRouter::fail(const ExchangePtr& exchange, CallerError error, TimePoint now)
{
    const bool isKeyedWrite = !exchange->request.idempotencyKey.empty() && !exchange->isRead();
    // Only the owner of the primary knows whether an earlier attempt with the same key was sent to an endpoint.
    const bool isOutcomeCertain = exchange->isRefusedByOwner || exchange->attempts == 0;
    if (exchange->mayHaveRun || (isKeyedWrite && !isOutcomeCertain))
        error.outcome = Outcome::Unknown;
    // The estimate for a starved rank can reach an hour, long before which the load will have changed.
    error.retryAfter = std::min(error.retryAfter, maximumRetryAfter);
    if (exchange->rule)
        logDecision(*exchange, "answer", EndpointId(), VmId(), toText(error.code), now);
    metrics_.count("almondlever_errors_total",
        fmt::format("code=\"{}\",outcome=\"{}\"", toText(error.code), toText(error.outcome)));
    CallerReply reply;
    reply.result = std::move(error);
    finish(exchange, std::move(reply), now);
}

void EntryRouter::finish(const ExchangePtr& exchange, CallerReply reply, TimePoint)
{
    --pendingCount_;
    reply.requestId = exchange->requestId;
    exchange->callback(std::move(reply));
}

EndpointId EntryRouter::likelyPrimary(const DatabaseDescription& database) const
{
    const PrimaryView* known = snapshot_->findPrimary(database.id);
    const auto hinted = hintedPrimaries_.find(database.id);
    if (hinted != hintedPrimaries_.end() && (!known || hinted->second.term > known->term))
        known = &hinted->second;
    const bool isListed = known
        && std::any_of(database.endpoints.begin(), database.endpoints.end(),
            [&](const EndpointDescription& endpoint) { return endpoint.id == known->primary; });
    // When the primary is unknown, any owner can be asked: its refusal names the primary.
    return isListed ? known->primary : database.endpoints.front().id;
}

void EntryRouter::updateHintedPrimary(const PrimaryView& view)
{
    if (view.primary.isEmpty())
        return;
    PrimaryView& known = hintedPrimaries_[view.database];
    if (view.term > known.term)
        known = view;
}

RequestId EntryRouter::makeRequestId(const CallerRequest& request)
{
    if (!request.idempotencyKey.empty())
        return RequestId(
            sha256Prefix(request.caller.text() + '\n' + request.database.text() + '\n' + request.idempotencyKey));
    return RequestId(fmt::format("{:016x}{:016x}", random_(), random_()));
}

void EntryRouter::logDecision(const Exchange& exchange, const char* event, const EndpointId& endpoint,
    const VmId& owner, const char* reason, TimePoint now)
{
    if (!decisionLog_.admits(exchange.rule->rank, now))
        return;
    const std::string& token = exchange.request.sessionToken;
    decisionLog_.write(event,
        { { "request", exchange.requestId.text() },
            { "session",
                token.empty() ? "none"
                              : std::string_view(token).substr(token.size() - std::min<std::size_t>(8, token.size())) },
            { "caller", exchange.request.caller.text() }, { "database", exchange.request.database.text() },
            { "op", toText(exchange.request.operation) }, { "endpoint", endpoint.isEmpty() ? "none" : endpoint.text() },
            { "owner", owner.isEmpty() ? "none" : owner.text() }, { "reason", reason } });
}

RouteExplanation EntryRouter::explain(
    const CallerId& caller, const DatabaseId& databaseId, OperationKind operation, TimePoint now) const
{
    RouteExplanation explanation;
    Exchange exchange;
    exchange.request.caller = caller;
    exchange.request.database = databaseId;
    exchange.request.operation = operation;
    exchange.snapshot = snapshot_;
    if (const auto error = validate(exchange, now)) {
        explanation.reason = std::string(toText(error->code)) + ": " + error->detail;
        return explanation;
    }
    explanation.isAccepted = true;
    explanation.rank = snapshot_->configuration->ranks[exchange.rule->rank].name.text();
    const EndpointId primary = likelyPrimary(*exchange.database);
    std::vector<EndpointId> order { primary };
    // Assumes that the session sends a token, which is the usual case.
    exchange.hasToken = true;
    if (operation == OperationKind::Read && exchange.mayUseReplica()) {
        explanation.reason = "reads may be stale: replicas first, primary last";
        order = endpointTracker_.readOrder(*exchange.database, *snapshot_->configuration, snapshot_->failureDomain,
            primary, excludedEndpoints(exchange, primary), { exchange.rule->rank, {}, exchange.maximumStaleness() },
            now);
    } else {
        explanation.reason = operation == OperationKind::Write
            ? "writes go to the primary"
            : "the rules allow no stale read: the primary, or a replica that has reached the session's position";
    }
    for (const EndpointId& endpoint : order) {
        const auto wait = endpointTracker_.expectedWait(endpoint, exchange.rule->rank, now);
        explanation.steps.push_back(
            { endpoint, snapshot_->owners->ownerOf(endpoint), endpoint == primary, wait.value_or(Milliseconds(-1)) });
    }
    return explanation;
}

} // namespace almondlever
