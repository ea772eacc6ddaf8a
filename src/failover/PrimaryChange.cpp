#include "PrimaryChange.h"

#include <algorithm>
#include <sstream>

namespace almondlever {

PrimaryChange::PrimaryChange(
    const DatabaseDescription& group, std::set<EndpointId> leaving, Term term, const FailoverSettings& settings)
    : group_(group)
    , settings_(settings)
    , leaving_(std::move(leaving))
    , term_(term)
{
}

FailoverActions PrimaryChange::start(TimePoint now)
{
    enter(Phase::CollectingPromises, now);
    return requestMissingPromises();
}

FailoverActions PrimaryChange::onTick(TimePoint now)
{
    if (phase_ == Phase::Promoted || phase_ == Phase::Failed)
        return {};
    if (phase_ == Phase::CollectingPromises && promises_.size() >= group_.majority()) {
        FailoverActions actions = choose(now);
        if (!actions.empty())
            return actions;
    }
    const Duration elapsed = now - phaseStart_;
    if (elapsed >= settings_.operationTimeout) {
        fail(phase_ == Phase::CollectingPromises ? "no majority promised in time"
                                                 : "promotion was not answered in time");
        return {};
    }
    // Retry once in case a request or reply was lost; both operations are idempotent for the same proposer.
    if (wasRetried_ || elapsed < settings_.operationTimeout / 2)
        return {};
    wasRetried_ = true;
    if (phase_ == Phase::CollectingPromises)
        return requestMissingPromises();
    return { PromoteAction { chosen_, term_ } };
}

FailoverActions PrimaryChange::onTermReply(
    const EndpointId& endpoint, Term term, const EndpointResult<EndpointStatus>& reply, TimePoint now)
{
    if (term != term_ || phase_ != Phase::CollectingPromises)
        return {};
    if (!reply) {
        if (reply.error().code == EndpointErrorCode::TermRefused)
            onRefusal(endpoint, reply.error().term);
        return {};
    }
    if (reply.value().promisedTerm != term_) {
        onRefusal(endpoint, reply.value().promisedTerm);
        return {};
    }
    promises_.emplace(endpoint, reply.value().logEnd);
    if (promises_.size() < group_.majority())
        return {};
    return choose(now);
}

FailoverActions PrimaryChange::onPromoteReply(
    const EndpointId& endpoint, Term term, const EndpointResult<EndpointStatus>& reply, TimePoint)
{
    if (term != term_ || phase_ != Phase::Promoting || endpoint != chosen_)
        return {};
    if (reply) {
        const EndpointStatus& status = reply.value();
        if (status.promisedTerm == term_ && status.role == EndpointRole::Primary) {
            phase_ = Phase::Promoted;
            return {};
        }
        laterTerm_ = std::max(laterTerm_, status.promisedTerm);
        fail("the chosen server did not become primary");
        return {};
    }
    const EndpointError& error = reply.error();
    if (error.code != EndpointErrorCode::TermRefused && error.code != EndpointErrorCode::NotPrimary)
        return {};
    laterTerm_ = std::max(laterTerm_, error.term);
    fail("the chosen server refused the promotion");
    return {};
}

void PrimaryChange::enter(Phase phase, TimePoint now)
{
    phase_ = phase;
    phaseStart_ = now;
    wasRetried_ = false;
}

void PrimaryChange::fail(const std::string& reason)
{
    phase_ = Phase::Failed;
    failure_ = reason;
}

void PrimaryChange::onRefusal(const EndpointId& endpoint, Term promised)
{
    laterTerm_ = std::max(laterTerm_, promised);
    refusals_.insert(endpoint);
    if (group_.endpoints.size() - refusals_.size() < group_.majority())
        fail("a majority promised another proposer");
}

FailoverActions PrimaryChange::choose(TimePoint now)
{
    const EndpointDescription* candidate = mostAdvanced();
    const bool isComplete = promises_.size() + refusals_.size() >= group_.endpoints.size();
    // An equally advanced server that is not leaving may still promise; waiting is cheaper than a second change.
    if (leaving_.count(candidate->id) > 0 && !isComplete && now - phaseStart_ < settings_.operationTimeout / 4)
        return {};
    chosen_ = candidate->id;
    enter(Phase::Promoting, now);
    std::ostringstream reason;
    reason << "term " << term_ << ", log end " << promises_.at(chosen_) << ", most advanced of " << promises_.size()
           << " promising servers";
    return { LogDecisionAction { group_.id, "choose_primary " + chosen_.text(), reason.str() },
        PromoteAction { chosen_, term_ } };
}

FailoverActions PrimaryChange::requestMissingPromises() const
{
    FailoverActions actions;
    for (const EndpointDescription& endpoint : group_.endpoints) {
        if (promises_.count(endpoint.id) == 0)
            actions.emplace_back(RaiseTermAction { endpoint.id, term_ });
    }
    return actions;
}

const EndpointDescription* PrimaryChange::mostAdvanced() const
{
    const EndpointDescription* candidate = nullptr;
    for (const EndpointDescription& endpoint : group_.endpoints) {
        const auto promise = promises_.find(endpoint.id);
        if (promise == promises_.end())
            continue;
        if (!candidate) {
            candidate = &endpoint;
            continue;
        }
        const LogPosition candidateEnd = promises_.at(candidate->id);
        const bool replacesLeaving = leaving_.count(candidate->id) > 0 && leaving_.count(endpoint.id) == 0;
        if (promise->second > candidateEnd || (promise->second == candidateEnd && replacesLeaving))
            candidate = &endpoint;
    }
    return candidate;
}

} // namespace almondlever
