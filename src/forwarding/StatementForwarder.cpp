#include "almondlever/forwarding/StatementForwarder.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Larger tickets were issued by the forwarder, the others by the local runner. */
    constexpr Ticket firstOwnTicket = Ticket { 1 } << 62U;

} // namespace

/** A transaction that is open on another daemon. */
class StatementForwarder::RemoteTransaction final : public OpenTransaction {
public:
    RemoteTransaction(LiveDaemon owner, std::uint64_t number)
        : owner_(std::move(owner))
        , number_(number)
    {
    }

    const LiveDaemon& owner() const { return owner_; }
    std::uint64_t number() const { return number_; }

private:
    LiveDaemon owner_;
    std::uint64_t number_;
};

StatementForwarder::StatementForwarder(
    StatementRunner& local, DecisionLog& log, Metrics& metrics, const ForwarderSettings& settings)
    : local_(local)
    , log_(log)
    , metrics_(metrics)
    , settings_(settings)
    , lastTicket_(firstOwnTicket + settings.firstNumber % firstOwnTicket)
{
}

StatementForwarder::~StatementForwarder() = default;

Ticket StatementForwarder::submit(StatementRequest request, StatementCallback callback, TimePoint now)
{
    const bool isOwner = owners_.count(request.group) == 0;
    if (isOwner || !network_)
        return local_.submit(std::move(request), std::move(callback), now);
    const Ticket ticket = ++lastTicket_;
    place(ticket, { std::move(request), std::move(callback), {}, nullptr, {} }, now);
    return ticket;
}

Ticket StatementForwarder::submit(
    const TransactionHandle& link, StatementRequest request, StatementCallback callback, TimePoint now)
{
    const auto remote = std::dynamic_pointer_cast<RemoteTransaction>(link);
    if (!remote)
        return local_.submit(link, std::move(request), std::move(callback), now);
    const Ticket ticket = ++lastTicket_;
    Forwarded forwarded { std::move(request), std::move(callback), remote->owner(), remote, {} };
    const SendResult sent = send(ticket, forwarded, now);
    if (sent == SendResult::Sent) {
        forwarded_.emplace(ticket, std::move(forwarded));
        return ticket;
    }
    // The session forgets the transaction, and the owner holds it while the channel is open.
    endTransaction(link, now);
    const bool isTooLarge = sent == SendResult::TooLarge;
    StatementResult result;
    result.reply.error = StatementError::Aborted;
    result.reply.detail = isTooLarge ? "the statement is too large for the daemon that held the transaction"
                                     : "the daemon that held the transaction cannot be reached";
    log(forwarded, "fail", isTooLarge ? "too_large_to_forward" : "owner_unreachable", now);
    forwarded.callback(std::move(result), now);
    return ticket;
}

void StatementForwarder::setOwners(std::map<GroupId, std::vector<LiveDaemon>> owners)
{
    owners_ = std::move(owners);
    addresses_.clear();
    for (const auto& [group, daemons] : owners_) {
        for (const LiveDaemon& daemon : daemons)
            addresses_[daemon.id] = daemon.peerAddress;
    }
    for (auto it = health_.begin(); it != health_.end();) {
        const bool isNeeded = addresses_.count(it->first) > 0 || it->second.running() > 0;
        it = isNeeded ? std::next(it) : health_.erase(it);
    }
}

OwnerHealth& StatementForwarder::healthOf(const VmId& owner)
{
    return health_.try_emplace(owner, settings_.health).first->second;
}

bool StatementForwarder::isPreferred(const LiveDaemon& left, const LiveDaemon& right)
{
    // A message to a daemon without a channel has to wait until the connection is established.
    const bool isLeftConnected = network_->isConnected(left.id);
    const bool isRightConnected = network_->isConnected(right.id);
    if (isLeftConnected != isRightConnected)
        return isLeftConnected;
    const bool isLeftNear = left.failureDomain == settings_.failureDomain;
    const bool isRightNear = right.failureDomain == settings_.failureDomain;
    if (isLeftNear != isRightNear)
        return isLeftNear;
    return healthOf(left.id).running() < healthOf(right.id).running();
}

