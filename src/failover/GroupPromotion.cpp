#include "almondlever/failover/GroupPromotion.h"

#include <algorithm>

namespace almondlever {

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

std::size_t GroupPromotion::neededAnswers() const
{
    const std::size_t replicas = members_.size() - (primary() ? 1 : 0);
    const std::size_t copies = std::max<std::size_t>(synchronousReplicas_, 1);
    const std::size_t needed = members_.size() > copies ? members_.size() - copies : 1;
    // Without synchronous replicas no number of answers is safe; all replicas are the best there is.
    return std::clamp<std::size_t>(needed, 1, std::max<std::size_t>(replicas, 1));
}

GroupPromotion::Orders GroupPromotion::start(TimePoint now)
{
    enter(Phase::Asking, now);
    if (members_.empty())
        return fail("the group has no endpoints", now);
    // What the primary says is no reason to stop; only its writes count.
    if (reason_ == PromotionReason::PrimaryStalled && primary())
        return beginFencing(now);
    if (reason_ == PromotionReason::PrimaryFailed && primary()) {
        // Replicas are paused while the primary is asked; an answer of the primary ends the attempt.
        Orders orders = beginFencing(now);
        orders.push_back({ Order::Kind::QueryStatus, primary()->id, 0 });
        return orders;
    }
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
            resuming_.erase(endpoint);
        return onTick(now);
    }
    if (!status) {
        unreachable_.insert(endpoint);
        return onTick(now);
    }
    unreachable_.erase(endpoint);
    const bool isCalled = phase_ == Phase::Promoting || phase_ == Phase::Confirming;
    if (isCalled && kind == Order::Kind::Pause) {
        notePausedAnew(endpoint, *status);
        return onTick(now);
    }
    if (phase_ == Phase::Fencing && status->term >= pauseTerm_) {
        // A pause must be in a term above the newest one; this one holds nothing back, so positions can still change.
        if (kind == Order::Kind::Pause)
            paused_[endpoint] = status->received;
        return fail("a newer term than that of the pause was found", now);
    }
    pauseTerm_ = std::max(pauseTerm_, status->term + 1);
    if (status->isPrimary && phase_ == Phase::Asking) {
        // What the endpoints say of themselves is newer than the list of members.
        for (PromotionMember& member : members_)
            member.isPrimary = member.id == endpoint;
        primaryAnswers_ = true;
    }
    if (phase_ == Phase::CatchingUp && primary() && endpoint == primary()->id) {
        if (!status->isPrimary)
            return fail("the primary has lost its lead", now);
        // Commits after the first answer need the chosen one, since the others are paused.
        if (!handOverPosition_)
            handOverPosition_ = status->received;
    }
    if (phase_ == Phase::Confirming && status->isPrimary && endpoint == chosen_)
        return resumeOthers(now);
    if (phase_ == Phase::Fencing && replacesFailedPrimary() && status->isPrimary) {
        if (kind == Order::Kind::Pause)
            paused_[endpoint] = status->received;
        return fail("the primary answers", now);
    }
    if (kind == Order::Kind::Pause)
        paused_[endpoint] = status->received;
    else if (kind == Order::Kind::QueryStatus)
        asked_[endpoint] = status->received;
    return onTick(now);
}

