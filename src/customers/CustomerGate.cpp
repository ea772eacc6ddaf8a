#include "almondlever/customers/CustomerGate.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Time that a caller is told to wait while the configuration cannot be confirmed; other daemons may serve it. */
    constexpr Milliseconds unconfirmedRetryAfter { 500 };

} // namespace

CustomerGate::CustomerGate(Milliseconds withdrawalLimit, QuotaClient& quota, DecisionLog& log, Metrics& metrics)
    : withdrawalLimit_(withdrawalLimit)
    , quota_(quota)
    , log_(log)
    , metrics_(metrics)
{
}

void CustomerGate::setCustomers(std::shared_ptr<const CustomerRegistry> customers)
{
    customers_ = std::move(customers);
    quota_.setCustomers(customers_);
}

void CustomerGate::confirm(TimePoint provenAt) { provenAt_ = std::max(provenAt_.value_or(provenAt), provenAt); }

bool CustomerGate::isConfirmed(TimePoint now) const
{
    if (!customers_ || withdrawalLimit_ == Milliseconds(0))
        return true;
    return provenAt_ && now - *provenAt_ <= withdrawalLimit_;
}

KeyDecision CustomerGate::checkKey(const KeyDigest& key, TimePoint now) const
{
    KeyDecision decision;
    if (!customers_)
        return decision;
    const Customer* customer = customers_->findByKey(key);
    if (!customer) {
        metrics_.count("almondlever_key_refusals_total", "reason=\"unknown_key\"");
        decision.outcome = KeyDecision::Outcome::UnknownKey;
    } else if (!isConfirmed(now)) {
        metrics_.count("almondlever_key_refusals_total", "reason=\"unconfirmed\"");
        decision.outcome = KeyDecision::Outcome::Unconfirmed;
        decision.retryAfter = unconfirmedRetryAfter;
        decision.endsSession = readinessLead_ > Milliseconds(0);
    } else {
        decision.customer = customer->id;
    }
    return decision;
}

void CustomerGate::logKeyRefusal(
    const std::string& statementId, const KeyDecision& decision, std::size_t rank, TimePoint now)
{
    if (!log_.admits(rank, now))
        return;
    const bool isUnknown = decision.outcome == KeyDecision::Outcome::UnknownKey;
    const std::string age
        = provenAt_ ? std::to_string(std::chrono::duration_cast<Milliseconds>(now - *provenAt_).count()) : "none";
    log_.write("refuse",
        { { "request", statementId }, { "outcome", "not_run" }, { "reason", isUnknown ? "unknown_key" : "unconfirmed" },
            { "customer", decision.customer.text() }, { "proof_age_ms", age },
            { "limit_ms", std::to_string(withdrawalLimit_.count()) }, { "rank", std::to_string(rank) } });
}

QuotaTicket CustomerGate::requestOperation(const OperationRequest& request, QuotaCallback callback, TimePoint now)
{
    if (!request.customer.isEmpty())
        return quota_.request(request, std::move(callback), now);
    callback(std::nullopt, now);
    return 0;
}

} // namespace almondlever
