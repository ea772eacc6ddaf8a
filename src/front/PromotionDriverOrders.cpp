#include "PromotionChange.h"
#include "PromotionLog.h"
#include "almondlever/observability/DecisionLog.h"

#include <algorithm>

namespace almondlever {

using promotionLog::listOf;
using promotionLog::millisecondsOf;
using promotionLog::toText;

void PromotionDriver::executeOrders(const GroupId& group, const GroupPromotion::Orders& orders, TimePoint now)
{
    // Another daemon may hold the claim by now; onTick() abandons the change.
    const auto found = changes_.find(group);
    if (found == changes_.end() || !found->second->claim.isHeld(now))
        return;
    // An order that completes at once may end the change.
    const std::uint64_t fence = found->second->claim.fence();
    for (const GroupPromotion::Order& order : orders) {
        if (!isCurrentChange(group, fence))
            return;
        if (order.kind == GroupPromotion::Order::Kind::Promote)
            promote(group, order.endpoint, now);
        else if (order.kind == GroupPromotion::Order::Kind::StepDown)
            orderStepDown(group, order);
        else
            sendOrder(group, order, fence);
    }
    closeHoldIfResolved(group, now);
    finishIfDone(group, now);
}

void PromotionDriver::closeHoldIfResolved(const GroupId& group, TimePoint now)
{
    const auto found = changes_.find(group);
    if (found == changes_.end() || !found->second->promotion || !found->second->promotion->areCallsResolved())
        return;
    Change& change = *found->second;
    if (change.isHoldClosed)
        return;
    noteLeader(group, *change.promotion, now);
    closeHold(group, change, now);
}

void PromotionDriver::noteLeader(const GroupId&, const GroupPromotion& promotion, TimePoint now)
{
    if (promotion.leadingTerm() == 0)
        return;
    directory_.noteLeading(promotion.chosen(), promotion.leadingTerm());
    dispatcher_.onDirectoryChange(now);
}

void PromotionDriver::sendOrder(const GroupId& group, const GroupPromotion::Order& order, std::uint64_t fence)
{
    EndpointCommand command;
    command.term = order.term;
    switch (order.kind) {
    case GroupPromotion::Order::Kind::Pause:
        command.kind = EndpointCommand::Kind::PauseReplication;
        break;
    case GroupPromotion::Order::Kind::Resume:
        command.kind = EndpointCommand::Kind::ResumeReplication;
        break;
    default:
        command.kind = EndpointCommand::Kind::QueryStatus;
        break;
    }
    const TimePoint orderedAt = timers_.now();
    dispatcher_.sendReplicationCommand(
        order.endpoint, command,
        [this, group, order, fence, orderedAt, alive = std::weak_ptr<int>(alive_)](
            const std::optional<EndpointReplicationStatus>& status, const std::string& detail, TimePoint at) {
            logInfo("promotion_order",
                { { "group", group.text() }, { "endpoint", order.endpoint.text() }, { "order", toText(order.kind) },
                    { "outcome", status ? "ok" : "failed" }, { "detail", detail },
                    { "is_primary", status && status->isPrimary ? "yes" : "no" },
                    { "term", status ? std::to_string(status->term) : "" },
                    { "received", status ? std::to_string(status->received.index) : "" },
                    { "received_term", status ? std::to_string(status->received.term) : "" },
                    { "fence", std::to_string(fence) }, { "pause_term", std::to_string(order.term) },
                    { "ms", millisecondsOf(at - orderedAt) } });
            if (alive.expired())
                return;
            if (status)
                directory_.noteTerm(group, status->term);
            const auto change = changes_.find(group);
            if (change == changes_.end() || !change->second->promotion)
                return;
            // A replica that an earlier change paused may have been resumed since.
            if (change->second->claim.fence() != fence)
                return logOutdatedOrder(group, order.endpoint, fence);
            GroupPromotion& promotion = *change->second->promotion;
            // The answer is of the comparison before, when not every daemon held writes back.
            if (order.kind == GroupPromotion::Order::Kind::Pause && orderedAt < promotion.comparedSince())
                return logOutdatedOrder(group, order.endpoint, fence);
            promotion.noteAcknowledged(dispatcher_.acknowledgedPositionOf(group, at));
            const bool wasLeading = promotion.leadingTerm() != 0;
            const bool wasPauseBroken = promotion.wasPauseBroken();
            const GroupPromotion::Orders next = promotion.onStatus(order.endpoint, order.kind, status, at);
            if (!wasPauseBroken && status && promotion.wasPauseBroken())
                logWarning("promotion_pause_broken",
                    { { "group", group.text() }, { "endpoint", order.endpoint.text() },
                        { "fence", std::to_string(fence) }, { "received_term", std::to_string(status->received.term) },
                        { "received", std::to_string(status->received.index) },
                        { "chosen", promotion.chosen().text() } });
            if (!wasLeading && status && promotion.leadingTerm() != 0)
                logInfo("promotion_leading",
                    { { "group", group.text() }, { "endpoint", order.endpoint.text() },
                        { "fence", std::to_string(change->second->claim.fence()) },
                        { "term", std::to_string(status->term) },
                        { "position_term", std::to_string(status->received.term) },
                        { "position_index", std::to_string(status->received.index) },
                        { "ms", millisecondsOf(at - change->second->calledAt) } });
            executeOrders(group, next, at);
        },
        orderedAt,
        [this, group, fence, alive = std::weak_ptr<int>(alive_)](TimePoint at) {
            // An order that waits for a connection must not reach a replica that the next change has paused.
            return !alive.expired() && isCurrentChange(group, fence) && changes_.at(group)->claim.isHeld(at);
        });
}

bool PromotionDriver::isCurrentChange(const GroupId& group, std::uint64_t fence) const
{
    const auto found = changes_.find(group);
    return found != changes_.end() && found->second->claim.fence() == fence;
}

void PromotionDriver::logOutdatedOrder(const GroupId& group, const EndpointId& endpoint, std::uint64_t fence)
{
    logInfo("promotion_order_outdated",
        { { "group", group.text() }, { "endpoint", endpoint.text() }, { "fence", std::to_string(fence) } });
}

void PromotionDriver::orderStepDown(const GroupId& group, const GroupPromotion::Order& order)
{
    Change& change = *changes_.at(group);
    const TimePoint now = timers_.now();
    const bool isRelayed = stepDownRelay_ && stepDownRelay_->hasPeers(group);
    change.awaitedStepDowns.clear();
    change.isStepDownNotSupported = false;
    // A primary that does not answer this daemon is not waited for.
    if (change.reason == PromotionReason::PrimaryLeaving || change.reason == PromotionReason::PrimaryStalled)
        change.awaitedStepDowns.insert("direct");
    if (isRelayed)
        change.awaitedStepDowns.insert("relayed");
    const auto report = [this, group, order, orderedAt = now, fence = change.claim.fence(),
                            alive = std::weak_ptr<int>(alive_)](
                            const std::string& source, const StepDownReport& result, TimePoint at) {
        if (alive.expired())
            return;
        const auto running = changes_.find(group);
        if (running != changes_.end() && running->second->claim.fence() == fence)
            return onStepDownReport(group, order, source, result, orderedAt, at);
        // In a later change, the position of that endpoint may be another one.
        logInfo("promotion_order_outdated",
            { { "group", group.text() }, { "endpoint", order.endpoint.text() }, { "fence", std::to_string(fence) } });
    };
    if (isRelayed) {
        // A planned change needs no hold: what the primary acknowledged before it stepped down is in its final log.
        change.isHoldRequested = change.claim.holdsWrites();
        stepDownRelay_->request(
            group, order.endpoint, order.term, change.isHoldRequested ? change.claim.fence() : 0,
            [report](const StepDownReport& result, TimePoint at) { report("relayed", result, at); }, now);
    }
    dispatcher_.stepDown(
        group, order.endpoint, order.term,
        [report](const StepDownReport& result, TimePoint at) { report("direct", result, at); }, now);
}

void PromotionDriver::onStepDownReport(const GroupId& group, const GroupPromotion::Order& order,
    const std::string& source, const StepDownReport& report, TimePoint orderedAt, TimePoint now)
{
    const auto found = changes_.find(group);
    logInfo("promotion_order",
        { { "group", group.text() }, { "endpoint", order.endpoint.text() }, { "order", "step_down" },
            { "source", source }, { "outcome", toText(report.result) },
            { "is_primary", report.status.isPrimary ? "yes" : "no" }, { "term", std::to_string(report.status.term) },
            { "received", std::to_string(report.status.received.index) },
            { "received_term", std::to_string(report.status.received.term) },
            { "fence", found == changes_.end() ? "" : std::to_string(found->second->claim.fence()) },
            { "pause_term", std::to_string(order.term) }, { "ms", millisecondsOf(now - orderedAt) } });
    if (found == changes_.end() || !found->second->promotion)
        return;
    Change& change = *found->second;
    const bool wasAwaited = change.awaitedStepDowns.erase(source) > 0;
    StepDownReport outcome = report;
    if (report.result == StepDownResult::Answered) {
        directory_.noteTerm(group, report.status.term);
    } else {
        change.isStepDownNotSupported = change.isStepDownNotSupported || report.result == StepDownResult::NotSupported;
        if (!wasAwaited || !change.awaitedStepDowns.empty())
            return;
        if (change.isStepDownNotSupported)
            outcome.result = StepDownResult::NotSupported;
    }
    change.promotion->noteAcknowledged(dispatcher_.acknowledgedPositionOf(group, now));
    // The relayed report comes with the last answer that a daemon holds writes back.
    updateHold(group, change, now);
    executeOrders(group, change.promotion->onStepDown(outcome, now), now);
}

void PromotionDriver::promote(const GroupId& group, const EndpointId& endpoint, TimePoint now)
{
    const auto found = changes_.find(group);
    if (found == changes_.end())
        return;
    Change& change = *found->second;
    const bool isPrimaryKept = change.promotion->isListedAsPrimary(endpoint);
    const bool mustHold
        = change.claim.holdsWrites() ? !isPrimaryKept : change.promotion->mayOldPrimaryAcknowledge(endpoint);
    if (!mustHold)
        return callPlatform(group, endpoint, now);
    const std::uint64_t fence = change.claim.fence();
    beginHold(group, change, now);
    updateHold(group, change, now);
    if (!change.heldSince) {
        timers_.callAfter(
            holdCheckInterval, [this, group, endpoint, fence, alive = std::weak_ptr<int>(alive_)](TimePoint at) {
                if (!alive.expired() && isCurrentChange(group, fence) && changes_.at(group)->promotion)
                    promote(group, endpoint, at);
            });
        return;
    }
    if (change.promotion->isChosenByCount() && change.promotion->comparedSince() < *change.heldSince)
        return executeOrders(group, change.promotion->compareAgain(now), now);
    if (!refreshMembers_)
        return onChoiceVerified(group, endpoint, true, now);
    refreshMembers_([this, group, endpoint, fence, alive = std::weak_ptr<int>(alive_)](bool isFresh) {
        if (!alive.expired() && isCurrentChange(group, fence))
            onChoiceVerified(group, endpoint, isFresh, timers_.now());
    });
}

void PromotionDriver::requestHold(const GroupId& group, TimePoint now)
{
    Change& change = *changes_.at(group);
    holds_.request(group, change.claim.fence(), now);
    if (!stepDownRelay_ || change.isHoldRequested)
        return;
    change.isHoldRequested = true;
    // Names no primary: the one that is listed may lead rightly.
    stepDownRelay_->request(
        group, EndpointId(), 0, change.claim.fence(), [](const StepDownReport&, TimePoint) {}, now);
}

void PromotionDriver::beginHold(const GroupId& group, Change& change, TimePoint now)
{
    if (!change.claim.holdsWrites()) {
        // A planned change goes on without the primary's consent: daemons that the relay does not reach must see it.
        change.claim.holdWrites();
        change.claimedAt = now;
    }
    requestHold(group, now);
}

void PromotionDriver::updateHold(const GroupId& group, Change& change, TimePoint now)
{
    if (change.heldSince || !change.claim.holdsWrites() || !change.claim.isHoldWritten())
        return;
    const bool isOverdue = now - change.claimedAt >= settings_.holdTimeout;
    if (isOverdue || !stepDownRelay_ || stepDownRelay_->areAllHolding(group, change.claim.fence()))
        change.heldSince = now;
}

void PromotionDriver::onChoiceVerified(const GroupId& group, const EndpointId& endpoint, bool isFresh, TimePoint now)
{
    const std::uint64_t fence = changes_.at(group)->claim.fence();
    executeOrders(group, changes_.at(group)->promotion->onMembers(membersOf(group)), now);
    if (!isCurrentChange(group, fence))
        return;
    Change& change = *changes_.at(group);
    // The only other copy of a commit may be on an endpoint that is not listed yet.
    LogPosition acknowledged = dispatcher_.acknowledgedToCallers(group);
    if (stepDownRelay_)
        acknowledged = std::max(acknowledged, stepDownRelay_->acknowledgedPosition(group, fence));
    change.promotion->noteAcknowledged(acknowledged);
    // The only unpaused replica of a primary that cannot step down receives what that one still acknowledges.
    const bool mayBeBehind
        = !change.promotion->isChosenByCount() && change.promotion->mayOldPrimaryAcknowledge(endpoint);
    const bool isComplete = !change.promotion->isChosenByCount() || change.promotion->isChoiceComplete();
    if (!isFresh || !isComplete) {
        const std::string reason = isFresh ? "the members have changed" : "the members could not be read";
        return executeOrders(group, change.promotion->onChoiceOutdated(reason, now), now);
    }
    if (change.promotion->chosenPosition() < acknowledged && !mayBeBehind)
        return executeOrders(
            group, change.promotion->onChoiceOutdated("the chosen log lacks an acknowledged commit", now), now);
    callPlatform(group, endpoint, now);
    finishIfDone(group, now);
}

void PromotionDriver::callPlatform(const GroupId& group, const EndpointId& endpoint, TimePoint now)
{
    Change& change = *changes_.at(group);
    const auto report = [this, group, endpoint, calledAt = now, fence = change.claim.fence(),
                            alive = std::weak_ptr<int>(alive_)](PromotionResult answer, const std::string& detail) {
        if (alive.expired())
            return;
        const TimePoint at = timers_.now();
        logInfo("promotion_answer",
            { { "group", group.text() }, { "endpoint", endpoint.text() },
                { "outcome",
                    answer == PromotionResult::Accepted      ? "accepted"
                        : answer == PromotionResult::Refused ? "refused"
                                                             : "unknown" },
                { "detail", detail }, { "fence", std::to_string(fence) }, { "ms", millisecondsOf(at - calledAt) } });
        // The answer to a call of an earlier change says nothing of the one that is running.
        if (isCurrentChange(group, fence) && changes_.at(group)->promotion)
            executeOrders(group, changes_.at(group)->promotion->onPromotionResult(answer, at), at);
    };
    if (!change.claim.isHeld(now)) {
        timers_.callAfter(
            Duration(0), [report](TimePoint) { report(PromotionResult::Refused, "the claim has ended"); });
        return;
    }
    const GroupPromotion& promotion = *change.promotion;
    const LogPosition position = promotion.chosenPosition();
    const LogPosition& acknowledged = promotion.acknowledgedPosition();
    logInfo("promotion_ordered",
        { { "group", group.text() }, { "endpoint", endpoint.text() }, { "fence", std::to_string(change.claim.fence()) },
            { "position_term", std::to_string(position.term) }, { "position_index", std::to_string(position.index) },
            { "reason", toText(change.reason) }, { "required", std::to_string(promotion.requiredLogs()) },
            { "paused_positions", listOf(promotion.pausedPositions()) },
            { "reported_positions", listOf(promotion.reportedPositions()) },
            { "unreachable", listOf(promotion.unreachable()) },
            { "acknowledged_term", std::to_string(acknowledged.term) },
            { "acknowledged_index", std::to_string(acknowledged.index) } });
    change.calledAt = now;
    service_.promote(group, endpoint, settings_.holder, change.claim.fence(), report);
}

void PromotionDriver::finishIfDone(const GroupId& group, TimePoint now)
{
    const auto found = changes_.find(group);
    if (found == changes_.end() || !found->second->promotion || !found->second->promotion->isFinished())
        return;
    // Removed first: the calls below may complete other orders of this change, whose callbacks re-enter this function.
    const std::shared_ptr<Change> ended = std::move(found->second);
    changes_.erase(found);
    const GroupPromotion& promotion = *ended->promotion;
    logInfo("promotion_ended",
        { { "group", group.text() }, { "outcome", promotion.hasSucceeded() ? "ok" : "failed" },
            { "detail", promotion.failure() }, { "endpoint", promotion.chosen().text() },
            { "pause", promotion.wasPauseBroken() ? "broken" : "kept" },
            { "stepped_down_at",
                promotion.steppedDownPosition() ? std::to_string(promotion.steppedDownPosition()->index) : "" },
            { "ms", millisecondsOf(now - ended->startedAt) }, { "fence", std::to_string(ended->claim.fence()) },
            { "reason", toText(ended->reason) }, { "leading_term", std::to_string(promotion.leadingTerm()) },
            { "needs_recovery", promotion.needsRecovery() ? "yes" : "no" },
            { "calls", promotion.areCallsResolved() ? "resolved" : "open" },
            { "unconfirmed_resumes", listOf(promotion.unconfirmedResumes()) } });
    if (promotion.leadingTerm() != 0)
        ended->recordedLeader = { promotion.chosen(), promotion.leadingTerm() };
    ended->claim.release(!promotion.needsRecovery(), ended->recordedLeader);
    GroupState& state = groupStates_[group];
    state.isChangeOpen = promotion.needsRecovery();
    state.isOwnChangeOpen = state.isChangeOpen;
    const bool isPrimaryKept = !ended->claim.holdsWrites() && promotion.hasCalledOnlyPrimary();
    if (promotion.areCallsResolved() || isPrimaryKept)
        closeHold(group, *ended, now);
    state.reasonSince.reset();
    state.notBefore = now + (promotion.hasSucceeded() ? settings_.retryPause * 2 : settings_.retryPause);
    if (ended->reason == PromotionReason::Recovery && promotion.hasSucceeded())
        notePausedElsewhere(group, state, promotion);
    if (promotion.lacksLogs())
        noteMissingLogs(group, promotion, now);
    else if (promotion.hasSucceeded())
        clearMissingLogs(group, state);
    // The change must not be destroyed in a callback of its own members, nor before the store has its release.
    releasing_.push_back(ended);
    dispatcher_.endHold(group, now);
    noteLeader(group, promotion, now);
}

void PromotionDriver::notePausedElsewhere(
    const GroupId& group, GroupState& state, const GroupPromotion& promotion) const
{
    for (const EndpointEntry* entry : directory_.endpointsOf(group))
        state.pausedElsewhere.erase(entry->id);
    for (const LogHolder& holder : promotion.missingHolders())
        state.pausedElsewhere.insert(holder.id);
}

} // namespace almondlever
