#include "almondlever/failover/GroupPromotion.h"

#include <algorithm>

namespace almondlever {

namespace {

    bool isSubset(const std::set<EndpointId>& part, const std::set<EndpointId>& whole)
    {
        return std::includes(whole.begin(), whole.end(), part.begin(), part.end());
    }

} // namespace

const char* toText(PromotionReason reason)
{
    switch (reason) {
    case PromotionReason::PrimaryFailed:
        return "primary_failed";
    case PromotionReason::PrimaryStalled:
        return "primary_stalled";
    case PromotionReason::PrimaryLeaving:
        return "primary_leaving";
    case PromotionReason::Recovery:
        break;
    }
    return "recovery";
}

GroupPromotion::GroupPromotion(std::vector<PromotionMember> members, std::size_t synchronousReplicas, Term newestTerm,
    PromotionReason reason, const PromotionSettings& settings)
    : members_(std::move(members))
    , synchronousReplicas_(synchronousReplicas)
    , pauseTerm_(newestTerm + 1)
    , reason_(reason)
    , settings_(settings)
{
}

void GroupPromotion::enter(Phase phase, TimePoint now)
{
    phase_ = phase;
    phaseStart_ = now;
    lastOrder_ = now;
}

const PromotionMember* GroupPromotion::primary() const
{
    const auto found = std::find_if(
        members_.begin(), members_.end(), [](const PromotionMember& member) { return member.isPrimary; });
    return found == members_.end() ? nullptr : &*found;
}

GroupPromotion::Orders GroupPromotion::start(TimePoint now, bool hasRelay)
{
    startedAt_ = now;
    enter(Phase::QueryingStatus, now);
    if (members_.empty())
        return fail("the group has no endpoints", now);
    if (!hasRelay && reason_ != PromotionReason::PrimaryLeaving && reason_ != PromotionReason::PrimaryStalled)
        canStepDown_ = false;
    // Without the log holders no other endpoint can be chosen by count, and the end of the log of a primary that is not
    // known to have led proves nothing: a group whose primary stepped down would have none for good.
    if (!missingHolders_ && !primaryTerm_ && reason_ != PromotionReason::PrimaryLeaving)
        canStepDown_ = false;
    // The primary's status is not queried: a stalled primary answers but acknowledges no writes.
    if (reason_ == PromotionReason::PrimaryStalled && primary() && canStepDown_)
        return beginStepDown(now);
    // The order precedes the pauses: a commit that waits for a paused replica would be acknowledged by its restart.
    if (reason_ == PromotionReason::PrimaryFailed && primary() && canStepDown_)
        return beginStepDown(now);
    if (reason_ == PromotionReason::PrimaryFailed && primary()) {
        // Pause the replicas and query the primary at the same time; an answer of the primary ends the attempt.
        Orders orders = beginFencing(now);
        orders.push_back({ Order::Kind::QueryStatus, primary()->id, 0 });
        return orders;
    }
    return queryAll(now);
}

GroupPromotion::Orders GroupPromotion::queryAll(TimePoint now)
{
    enter(Phase::QueryingStatus, now);
    reportedPositions_.clear();
    unreachable_.clear();
    primaryAnswers_ = false;
    chosen_ = EndpointId();
    Orders orders;
    for (const PromotionMember& member : members_)
        orders.push_back({ Order::Kind::QueryStatus, member.id, 0 });
    return orders;
}

GroupPromotion::Orders GroupPromotion::onStatus(
    const EndpointId& endpoint, Order::Kind kind, const std::optional<EndpointReplicationStatus>& status, TimePoint now)
{
    if (isFinished())
        return {};
    if (phase_ == Phase::Resuming) {
        if (status && kind == Order::Kind::Resume)
            unconfirmedResumes_.erase(endpoint);
        if (status && kind == Order::Kind::Pause && unconfirmedResumes_.count(endpoint) > 0)
            unansweredPauses_.erase(endpoint);
        return onTick(now);
    }
    if (!status) {
        unreachable_.insert(endpoint);
        if (kind == Order::Kind::Pause && confirmedPauses_.count(endpoint) == 0)
            unansweredPauses_.insert(endpoint);
        return onTick(now);
    }
    unreachable_.erase(endpoint);
    if (kind == Order::Kind::Pause) {
        confirmedPauses_.insert(endpoint);
        unansweredPauses_.erase(endpoint);
    }
    const bool isPromoteSent = phase_ == Phase::Promoting || phase_ == Phase::Confirming;
    if (isPromoteSent && kind == Order::Kind::Pause) {
        recordRepeatedPause(endpoint, *status);
        return onTick(now);
    }
    if (phase_ == Phase::AwaitingLastEntries && status->isPrimary)
        return fail("another endpoint leads", now);
    if (phase_ == Phase::Fencing && status->term >= pauseTerm_) {
        // A pause takes effect only in a term above the newest one. This one did not, so positions can still advance.
        if (kind == Order::Kind::Pause)
            pausedPositions_[endpoint] = status->received;
        return fail("a newer term than that of the pause was found", now);
    }
    pauseTerm_ = std::max(pauseTerm_, status->term + 1);
    if (!status->isPrimary && kind == Order::Kind::QueryStatus && isListedPrimary(endpoint))
        return onListedPrimaryIsReplica(endpoint, *status, now);
    if (status->isPrimary && phase_ == Phase::QueryingStatus
        && (!primaryAnswers_ || status->term > answeredPrimaryTerm_)) {
        // The endpoints' own status is newer than the list of members. A former primary that was cut off still answers
        // as the primary of its term.
        answeredPrimaryTerm_ = status->term;
        for (PromotionMember& member : members_)
            member.isPrimary = member.id == endpoint;
        primaryAnswers_ = true;
    }
    if (phase_ == Phase::CatchingUp && primary() && endpoint == primary()->id) {
        if (!status->isPrimary)
            return fail("the primary has lost its lead", now);
        // All others are paused, so commits after this position require the chosen replica.
        if (!handOverPosition_ && areOthersPaused())
            handOverPosition_ = status->received;
    }
    // An old primary that is promoted again leads in a newer term than before its step-down.
    const bool leadsAnew
        = status->isPrimary && !(primary() && endpoint == primary()->id && status->term <= steppedDownTerm_);
    if (phase_ == Phase::Confirming && leadsAnew && endpoint == chosen_) {
        leadingTerm_ = status->term;
        calls_.noteSeenLeading(now);
        // A call of the unfinished change, accepted before the one of this recovery, may still take effect, and so may
        // an unanswered call of this one that was accepted before the endpoint led.
        const bool mustWait = reason_ == PromotionReason::Recovery && now - phaseStart_ < settings_.promotionEffectTime;
        if (!mustWait && calls_.areEffective(settings_.promotionEffectTime, now)) {
            calls_.noteLeading();
            return resumeOthers(now);
        }
    }
    if (phase_ == Phase::Confirming && !leadsAnew && endpoint == chosen_) {
        leadingTerm_ = 0;
        calls_.noteNotLeading();
    }
    if (phase_ == Phase::Fencing && replacesFailedPrimary() && status->isPrimary) {
        if (kind == Order::Kind::Pause)
            pausedPositions_[endpoint] = status->received;
        return fail("the primary answers", now);
    }
    if (kind == Order::Kind::Pause)
        pausedPositions_[endpoint] = status->received;
    else if (kind == Order::Kind::QueryStatus)
        reportedPositions_[endpoint] = status->received;
    return onTick(now);
}

GroupPromotion::Orders GroupPromotion::onTick(TimePoint now)
{
    const Duration elapsed = now - phaseStart_;
    switch (phase_) {
    case Phase::QueryingStatus: {
        const bool hasAllAnswers = reportedPositions_.size() + unreachable_.size() >= members_.size();
        if (!hasAllAnswers && elapsed < settings_.answerTimeout)
            return {};
        if (replacesFailedPrimary() && primaryAnswers_)
            return fail("another endpoint leads", now);
        if (calls_.isUnanswered() && !(primaryAnswers_ && calls_.mayCall(primary()->id)))
            return leaveToRecovery("the called endpoint does not lead");
        if (reason_ == PromotionReason::Recovery && primaryAnswers_ && answeredPrimaryTerm_ + 1 < pauseTerm_) {
            // Another endpoint has led since; the answering one is compared like any other.
            for (PromotionMember& member : members_)
                member.isPrimary = false;
            primaryAnswers_ = false;
            return beginFencing(now);
        }
        if (reason_ == PromotionReason::Recovery && primaryAnswers_) {
            // Promoting the current primary with a newer fencing token makes the platform refuse older calls.
            chosen_ = primary()->id;
            return promote(now);
        }
        // Only an endpoint that answers as the primary can be named to the platform without making it one.
        const bool isPlanned = reason_ == PromotionReason::PrimaryLeaving && primaryAnswers_;
        if (isPlanned && !isProbeAccepted_)
            return probePlatform(now);
        return beginFencing(now);
    }
    case Phase::Fencing:
        return tryChooseReplica(now);
    case Phase::CatchingUp:
        return awaitCatchUp(now);
    case Phase::ProbingPlatform:
        if (isProbeAccepted_)
            return elapsed >= settings_.promotionEffectTime ? queryAll(now) : Orders {};
        if (elapsed < settings_.platformProbeTimeout)
            return {};
        needsRecovery_ = true;
        return fail("the platform did not answer", now);
    case Phase::SteppingDown:
        if (elapsed >= settings_.stepDownTimeout)
            return onStepDownFailed(StepDownResult::Unreachable, now);
        return {};
    case Phase::AwaitingLastEntries:
        return awaitLastEntries(now);
    case Phase::Promoting:
        if (calls_.isPending() || now - lastOrder_ < settings_.promoteRetryInterval)
            return ordersToRepeatPauses(now);
        if (elapsed > settings_.confirmTimeout)
            return leaveToRecovery("the platform did not answer");
        return repeatCall(now);
    case Phase::Confirming:
        if (elapsed > confirmLimit())
            return leaveToRecovery("the chosen endpoint does not lead");
        {
            Orders orders = ordersToRepeatPauses(now);
            if (now - lastOrder_ >= settings_.statusInterval) {
                lastOrder_ = now;
                orders.push_back({ Order::Kind::QueryStatus, chosen_, 0 });
            }
            return orders;
        }
    case Phase::Resuming:
        if (unconfirmedResumes_.empty()) {
            phase_ = Phase::Finished;
            return {};
        }
        if (elapsed > settings_.unansweredResumeTime && isSubset(unconfirmedResumes_, unansweredPauses_)) {
            phase_ = Phase::Finished;
            return {};
        }
        if (elapsed > settings_.resumeTimeout) {
            needsRecovery_ = true;
            phase_ = Phase::Finished;
            return {};
        }
        if (now - lastOrder_ < settings_.resumeRetryInterval)
            return {};
        lastOrder_ = now;
        return ordersToResume();
    case Phase::Finished:
        break;
    }
    return {};
}

GroupPromotion::Orders GroupPromotion::beginFencing(TimePoint now)
{
    enter(Phase::Fencing, now);
    comparedSince_ = now;
    unreachable_.clear();
    pausedPositions_.clear();
    const bool isPlanned = reason_ == PromotionReason::PrimaryLeaving && primaryAnswers_;
    if (isPlanned) {
        const PromotionMember* target = mostAdvanced(reportedPositions_);
        if (!target)
            return fail("no staying replica answers", now);
        chosen_ = target->id;
    }
    Orders orders;
    for (const PromotionMember& member : members_) {
        if (member.isPrimary || member.id == chosen_)
            continue;
        orders.push_back({ Order::Kind::Pause, member.id, pauseTerm_ });
        if (confirmedPauses_.count(member.id) == 0)
            unansweredPauses_.insert(member.id);
    }
    if (orders.empty())
        return tryChooseReplica(now);
    return orders;
}

/** The replica with the highest position; among equals one that is not leaving, then the first in the list. */
const PromotionMember* GroupPromotion::mostAdvanced(const std::map<EndpointId, LogPosition>& positions) const
{
    const PromotionMember* best = nullptr;
    for (const PromotionMember& member : members_) {
        const auto position = positions.find(member.id);
        if (member.isPrimary || position == positions.end())
            continue;
        const bool isPlanned = reason_ == PromotionReason::PrimaryLeaving;
        if ((isPlanned && member.isLeaving) || refused_.count(member.id) > 0)
            continue;
        if (!best) {
            best = &member;
            continue;
        }
        const LogPosition& other = positions.at(best->id);
        if (position->second > other || (position->second == other && best->isLeaving && !member.isLeaving))
            best = &member;
    }
    return best;
}

std::size_t GroupPromotion::countUnreachableReplicas() const
{
    return unreachable_.size() - (primary() ? unreachable_.count(primary()->id) : 0);
}

GroupPromotion::Orders GroupPromotion::tryChooseReplica(TimePoint now)
{
    const Duration elapsed = now - phaseStart_;
    const std::size_t replicas = members_.size() - (primary() ? 1 : 0);
    if (!chosen_.isEmpty()) {
        // Planned change: a replica that is not paused could help acknowledge a commit that the chosen one lacks.
        if (areOthersPaused())
            return awaitCatchUp(now);
        if (elapsed > settings_.fenceTimeout || pausedPositions_.size() + countUnreachableReplicas() + 1 >= replicas)
            return fail("a replica that must be paused does not answer", now);
        return {};
    }
    const bool hasAll = pausedPositions_.size() + countUnreachableReplicas() >= replicas;
    const bool hasEnough = hasEnoughLogs(pausedPositions_);
    if (hasEnough && (hasAll || elapsed >= settings_.answerTimeout)) {
        const PromotionMember* best = mostAdvanced(pausedPositions_);
        if (!best)
            return fail("no replica can be promoted", now);
        if (pausedPositions_.at(best->id) < acknowledgedPosition_)
            return fail("no replica that answers holds every acknowledged commit", now);
        chosen_ = best->id;
        isChosenByCount_ = true;
        return promote(now);
    }
    lacksLogs_ = !missingHolders_ || elapsed > settings_.fenceTimeout || hasAll;
    if (!missingHolders_)
        return fail("the endpoints that may hold acknowledged commits are not known", now);
    if (elapsed > settings_.fenceTimeout || (hasAll && !hasEnough))
        return fail("too few replicas answer to know every acknowledged commit", now);
    return {};
}

GroupPromotion::Orders GroupPromotion::awaitCatchUp(TimePoint now)
{
    // Replicas unknown to this daemon may have acknowledged commits, so the primary's own position is decisive.
    Orders questions { { Order::Kind::QueryStatus, primary()->id, 0 }, { Order::Kind::QueryStatus, chosen_, 0 } };
    if (phase_ != Phase::CatchingUp) {
        enter(Phase::CatchingUp, now);
        return questions;
    }
    LogPosition needed = acknowledgedPosition_;
    for (const auto& [id, position] : pausedPositions_)
        needed = std::max(needed, position);
    if (handOverPosition_ && reportedPositions_[chosen_] >= std::max(needed, *handOverPosition_)) {
        if (canStepDown_)
            return beginStepDown(now);
        // An endpoint without an entry is not paused and may still help the primary to acknowledge commits.
        const bool areAllKnown = missingHolders_ && missingHolders_->empty();
        return areAllKnown ? promote(now) : fail("a log holder that must be paused is not listed", now);
    }
    if (now - phaseStart_ > settings_.catchUpTimeout)
        return fail("the chosen replica lacks acknowledged commits", now);
    if (now - lastOrder_ < settings_.statusInterval)
        return {};
    lastOrder_ = now;
    return questions;
}

bool GroupPromotion::areOthersPaused() const
{
    const std::size_t replicas = members_.size() - (primary() ? 1 : 0);
    return pausedPositions_.size() + 1 >= replicas;
}

GroupPromotion::Orders GroupPromotion::beginStepDown(TimePoint now)
{
    enter(Phase::SteppingDown, now);
    lastStepDown_ = now;
    return { { Order::Kind::StepDown, primary()->id, pauseTerm_ } };
}

GroupPromotion::Orders GroupPromotion::onStepDown(const StepDownReport& report, TimePoint now)
{
    if (isFinished() || phase_ == Phase::Resuming || steppedDownPosition_)
        return {};
    if (report.result != StepDownResult::Answered)
        return phase_ == Phase::SteppingDown ? onStepDownFailed(report.result, now) : Orders {};
    const EndpointReplicationStatus& status = report.status;
    pauseTerm_ = std::max(pauseTerm_, status.term + 1);
    if (status.isPrimary) {
        // The order takes effect only in a term above that of the primary.
        if (phase_ != Phase::SteppingDown || now - phaseStart_ >= settings_.stepDownTimeout)
            return {};
        return { { Order::Kind::StepDown, primary()->id, pauseTerm_ } };
    }
    const bool isKnownToHaveLed = primaryAnswers_ || (primaryTerm_ && *primaryTerm_ == status.term);
    if (!isKnownToHaveLed && phase_ != Phase::Promoting && phase_ != Phase::Confirming)
        return onOutdatedRole(now);
    if (isKnownToHaveLed) {
        steppedDownPosition_ = status.received;
        steppedDownTerm_ = status.term;
    }
    if (phase_ == Phase::Promoting || phase_ == Phase::Confirming) {
        // Its log may contain commits that nobody acknowledged, so that a longer one proves no loss.
        return onTick(now);
    }
    enter(Phase::AwaitingLastEntries, now);
    chosen_ = EndpointId();
    reportedPositions_.clear();
    unreachable_.clear();
    return queryReplicas(now);
}

bool GroupPromotion::isListedPrimary(const EndpointId& endpoint) const
{
    return primary() && primary()->id == endpoint && (phase_ == Phase::QueryingStatus || phase_ == Phase::Fencing);
}

GroupPromotion::Orders GroupPromotion::onListedPrimaryIsReplica(
    const EndpointId& endpoint, const EndpointReplicationStatus& status, TimePoint now)
{
    for (PromotionMember& member : members_)
        member.isPrimary = false;
    reportedPositions_[endpoint] = status.received;
    Orders orders;
    if (phase_ == Phase::Fencing) {
        unansweredPauses_.insert(endpoint);
        orders.push_back({ Order::Kind::Pause, endpoint, pauseTerm_ });
    }
    const Orders due = onTick(now);
    orders.insert(orders.end(), due.begin(), due.end());
    return orders;
}

GroupPromotion::Orders GroupPromotion::onOutdatedRole(TimePoint now)
{
    // Another endpoint may have led since and is not listed. The former primary's log counts like any other.
    canStepDown_ = false;
    for (PromotionMember& member : members_)
        member.isPrimary = false;
    chosen_ = EndpointId();
    return beginFencing(now);
}

GroupPromotion::Orders GroupPromotion::onStepDownFailed(StepDownResult result, TimePoint now)
{
    canStepDown_ = false;
    if (reason_ == PromotionReason::PrimaryLeaving) {
        if (result == StepDownResult::NotSupported) {
            // The pauses are in place; the daemons hold new statements back, so that the positions are compared anew.
            handOverPosition_.reset();
            return awaitCatchUp(now);
        }
        // It answered a moment ago and is gone, or may have stepped down.
        reason_ = PromotionReason::PrimaryFailed;
        primaryAnswers_ = false;
        chosen_ = EndpointId();
    }
    return beginFencing(now);
}

GroupPromotion::Orders GroupPromotion::queryReplicas(TimePoint now)
{
    lastOrder_ = now;
    Orders orders;
    for (const PromotionMember& member : members_) {
        if (!member.isPrimary)
            orders.push_back({ Order::Kind::QueryStatus, member.id, 0 });
    }
    return orders;
}

GroupPromotion::Orders GroupPromotion::awaitLastEntries(TimePoint now)
{
    const Duration elapsed = now - phaseStart_;
    const std::size_t replicas = members_.size() - (primary() ? 1 : 0);
    const bool hasAll = reportedPositions_.size() + countUnreachableReplicas() >= replicas;
    const PromotionMember* best = mostAdvanced(reportedPositions_);
    const LogPosition needed = std::max(*steppedDownPosition_, acknowledgedPosition_);
    if (best && reportedPositions_.at(best->id) >= needed && (hasAll || elapsed >= settings_.statusInterval)) {
        chosen_ = best->id;
        return promote(now);
    }
    if (elapsed >= settings_.lastEntriesTimeout) {
        // A stalled primary's last commits reached no replica. No further one is acknowledged, so that enough logs
        // include one with every acknowledged commit.
        const bool isLongest = best
            && std::all_of(reportedPositions_.begin(), reportedPositions_.end(),
                [&](const auto& other) { return other.second <= reportedPositions_.at(best->id); });
        const bool isComplete = isLongest && hasEnoughLogs(reportedPositions_)
            && reportedPositions_.at(best->id) >= acknowledgedPosition_;
        if (reason_ != PromotionReason::PrimaryStalled || !isComplete)
            return returnToOldPrimary(now);
        chosen_ = best->id;
        return promote(now);
    }
    if (now - lastOrder_ < settings_.statusInterval)
        return {};
    return queryReplicas(now);
}

GroupPromotion::Orders GroupPromotion::ordersToRepeatPauses(TimePoint now)
{
    if (now - lastPause_ < settings_.pauseRepeatInterval)
        return {};
    lastPause_ = now;
    Orders orders;
    if (steppedDownPosition_ || (primary() && chosen_ == primary()->id))
        return orders;
    for (const PromotionMember& member : members_) {
        if (!member.isPrimary && member.id != chosen_)
            orders.push_back({ Order::Kind::Pause, member.id, pauseTerm_ });
    }
    // The primary may return while the promotion takes effect.
    if (primary() && replacesFailedPrimary() && now - lastStepDown_ >= settings_.stepDownRepeatInterval) {
        lastStepDown_ = now;
        orders.push_back({ Order::Kind::StepDown, primary()->id, pauseTerm_ });
    }
    return orders;
}

void GroupPromotion::recordRepeatedPause(const EndpointId& endpoint, const EndpointReplicationStatus& status)
{
    // The chosen replica is already the primary, and this replica follows it.
    if (status.isPrimary || status.term >= pauseTerm_)
        return;
    LogPosition& known = pausedPositions_[endpoint];
    if (status.received <= known)
        return;
    known = status.received;
    wasPauseBroken_ = wasPauseBroken_ || (!confirmsPrimary() && chosenPosition() < known);
}

GroupPromotion::Orders GroupPromotion::resumeOthers(TimePoint now)
{
    enter(Phase::Resuming, now);
    areCallsResolved_ = true;
    for (const PromotionMember& member : members_) {
        const bool mayBePaused = reason_ == PromotionReason::Recovery || confirmedPauses_.count(member.id) > 0
            || unansweredPauses_.count(member.id) > 0;
        // A primary was not paused, or it failed and does not answer.
        if (member.id != chosen_ && !member.isPrimary && mayBePaused)
            unconfirmedResumes_.insert(member.id);
    }
    if (unconfirmedResumes_.empty())
        phase_ = Phase::Finished;
    return ordersToResume();
}

GroupPromotion::Orders GroupPromotion::ordersToResume() const
{
    Orders orders;
    for (const EndpointId& endpoint : unconfirmedResumes_)
        orders.push_back({ Order::Kind::Resume, endpoint, 0 });
    return orders;
}

LogPosition GroupPromotion::chosenPosition() const
{
    const auto paused = pausedPositions_.find(chosen_);
    if (paused != pausedPositions_.end())
        return paused->second;
    const auto asked = reportedPositions_.find(chosen_);
    return asked == reportedPositions_.end() ? LogPosition() : asked->second;
}

} // namespace almondlever
