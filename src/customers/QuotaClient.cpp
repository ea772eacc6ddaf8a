#include "almondlever/customers/QuotaClient.h"

#include "almondlever/placement/QuotaCoordinators.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Time over which the rate of a customer's operations is smoothed, in seconds. */
    constexpr double rateSmoothingSeconds = 1;
    constexpr std::size_t mostUrgentRank = 0;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

QuotaClient::QuotaClient(VmId self, FailureDomainId failureDomain, QuotaCoordinator& local, DecisionLog& log,
    Metrics& metrics, const QuotaSettings& settings)
    : self_(std::move(self))
    , failureDomain_(std::move(failureDomain))
    , local_(local)
    , log_(log)
    , metrics_(metrics)
    , settings_(settings)
{
}

void QuotaClient::setCustomers(std::shared_ptr<const CustomerRegistry> customers) { customers_ = std::move(customers); }

void QuotaClient::setCoordinators(std::vector<LiveDaemon> coordinators) { coordinators_ = std::move(coordinators); }

QuotaTicket QuotaClient::request(const OperationRequest& operation, QuotaCallback callback, TimePoint now)
{
    const CustomerId& id = operation.customer;
    const Customer* customer = customers_ ? customers_->find(id) : nullptr;
    if (!customer || customer->limit.isUnlimited()) {
        callback(std::nullopt, now);
        return 0;
    }
    Account& account = accounts_[id];
    noteArrival(account, now);
    if (account.spare > 0 && now < account.spareUntil) {
        --account.spare;
        callback(std::nullopt, now);
        return 0;
    }
    const bool isUrgent = operation.rank == mostUrgentRank;
    if (!isUrgent && account.refusedUntil && now < *account.refusedUntil) {
        metrics_.count("almondlever_quota_refusals_total", "reason=\"quota_exceeded\"");
        const QuotaRefusal refusal { "quota_exceeded", std::chrono::ceil<Milliseconds>(account.returnAt - now) };
        logRefusal(operation, refusal, account, now);
        callback(refusal, now);
        return 0;
    }
    const QuotaTicket ticket = ++lastTicket_;
    account.waiting.push_back({ ticket, operation, std::move(callback) });
    if (!account.open)
        ask(id, account, now);
    const bool isWaiting = std::any_of(account.waiting.begin(), account.waiting.end(),
        [ticket](const Waiting& waiting) { return waiting.ticket == ticket; });
    return isWaiting ? ticket : 0;
}

void QuotaClient::cancel(QuotaTicket ticket)
{
    for (auto& [id, account] : accounts_) {
        const auto found = std::find_if(account.waiting.begin(), account.waiting.end(),
            [ticket](const Waiting& waiting) { return waiting.ticket == ticket; });
        if (found == account.waiting.end())
            continue;
        account.waiting.erase(found);
        return;
    }
}

void QuotaClient::noteArrival(Account& account, TimePoint now)
{
    const double elapsed = toSeconds(now - account.lastRequestAt);
    const double kept = std::max(1 - elapsed / rateSmoothingSeconds, 0.0);
    account.ratePerSecond = account.ratePerSecond * kept + 1 / rateSmoothingSeconds;
    account.lastRequestAt = now;
}

std::vector<LiveDaemon> QuotaClient::candidatesFor(const CustomerId& id, const Account& account, TimePoint now) const
{
    const Customer* customer = customers_ ? customers_->find(id) : nullptr;
    if (!customer)
        return {};
    std::vector<LiveDaemon> candidates
        = coordinatorsOf(id, QuotaBucket::coordinatorsFor(customer->limit, settings_), coordinators_);
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                         [&](const LiveDaemon& daemon) {
                             const auto silent = silentUntil_.find(daemon.id);
                             const bool isSilent = silent != silentUntil_.end() && now < silent->second;
                             return isSilent || account.asked.count(daemon.id) > 0;
                         }),
        candidates.end());
    // Spreads the daemons of the other failure domains over the coordinators.
    if (!candidates.empty()) {
        const std::size_t first = std::hash<VmId> {}(self_) % candidates.size();
        std::rotate(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(first), candidates.end());
    }
    std::stable_partition(candidates.begin(), candidates.end(),
        [this](const LiveDaemon& daemon) { return daemon.failureDomain == failureDomain_; });
    return candidates;
}

void QuotaClient::ask(const CustomerId& id, Account& account, TimePoint now)
{
    for (const LiveDaemon& coordinator : candidatesFor(id, account, now)) {
        account.asked.insert(coordinator.id);
        QuotaRequest request;
        request.number = ++lastNumber_;
        request.customer = id;
        const auto expected = static_cast<std::uint64_t>(account.ratePerSecond * toSeconds(settings_.grantLifetime));
        request.operations = account.waiting.size() + expected;
        request.urgent = static_cast<std::uint64_t>(std::count_if(
            account.waiting.begin(), account.waiting.end(), [](const Waiting& waiting) { return waiting.isUrgent(); }));
        if (account.spareFrom == coordinator.id)
            request.unused = account.spare;
        account.spare = 0;
        account.open = OpenRequest { request.number, coordinator.id, now, request.operations, lastTicket_ };
        openRequests_.emplace(request.number, id);
        if (coordinator.id == self_)
            return onGrant(id, account, local_.onRequest(request, now), now);
        if (network_ && network_->send(coordinator.id, coordinator.peerAddress, request))
            return;
        closeRequest(account);
        setSilent(coordinator.id, now);
    }
    refuseWaiting(account, now);
}