GroupPromotion::Orders GroupPromotion::onTick(TimePoint now)
{
    const Duration elapsed = now - phaseStart_;
    switch (phase_) {
    case Phase::Asking: {
        const bool hasAllAnswers = asked_.size() + unreachable_.size() >= members_.size();
        if (!hasAllAnswers && elapsed < settings_.answerPatience)
            return {};
        if (replacesFailedPrimary() && primaryAnswers_)
            return fail("another endpoint leads", now);
        if (reason_ == PromotionReason::Recovery && primaryAnswers_) {
            // Naming the present primary under a newer fence makes the platform refuse older calls.
            chosen_ = primary()->id;
            return promote(now);
        }
        return beginFencing(now);
    }
    case Phase::Fencing:
        return tryChoose(now);
    case Phase::CatchingUp:
        return chooseTarget(now);
    case Phase::Promoting:
        if (isPromoting_ || now - lastOrder_ < settings_.repeatInterval)
            return ordersToPauseAnew(now);
        if (elapsed > settings_.leadPatience) {
            needsRecovery_ = true;
            failure_ = "the platform did not answer";
            phase_ = Phase::Finished;
            return {};
        }
        isPromoting_ = true;
        return { { Order::Kind::Promote, chosen_, 0 } };
    case Phase::Confirming:
        if (elapsed > settings_.leadPatience) {
            needsRecovery_ = true;
            failure_ = "the chosen endpoint does not lead";
            phase_ = Phase::Finished;
            return {};
        }
        {
            Orders orders = ordersToPauseAnew(now);
            if (now - lastOrder_ >= settings_.statusInterval) {
                lastOrder_ = now;
                orders.push_back({ Order::Kind::QueryStatus, chosen_, 0 });
            }
            return orders;
        }
    case Phase::Resuming:
        if (resuming_.empty()) {
            phase_ = Phase::Finished;
            return {};
        }
        if (elapsed > settings_.resumePatience) {
            needsRecovery_ = true;
            phase_ = Phase::Finished;
            return {};
        }
        if (now - lastOrder_ < settings_.resumeInterval)
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
    unreachable_.clear();
    const bool isPlanned = reason_ == PromotionReason::PrimaryLeaving && primaryAnswers_;
    if (isPlanned) {
        const PromotionMember* target = mostAdvanced(asked_);
        if (!target)
            return fail("no staying replica answers", now);
        chosen_ = target->id;
    }
    Orders orders;
    for (const PromotionMember& member : members_) {
        if (!member.isPrimary && member.id != chosen_)
            orders.push_back({ Order::Kind::Pause, member.id, pauseTerm_ });
    }
    if (orders.empty())
        return tryChoose(now);
    return orders;
}

/** The member with the highest position; a staying one, then the lower id, among equals. Never a primary. */
const PromotionMember* GroupPromotion::mostAdvanced(const std::map<EndpointId, LogPosition>& positions) const
{
    const PromotionMember* best = nullptr;
    for (const PromotionMember& member : members_) {
        const auto position = positions.find(member.id);
        if (member.isPrimary || position == positions.end())
            continue;
        const bool isPlanned = reason_ == PromotionReason::PrimaryLeaving;
        if (isPlanned && member.isLeaving)
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

GroupPromotion::Orders GroupPromotion::tryChoose(TimePoint now)
{
    const Duration elapsed = now - phaseStart_;
    const std::size_t replicas = members_.size() - (primary() ? 1 : 0);
    if (!chosen_.isEmpty()) {
        // Planned: every other replica must be paused, else a commit could be acknowledged without the chosen one.
        if (paused_.size() + 1 >= replicas)
            return chooseTarget(now);
        if (elapsed > settings_.fencePatience || paused_.size() + unreachable_.size() + 1 >= replicas)
            return fail("a replica that must be paused does not answer", now);
        return {};
    }
    const bool hasAll = paused_.size() + unreachable_.size() >= replicas;
    const bool hasEnough = paused_.size() >= neededAnswers();
    if (hasEnough && (hasAll || elapsed >= settings_.answerPatience)) {
        const PromotionMember* best = mostAdvanced(paused_);
        if (!best)
            return fail("no replica can be promoted", now);
        if (paused_.at(best->id) < acknowledged_)
            return fail("no replica that answers holds every acknowledged commit", now);
        chosen_ = best->id;
        return promote(now);
    }
    if (elapsed > settings_.fencePatience || (hasAll && !hasEnough))
        return fail("too few replicas answer to know every acknowledged commit", now);
    return {};
}

GroupPromotion::Orders GroupPromotion::chooseTarget(TimePoint now)
{
    // Endpoints that this daemon does not know yet may have acknowledged commits, so the primary's own position counts.
    Orders questions { { Order::Kind::QueryStatus, primary()->id, 0 }, { Order::Kind::QueryStatus, chosen_, 0 } };
    if (phase_ != Phase::CatchingUp) {
        enter(Phase::CatchingUp, now);
        return questions;
    }
    LogPosition needed = acknowledged_;
    for (const auto& [id, position] : paused_)
        needed = std::max(needed, position);
    if (handOverPosition_ && asked_[chosen_] >= std::max(needed, *handOverPosition_))
        return promote(now);
    if (now - phaseStart_ > settings_.catchUpPatience)
        return fail("the chosen replica lacks acknowledged commits", now);
    if (now - lastOrder_ < settings_.statusInterval)
        return {};
    lastOrder_ = now;
    return questions;
}

GroupPromotion::Orders GroupPromotion::promote(TimePoint now)
{
    enter(Phase::Promoting, now);
    isPromoting_ = true;
    lastPause_ = now;
    return { { Order::Kind::Promote, chosen_, 0 } };
}

GroupPromotion::Orders GroupPromotion::ordersToPauseAnew(TimePoint now)
{
    if (now - lastPause_ < settings_.pauseInterval)
        return {};
    lastPause_ = now;
    Orders orders;
    for (const auto& [endpoint, position] : paused_) {
        if (endpoint != chosen_)
            orders.push_back({ Order::Kind::Pause, endpoint, pauseTerm_ });
    }
    return orders;
}

void GroupPromotion::notePausedAnew(const EndpointId& endpoint, const EndpointReplicationStatus& status)
{
    // The chosen one leads by then, and the replica follows it.
    if (status.isPrimary || status.term >= pauseTerm_)
        return;
    LogPosition& known = paused_[endpoint];
    if (status.received <= known)
        return;
    known = status.received;
    wasPauseBroken_ = wasPauseBroken_ || chosenPosition() < known;
}

GroupPromotion::Orders GroupPromotion::onPromotionAnswer(PromotionAnswer answer, TimePoint now)
{
    if (phase_ != Phase::Promoting)
        return {};
    isPromoting_ = false;
    if (answer == PromotionAnswer::Accepted) {
        enter(Phase::Confirming, now);
        return { { Order::Kind::QueryStatus, chosen_, 0 } };
    }
    if (answer == PromotionAnswer::Refused) {
        // Replicas stay paused: a call under a newer fence may be under way, and a recovery resumes them.
        needsRecovery_ = true;
        failure_ = "the platform refused the promotion";
        phase_ = Phase::Finished;
        return {};
    }
    lastOrder_ = now;
    return {};
}

GroupPromotion::Orders GroupPromotion::fail(const std::string& reason, TimePoint now)
{
    failure_ = reason;
    chosen_ = EndpointId();
    if (reason_ != PromotionReason::Recovery)
        return resumeOthers(now);
    // The call of the unfinished change may still be carried out. What it promotes may lack what a resumed replica
    // helps to acknowledge, so replicas stay paused until a call under a newer fence was accepted.
    needsRecovery_ = true;
    phase_ = Phase::Finished;
    return {};
}

GroupPromotion::Orders GroupPromotion::resumeOthers(TimePoint now)
{
    enter(Phase::Resuming, now);
    for (const PromotionMember& member : members_) {
        const bool mayBePaused = reason_ == PromotionReason::Recovery || paused_.count(member.id) > 0;
        // An endpoint that leads is not paused, and a primary that failed answers nothing.
        if (member.id != chosen_ && !member.isPrimary && mayBePaused)
            resuming_.insert(member.id);
    }
    if (resuming_.empty())
        phase_ = Phase::Finished;
    return ordersToResume();
}

GroupPromotion::Orders GroupPromotion::ordersToResume() const
{
    Orders orders;
    for (const EndpointId& endpoint : resuming_)
        orders.push_back({ Order::Kind::Resume, endpoint, 0 });
    return orders;
}

LogPosition GroupPromotion::chosenPosition() const
{
    const auto paused = paused_.find(chosen_);
    if (paused != paused_.end())
        return paused->second;
    const auto asked = asked_.find(chosen_);
    return asked == asked_.end() ? LogPosition() : asked->second;
}

} // namespace almondlever
