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
    enter(Phase::Promising, now);
    return raiseMissing();
}

FailoverActions PrimaryChange::onTick(TimePoint now)
{
    if (phase_ == Phase::Promoted || phase_ == Phase::Failed)
        return {};
    if (phase_ == Phase::Promising && promises_.size() >= group_.majority()) {
        FailoverActions actions = choose(now);
        if (!actions.empty())
            return actions;
    }
    const Duration elapsed = now - phaseStart_;
    if (elapsed >= settings_.operationTimeout) {
        fail(phase_ == Phase::Promising ? "no majority promised in time" : "promotion was not answered in time");
        return {};
    }
    // One repetition covers a lost request or answer; both operations may be repeated by the same proposer.
    if (wasRepeated_ || elapsed < settings_.operationTimeout / 2)
        return {};
    wasRepeated_ = true;
    if (phase_ == Phase::Promising)
        return raiseMissing();
    return { PromoteAction { chosen_, term_ } };
}

FailoverActions PrimaryChange::onTermReply(
    const EndpointId& endpoint, Term term, const EndpointResult<EndpointStatus>& reply, TimePoint now)
{
    if (term != term_ || phase_ != Phase::Promising)
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
    wasRepeated_ = false;
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
    const EndpointDescription* picked = best();
    const bool isComplete = promises_.size() + refusals_.size() >= group_.endpoints.size();
    // A late promise may bring an equally advanced server that stays; waiting for it costs less than a second change.
    if (leaving_.count(picked->id) > 0 && !isComplete && now - phaseStart_ < settings_.operationTimeout / 4)
        return {};
    chosen_ = picked->id;
    enter(Phase::Promoting, now);
    std::ostringstream reason;
    reason << "term " << term_ << ", log end " << promises_.at(chosen_) << ", most advanced of " << promises_.size()
           << " promising servers";
    return { LogDecisionAction { group_.id, "choose_primary " + chosen_.text(), reason.str() },
        PromoteAction { chosen_, term_ } };
}

FailoverActions PrimaryChange::raiseMissing() const
{
    FailoverActions actions;
    for (const EndpointDescription& endpoint : group_.endpoints) {
        if (promises_.count(endpoint.id) == 0)
            actions.emplace_back(RaiseTermAction { endpoint.id, term_ });
    }
    return actions;
}

const EndpointDescription* PrimaryChange::best() const
{
    const EndpointDescription* picked = nullptr;
    for (const EndpointDescription& endpoint : group_.endpoints) {
        const auto promise = promises_.find(endpoint.id);
        if (promise == promises_.end())
            continue;
        if (!picked) {
            picked = &endpoint;
            continue;
        }
        const LogPosition pickedEnd = promises_.at(picked->id);
        const bool replacesLeaving = leaving_.count(picked->id) > 0 && leaving_.count(endpoint.id) == 0;
        if (promise->second > pickedEnd || (promise->second == pickedEnd && replacesLeaving))
            picked = &endpoint;
    }
    return picked;
}

} // namespace almondlever