void QuotaClient::onAnswer(const VmId& from, const QuotaAnswer& answer, TimePoint now)
{
    const auto found = openRequests_.find(answer.number);
    if (found == openRequests_.end())
        return;
    const CustomerId id = found->second;
    Account& account = accounts_.at(id);
    if (account.open->coordinator == from)
        onGrant(id, account, answer, now);
}

void QuotaClient::closeRequest(Account& account)
{
    openRequests_.erase(account.open->number);
    account.open.reset();
}

void QuotaClient::onGrant(const CustomerId& id, Account& account, const QuotaAnswer& answer, TimePoint now)
{
    const OpenRequest open = *account.open;
    closeRequest(account);
    const std::uint64_t granted = std::min(answer.granted, open.operations);
    if (granted < open.operations)
        account.retryAfter = std::min(account.retryAfter.value_or(answer.retryAfter), answer.retryAfter);
    // The coordinator counts on the lifetime of its grants: a late answer serves only operations that were waiting when
    // the request was sent, since the grant lies between their arrival and their decision.
    const bool isLate = now - open.sentAt >= settings_.grantLifetime;
    const QuotaTicket last = isLate ? open.lastWaiting : lastTicket_;
    // Operations that arrived since then are no reason to pass over a coordinator that granted all it was asked for.
    if (isLate && granted == open.operations)
        account.asked.erase(open.coordinator);
    const std::uint64_t usedUrgent
        = std::min(countWaiting(account, last, true), std::min(answer.grantedUrgent, granted));
    const std::uint64_t used = std::min(granted - usedUrgent, countWaiting(account, last, false));
    account.spare = isLate ? 0 : granted - usedUrgent - used;
    account.spareFrom = open.coordinator;
    account.spareUntil = open.sentAt + settings_.grantLifetime;
    grantWaiting(account, usedUrgent, last, true, now);
    grantWaiting(account, used, last, false, now);
    if (account.waiting.empty()) {
        account.asked.clear();
        account.retryAfter.reset();
        return;
    }
    if (!account.open)
        ask(id, account, now);
}

std::uint64_t QuotaClient::countWaiting(const Account& account, QuotaTicket last, bool areUrgent)
{
    return static_cast<std::uint64_t>(
        std::count_if(account.waiting.begin(), account.waiting.end(), [last, areUrgent](const Waiting& waiting) {
            return waiting.ticket <= last && waiting.isUrgent() == areUrgent;
        }));
}

void QuotaClient::grantWaiting(Account& account, std::uint64_t granted, QuotaTicket last, bool areUrgent, TimePoint now)
{
    std::vector<QuotaCallback> callbacks;
    for (auto it = account.waiting.begin(); it != account.waiting.end() && callbacks.size() < granted;) {
        if (it->ticket > last || it->isUrgent() != areUrgent) {
            ++it;
            continue;
        }
        callbacks.push_back(std::move(it->callback));
        it = account.waiting.erase(it);
    }
    for (const QuotaCallback& callback : callbacks)
        callback(std::nullopt, now);
}

void QuotaClient::refuseWaiting(Account& account, TimePoint now)
{
    QuotaRefusal refusal;
    refusal.reason = account.retryAfter ? "quota_exceeded" : "quota_unavailable";
    refusal.retryAfter = account.retryAfter.value_or(settings_.silenceTime);
    if (account.retryAfter) {
        account.refusedUntil = now + std::min(settings_.refusalTime, refusal.retryAfter);
        account.returnAt = now + refusal.retryAfter;
    }
    account.asked.clear();
    account.retryAfter.reset();
    std::deque<Waiting> refused;
    refused.swap(account.waiting);
    metrics_.count("almondlever_quota_refusals_total", "reason=\"" + refusal.reason + '"', refused.size());
    for (const Waiting& waiting : refused) {
        logRefusal(waiting.request, refusal, account, now);
        waiting.callback(refusal, now);
    }
}

void QuotaClient::logRefusal(
    const OperationRequest& request, const QuotaRefusal& refusal, const Account& account, TimePoint now)
{
    if (!log_.admits(request.rank, now))
        return;
    const Customer* customer = customers_ ? customers_->find(request.customer) : nullptr;
    log_.write("refuse",
        { { "request", request.statementId }, { "outcome", "not_run" }, { "reason", refusal.reason },
            { "customer", request.customer.text() }, { "rank", std::to_string(request.rank) },
            { "rate_here_per_s", std::to_string(account.ratePerSecond) },
            { "limit_per_s", std::to_string(customer ? customer->limit.operationsPerSecond : 0) },
            { "burst", std::to_string(customer ? customer->limit.burst : 0) },
            { "retry_after_ms", std::to_string(refusal.retryAfter.count()) } });
}

void QuotaClient::setSilent(const VmId& coordinator, TimePoint now)
{
    silentUntil_[coordinator] = now + settings_.silenceTime;
}

void QuotaClient::onLoss(const VmId& peer, TimePoint now)
{
    std::vector<CustomerId> affected;
    for (auto& [id, account] : accounts_) {
        if (account.open && account.open->coordinator == peer)
            affected.push_back(id);
    }
    if (!affected.empty())
        setSilent(peer, now);
    for (const CustomerId& id : affected) {
        Account& account = accounts_[id];
        closeRequest(account);
        if (!account.waiting.empty())
            ask(id, account, now);
    }
}

void QuotaClient::onTick(TimePoint now)
{
    std::set<VmId> silent;
    for (const auto& [id, account] : accounts_) {
        if (account.open && now - account.open->sentAt >= settings_.answerTimeout)
            silent.insert(account.open->coordinator);
    }
    for (const VmId& coordinator : silent) {
        logInfo("quota_coordinator_silent", { { "coordinator", coordinator.text() } });
        onLoss(coordinator, now);
    }
}

} // namespace almondlever
