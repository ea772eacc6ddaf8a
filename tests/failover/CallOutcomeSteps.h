#pragma once

#include "PromotionSteps.h"

/** Promotions whose call is unanswered, and checks of what they order until their outcome is known. */
namespace almondlever::promotionSteps {

/** b is chosen by count with position 12 and c is paused at 8; the platform has not answered the call at 60 ms. */
inline GroupPromotion makeUnansweredPromotion(PromotionReason reason = PromotionReason::PrimaryFailed)
{
    auto promotion = makePromotion(reason);
    promotion.start(start);
    if (reason == PromotionReason::Recovery) {
        promotion.onStatus(a, Kind::QueryStatus, std::nullopt, at(5));
        promotion.onStatus(b, Kind::QueryStatus, replica(12), at(10));
        promotion.onStatus(c, Kind::QueryStatus, replica(8), at(15));
    }
    promotion.onStatus(b, Kind::Pause, replica(12), at(20));
    cr_assert(has(promotion.onStatus(c, Kind::Pause, replica(8), at(40)), Kind::Promote, b));
    cr_assert(promotion.onPromotionResult(PromotionResult::Unknown, at(60)).empty());
    return promotion;
}

/** All orders of the ticks from one time to another, in milliseconds; calls get no answer. */
inline GroupPromotion::Orders ordersUntil(GroupPromotion& promotion, int from, int until)
{
    constexpr int tickInterval = 25;
    GroupPromotion::Orders orders;
    for (int time = from; time <= until && !promotion.isFinished(); time += tickInterval) {
        const GroupPromotion::Orders due = promotion.onTick(at(time));
        orders.insert(orders.end(), due.begin(), due.end());
        if (hasAny(due, Kind::Promote))
            promotion.onPromotionResult(PromotionResult::Unknown, at(time));
    }
    return orders;
}

/** Later than every timeout of an attempt. */
constexpr int afterAllTimeouts = 12000;

/** Expects an attempt that resumes nobody from the given time on, and that ends for a recovery to follow. */
inline void expectLeftOpen(GroupPromotion& promotion, const GroupPromotion::Orders& orders, int from)
{
    cr_expect(!hasAny(orders, Kind::Resume), "the call may still be carried out");
    cr_expect(!hasAny(ordersUntil(promotion, from, from + afterAllTimeouts), Kind::Resume));
    cr_expect(promotion.isFinished());
    cr_expect(promotion.needsRecovery(), "only a call with a newer fencing token makes this one void");
}

} // namespace almondlever::promotionSteps