const LiveDaemon* StatementForwarder::chooseOwner(const GroupId& group, const std::set<VmId>& tried, TimePoint now)
{
    const auto found = owners_.find(group);
    if (found == owners_.end() || tried.size() >= settings_.maximumOwners)
        return nullptr;
    const LiveDaemon* best = nullptr;
    for (const LiveDaemon& owner : found->second) {
        if (tried.count(owner.id) > 0 || !healthOf(owner.id).isUsable())
            continue;
        // The probe opens the channel for later statements.
        const bool isNear = owner.failureDomain == settings_.failureDomain;
        if (isNear && !network_->isConnected(owner.id))
            probeOwner(owner.id, owner.peerAddress, now);
        if (!best || isPreferred(owner, *best))
            best = &owner;
    }
    return best;
}

void StatementForwarder::place(Ticket ticket, Forwarded forwarded, TimePoint now)
{
    while (const LiveDaemon* owner = chooseOwner(forwarded.request.group, forwarded.tried, now)) {
        forwarded.owner = *owner;
        forwarded.tried.insert(owner->id);
        const SendResult sent = send(ticket, forwarded, now);
        if (sent == SendResult::TooLarge)
            return runLocally(ticket, std::move(forwarded), "too_large_to_forward", now);
        if (sent == SendResult::Unreachable) {
            healthOf(forwarded.owner.id).recordFailure(now);
            continue;
        }
        log(forwarded, "forward", "not_owner", now);
        forwarded_.emplace(ticket, std::move(forwarded));
        return;
    }
    runLocally(ticket, std::move(forwarded), "no_owner_reachable", now);
}

StatementForwarder::SendResult StatementForwarder::send(Ticket ticket, const Forwarded& forwarded, TimePoint now)
{
    const StatementRequest& request = forwarded.request;
    SessionStatement message;
    message.correlation = ticket;
    message.statement = request.statement;
    message.group = request.group;
    message.customer = request.customer;
    message.rank = request.rank;
    message.timeLeft
        = std::chrono::duration_cast<Milliseconds>(std::max<Duration>(request.deadline - now, Duration(0)));
    message.isWrite = request.isWrite;
    message.needsPrimary = request.needsPrimary;
    message.opensTransaction = request.opensTransaction;
    message.isReadOnlyTransaction = request.isReadOnlyTransaction;
    message.maximumStaleness = request.maximumStaleness;
    message.sessionPosition = request.sessionPosition;
    message.contents.values = request.contents->values;
    const auto prepared = request.contents->prepared.find(request.statement.name);
    if (prepared != request.contents->prepared.end())
        message.contents.prepared.insert(*prepared);
    message.transaction = forwarded.transaction ? forwarded.transaction->number() : 0;
    if (!isForwardable(message))
        return SendResult::TooLarge;
    if (!network_ || !network_->send(forwarded.owner.id, forwarded.owner.peerAddress, message))
        return SendResult::Unreachable;
    healthOf(forwarded.owner.id).recordSent(now);
    return SendResult::Sent;
}

void StatementForwarder::runLocally(Ticket ticket, Forwarded forwarded, const std::string& reason, TimePoint now)
{
    log(forwarded, "run_here", reason, now);
    metrics_.count("almondlever_forwarded_total",
        reason == "too_large_to_forward" ? "result=\"too_large\"" : "result=\"no_owner\"");
    localTickets_[ticket] = 0;
    const Ticket local = local_.submit(
        std::move(forwarded.request),
        [this, ticket, callback = std::move(forwarded.callback)](StatementResult&& result, TimePoint at) {
            localTickets_.erase(ticket);
            callback(std::move(result), at);
        },
        now);
    const auto found = localTickets_.find(ticket);
    if (found != localTickets_.end())
        found->second = local;
}

StatementForwarder::Forwarded StatementForwarder::take(Ticket ticket)
{
    const auto found = forwarded_.find(ticket);
    Forwarded forwarded = std::move(found->second);
    forwarded_.erase(found);
    healthOf(forwarded.owner.id).recordEnded();
    return forwarded;
}

