#include "almondlever/customers/QuotaClient.h"

#include "almondlever/placement/QuotaCoordinators.h"

#include <algorithm>
#include <limits>

namespace almondlever {

namespace {

    /** Time over which the rate of a customer's operations is smoothed, in seconds. */
    constexpr double rateSmoothingSeconds = 1;
    constexpr std::size_t mostUrgentRank = 0;
    /** Interval of the check for held operations that lapse soon. */
    constexpr Milliseconds renewalInterval { 250 };
    /** Part of a refused caller's wait in which further operations are refused unasked, and its bound. */
    constexpr int refusalWaitParts = 4;
    constexpr int longestRefusalTimes = 4;

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

void QuotaClient::setProcess(std::uint64_t process)
{
    process_ = std::max<std::uint64_t>(process, 1);
    random_.seed(process_);
}

void QuotaClient::setCustomers(std::shared_ptr<const CustomerRegistry> customers)
{
    const std::shared_ptr<const CustomerRegistry> former = std::move(customers_);
    customers_ = std::move(customers);
    for (auto& [id, account] : accounts_) {
        const Customer* before = former ? former->find(id) : nullptr;
        const Customer* after = customers_ ? customers_->find(id) : nullptr;
        const bool isSame = before && after && before->limit.operationsPerSecond == after->limit.operationsPerSecond
            && before->limit.burst == after->limit.burst;
        if (isSame)
            continue;
        account.stocks.clear();
        // Nothing that is granted under the former limit may be held.
        if (account.open)
            account.open->held = std::numeric_limits<std::uint64_t>::max();
    }
}

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
    if (takeHeld(account, now)) {
        replenish(id, account, now);
        callback(std::nullopt, now);
        return 0;
    }
    const std::optional<TimePoint>& refusedUntil
        = operation.rank == mostUrgentRank ? account.urgentRefusedUntil : account.refusedUntil;
    if (refusedUntil && now < *refusedUntil) {
        refuseUnasked(operation, account, callback, now);
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

void QuotaClient::refuseUnasked(
    const OperationRequest& operation, const Account& account, const QuotaCallback& callback, TimePoint now)
{
    metrics_.count("almondlever_quota_refusals_total", "reason=\"quota_exceeded\"");
    const Milliseconds wait = std::chrono::ceil<Milliseconds>(account.returnAt - now);
    const QuotaRefusal refusal { "quota_exceeded", spreadWait(wait) };
    logRefusal(operation, refusal, account, now);
    callback(refusal, now);
}

Milliseconds QuotaClient::spreadWait(Milliseconds wait)
{
    if (!settings_.grantsAhead)
        return wait;
    const double longest = static_cast<double>(settings_.maximumRetryAfter.count()) / (1 + settings_.retryJitter);
    std::uniform_real_distribution<double> part(1, 1 + settings_.retryJitter);
    const double spread = std::min(static_cast<double>(wait.count()), longest) * part(random_);
    return Milliseconds(static_cast<Milliseconds::rep>(spread));
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

QuotaRequest QuotaClient::makeRequest(
    const CustomerId& id, const Account& account, const VmId& coordinator, TimePoint now)
{
    QuotaRequest request;
    request.number = ++lastNumber_;
    request.customer = id;
    if (!settings_.grantsAhead)
        return request;
    request.process = process_;
    if (const Customer* customer = customers_ ? customers_->find(id) : nullptr) {
        request.ratePerSecond = RateLimit::toThousandths(customer->limit.operationsPerSecond);
        request.burst = RateLimit::toThousandths(customer->limit.burst);
    }
    const auto stock = account.stocks.find(coordinator);
    if (stock != account.stocks.end() && now < stock->second.until)
        request.held = stock->second.operations;
    const std::uint64_t heldFromOthers = countHeld(account, now) - request.held;
    const std::uint64_t wanted = wantedAhead(account);
    request.ahead = std::max(wanted - std::min(wanted, heldFromOthers), request.held);
    return request;
}

bool QuotaClient::send(
    const CustomerId& id, Account& account, const LiveDaemon& coordinator, const QuotaRequest& request, TimePoint now)
{
    account.open = OpenRequest { request.number, coordinator.id, now, request.operations, request.held, lastTicket_ };
    openRequests_.emplace(request.number, id);
    if (coordinator.id == self_) {
        onGrant(id, account, local_.onRequest(self_, request, now), now);
        return true;
    }
    if (network_ && network_->send(coordinator.id, coordinator.peerAddress, request))
        return true;
    closeRequest(account);
    setSilent(coordinator.id, now);
    return false;
}

void QuotaClient::ask(const CustomerId& id, Account& account, TimePoint now)
{
    for (const LiveDaemon& coordinator : candidatesFor(id, account, now)) {
        account.asked.insert(coordinator.id);
        QuotaRequest request = makeRequest(id, account, coordinator.id, now);
        const bool expectsHeld = settings_.grantsAhead && grantsAhead_.count(coordinator.id) > 0;
        const auto expected
            = expectsHeld ? 0 : static_cast<std::uint64_t>(account.ratePerSecond * toSeconds(settings_.grantLifetime));
        request.operations = account.waiting.size() + expected;
        request.urgent = countWaiting(account, lastTicket_, true);
        if (account.spareFrom == coordinator.id)
            request.unused = account.spare;
        account.spare = 0;
        if (send(id, account, coordinator, request, now))
            return;
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
    if (settings_.grantsAhead) {
        metrics_.count("almondlever_quota_operations_total", "source=\"asked\"", usedUrgent + used);
        applyAhead(id, account, open, answer, now);
        serveFromHeld(account, now);
    }
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
        if (settings_.grantsAhead) {
            const Milliseconds longest = settings_.refusalTime * longestRefusalTimes;
            const Milliseconds forecast = std::min(refusal.retryAfter / refusalWaitParts, longest);
            account.refusedUntil = std::max(*account.refusedUntil, now + forecast);
            if (countWaiting(account, lastTicket_, true) > 0)
                account.urgentRefusedUntil = account.refusedUntil;
        }
    }
    account.asked.clear();
    account.retryAfter.reset();
    std::deque<Waiting> refused;
    refused.swap(account.waiting);
    metrics_.count("almondlever_quota_refusals_total", "reason=\"" + refusal.reason + '"', refused.size());
    const Milliseconds wait = refusal.retryAfter;
    for (const Waiting& waiting : refused) {
        refusal.retryAfter = spreadWait(wait);
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
    if (settings_.grantsAhead && now - renewedAt_ >= renewalInterval) {
        renewedAt_ = now;
        renewHeld(now);
    }
}

} // namespace almondlever
