#include "almondlever/failover/GroupPromotion.h"

namespace almondlever {

GroupPromotion::Orders GroupPromotion::promote(TimePoint now)
{
    if (!calls_.mayCall(chosen_))
        return leaveToRecovery("an earlier call for another endpoint may still take effect");
    enter(Phase::Promoting, now);
    calls_.noteSent(chosen_);
    lastPause_ = now;
    return { { Order::Kind::Promote, chosen_, 0 } };
}

GroupPromotion::Orders GroupPromotion::repeatCall(TimePoint now)
{
    // Another endpoint may have led since, through a call of an unfinished change that was carried out late.
    if (confirmsPrimary())
        return now - startedAt_ > settings_.confirmTimeout ? leaveToRecovery("the platform did not answer")
                                                           : queryAll(now);
    if (isChosenByCount_ && (wasPauseBroken_ || !isChoiceComplete()))
        return leaveToRecovery("a compared replica received commits or started again");
    calls_.noteSent(chosen_);
    return { { Order::Kind::Promote, chosen_, 0 } };
}

GroupPromotion::Orders GroupPromotion::onChoiceOutdated(const std::string& reason, TimePoint now)
{
    calls_.noteNotSent();
    return fail(reason, now);
}

GroupPromotion::Orders GroupPromotion::compareAgain(TimePoint now)
{
    calls_.noteNotSent();
    chosen_ = EndpointId();
    isChosenByCount_ = false;
    wasPauseBroken_ = false;
    return beginFencing(now);
}

GroupPromotion::Orders GroupPromotion::onPromotionResult(PromotionResult answer, TimePoint now)
{
    if (phase_ == Phase::ProbingPlatform) {
        if (answer == PromotionResult::Accepted) {
            enter(Phase::ProbingPlatform, now);
            isProbeAccepted_ = true;
            return {};
        }
        // The old primary is not running.
        if (answer == PromotionResult::Refused && reason_ == PromotionReason::Recovery)
            return beginFencing(now);
        needsRecovery_ = answer == PromotionResult::Unknown;
        return fail("the platform does not accept promotions", now);
    }
    if (phase_ != Phase::Promoting)
        return {};
    calls_.noteAnswer(answer);
    if (answer == PromotionResult::Accepted) {
        enter(Phase::Confirming, now);
        return { { Order::Kind::QueryStatus, chosen_, 0 } };
    }
    if (answer == PromotionResult::Refused && steppedDownPosition_ && !calls_.isUnanswered())
        return chooseAnother(now);
    if (answer == PromotionResult::Refused) {
        // Replicas stay paused until a recovery resumes them: a call with a newer fencing token may be in progress.
        return leaveToRecovery("the platform refused the promotion");
    }
    lastOrder_ = now;
    return {};
}

GroupPromotion::Orders GroupPromotion::probePlatform(TimePoint now)
{
    enter(Phase::ProbingPlatform, now);
    return { { Order::Kind::Promote, primary()->id, 0 } };
}

GroupPromotion::Orders GroupPromotion::chooseAnother(TimePoint now)
{
    refused_.insert(chosen_);
    const bool wasOldPrimary = primary() && chosen_ == primary()->id;
    chosen_ = EndpointId();
    if (wasOldPrimary)
        return leaveToRecovery("the platform refused the promotion");
    enter(Phase::AwaitingLastEntries, now);
    return queryReplicas(now);
}

GroupPromotion::Orders GroupPromotion::returnToOldPrimary(TimePoint now)
{
    if (!primary())
        return leaveToRecovery("the old primary has started again without its log");
    failure_ = "no replica holds everything that the old primary holds";
    chosen_ = primary()->id;
    return promote(now);
}

Duration GroupPromotion::confirmLimit() const
{
    // The group has no primary, or its replicas may be paused: a recovery that tries another endpoint is sooner done.
    if (!steppedDownPosition_ && !confirmsPrimary())
        return settings_.confirmTimeout;
    return settings_.promotionEffectTime * (unreachable_.count(chosen_) > 0 ? 1 : 2);
}

GroupPromotion::Orders GroupPromotion::fail(const std::string& reason, TimePoint now)
{
    // A call of this attempt, or of the unfinished change that it recovers, may still take effect, and its endpoint may
    // lack commits that a resumed replica helps to acknowledge. Replicas stay paused until a call with a newer fencing
    // token was accepted.
    if (reason_ == PromotionReason::Recovery || calls_.mayTakeEffect())
        return leaveToRecovery(reason);
    failure_ = reason;
    chosen_ = EndpointId();
    return resumeOthers(now);
}

GroupPromotion::Orders GroupPromotion::leaveToRecovery(const std::string& reason)
{
    needsRecovery_ = true;
    failure_ = reason;
    phase_ = Phase::Finished;
    return {};
}

} // namespace almondlever