void StatementForwarder::onAnswer(const VmId& owner, SessionAnswer&& answer, TimePoint now)
{
    healthOf(owner).recordMessage(now);
    const auto found = forwarded_.find(answer.correlation);
    const bool isAwaited = found != forwarded_.end() && found->second.owner.id == owner;
    if (!isAwaited) {
        const auto open = transactions_.find({ owner, answer.transaction });
        if (open != transactions_.end() && !open->second.expired()) {
            logWarning("answer_not_awaited",
                { { "owner", owner.text() }, { "statement", std::to_string(answer.correlation) } });
            return;
        }
        // The statement was abandoned, so nothing else would end the transaction that it opened.
        if (answer.transaction != 0 && network_)
            network_->send(owner, "", SessionTransactionEnd { answer.transaction });
        return;
    }
    Forwarded forwarded = take(answer.correlation);
    metrics_.count("almondlever_forwarded_total", "result=\"answered\"");
    StatementResult result;
    result.reply = std::move(answer.reply);
    result.endpoint = answer.endpoint;
    result.attempts = answer.attempts;
    result.transaction = transactionOf(forwarded, answer);
    forwarded.callback(std::move(result), now);
}

std::shared_ptr<StatementForwarder::RemoteTransaction> StatementForwarder::transactionOf(
    const Forwarded& forwarded, const SessionAnswer& answer)
{
    if (answer.transaction == 0)
        return nullptr;
    if (forwarded.transaction && forwarded.transaction->number() == answer.transaction)
        return forwarded.transaction;
    auto transaction = std::make_shared<RemoteTransaction>(forwarded.owner, answer.transaction);
    transactions_[{ forwarded.owner.id, answer.transaction }] = transaction;
    return transaction;
}

void StatementForwarder::onUnsent(std::uint64_t correlation, TimePoint now)
{
    if (forwarded_.count(correlation) == 0)
        return;
    Forwarded forwarded = take(correlation);
    healthOf(forwarded.owner.id).recordFailure(now);
    if (!forwarded.transaction)
        return place(correlation, std::move(forwarded), now);
    StatementResult result;
    result.reply.error = StatementError::Aborted;
    result.reply.detail = "the daemon that held the transaction cannot be reached";
    log(forwarded, "fail", "owner_unreachable", now);
    forwarded.callback(std::move(result), now);
}

void StatementForwarder::onLoss(const VmId& owner, TimePoint now)
{
    healthOf(owner).recordFailure(now);
    std::vector<Ticket> lost;
    for (const auto& [ticket, forwarded] : forwarded_) {
        if (forwarded.owner.id == owner)
            lost.push_back(ticket);
    }
    for (const Ticket ticket : lost) {
        if (forwarded_.count(ticket) > 0)
            fail(ticket, "the channel to the owner was lost", now);
    }
}

bool StatementForwarder::mayHaveEffect(const Forwarded& forwarded)
{
    // An owner rolls transactions back when it loses the channel, so only commits and writes outside a transaction can
    // have an effect.
    const StatementRequest& request = forwarded.request;
    const bool isTransaction = forwarded.transaction || request.opensTransaction;
    return request.isWrite && (request.statement.kind == StatementKind::Commit || !isTransaction);
}

void StatementForwarder::fail(Ticket ticket, const std::string& reason, TimePoint now)
{
    Forwarded forwarded = take(ticket);
    const bool hasEffect = mayHaveEffect(forwarded);
    metrics_.count("almondlever_forwarded_total", "result=\"lost\"");
    log(forwarded, hasEffect || forwarded.transaction ? "fail" : "retry", reason, now);
    if (!hasEffect && !forwarded.transaction && now < forwarded.request.deadline)
        return place(ticket, std::move(forwarded), now);
    if (forwarded.transaction)
        endTransaction(forwarded.transaction, now);
    StatementResult result;
    result.reply.error = hasEffect ? StatementError::Unknown
        : forwarded.transaction    ? StatementError::Aborted
                                   : StatementError::Busy;
    result.reply.detail = reason;
    forwarded.callback(std::move(result), now);
}

void StatementForwarder::onAlive(const VmId& owner, TimePoint now) { healthOf(owner).recordMessage(now); }

void StatementForwarder::probeOwner(const VmId& owner, const std::string& address, TimePoint now)
{
    OwnerHealth& health = healthOf(owner);
    if (health.isProbePending())
        return;
    health.recordProbe(now);
    if (!network_->send(owner, address, OwnerProbe {}))
        health.recordFailure(now);
}

void StatementForwarder::checkOwnerHealth(TimePoint now)
{
    if (!network_)
        return;
    std::vector<VmId> unresponsive;
    for (auto& [owner, health] : health_) {
        const auto address = addresses_.find(owner);
        if (health.checkProbeTimeout(now))
            unresponsive.push_back(owner);
        else if (address != addresses_.end() && health.isProbeDue(now))
            probeOwner(owner, address->second, now);
    }
    for (const VmId& owner : unresponsive)
        moveStatements(owner, now);
}

void StatementForwarder::moveStatements(const VmId& owner, TimePoint now)
{
    std::vector<Ticket> repeatable;
    for (const auto& [ticket, forwarded] : forwarded_) {
        if (forwarded.owner.id == owner && !forwarded.transaction && !mayHaveEffect(forwarded))
            repeatable.push_back(ticket);
    }
    logInfo("owner_silent", { { "owner", owner.text() }, { "moved", std::to_string(repeatable.size()) } });
    metrics_.count("almondlever_silent_owners_total", "");
    for (const Ticket ticket : repeatable) {
        const auto found = forwarded_.find(ticket);
        if (found == forwarded_.end())
            continue;
        network_->send(owner, found->second.owner.peerAddress, SessionAbandon { ticket });
        fail(ticket, "the owner is silent", now);
    }
}

void StatementForwarder::onTick(TimePoint now)
{
    if (lastTick_ && now - *lastTick_ > settings_.stallLimit) {
        for (auto& [owner, health] : health_)
            health.restartTimeouts(now);
    }
    lastTick_ = now;
    for (auto it = transactions_.begin(); it != transactions_.end();)
        it = it->second.expired() ? transactions_.erase(it) : std::next(it);
    checkOwnerHealth(now);
    std::vector<Ticket> overdue;
    for (const auto& [ticket, forwarded] : forwarded_) {
        if (now >= forwarded.request.deadline + settings_.answerGracePeriod)
            overdue.push_back(ticket);
    }
    for (const Ticket ticket : overdue) {
        const auto found = forwarded_.find(ticket);
        if (found == forwarded_.end())
            continue;
        // An owner that is alive would have answered in time.
        healthOf(found->second.owner.id).recordFailure(now);
        if (network_)
            network_->send(found->second.owner.id, found->second.owner.peerAddress, SessionAbandon { ticket });
        fail(ticket, "no answer from the owner within the time-out", now);
    }
}

void StatementForwarder::abandon(Ticket ticket, TimePoint now)
{
    if (ticket <= firstOwnTicket)
        return local_.abandon(ticket, now);
    const auto localTicket = localTickets_.find(ticket);
    if (localTicket != localTickets_.end()) {
        const Ticket local = localTicket->second;
        localTickets_.erase(localTicket);
        return local_.abandon(local, now);
    }
    if (forwarded_.count(ticket) == 0)
        return;
    const Forwarded forwarded = take(ticket);
    if (network_)
        network_->send(forwarded.owner.id, forwarded.owner.peerAddress, SessionAbandon { ticket });
}

void StatementForwarder::endTransaction(const TransactionHandle& link, TimePoint now)
{
    const auto remote = std::dynamic_pointer_cast<RemoteTransaction>(link);
    if (!remote)
        return local_.endTransaction(link, now);
    if (network_)
        network_->send(remote->owner().id, remote->owner().peerAddress, SessionTransactionEnd { remote->number() });
}

void StatementForwarder::log(
    const Forwarded& forwarded, std::string_view decision, std::string_view reason, TimePoint now)
{
    const bool isRoutine = decision == "forward";
    constexpr std::size_t leastUrgent = 255;
    if (!log_.admits(isRoutine ? leastUrgent : forwarded.request.rank, now))
        return;
    log_.write(decision,
        { { "request", forwarded.request.statement.id }, { "group", forwarded.request.group.text() },
            { "owner", forwarded.owner.id.text() }, { "reason", reason },
            { "rank", std::to_string(forwarded.request.rank) } });
}

} // namespace almondlever
