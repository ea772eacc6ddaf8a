#pragma once

#include "almondlever/failover/GroupPromotion.h"

#include <algorithm>
#include <criterion/criterion.h>

/** Endpoints, answers and checks of the tests of GroupPromotion. */
namespace almondlever::promotionSteps {

using Kind = GroupPromotion::Order::Kind;

inline const EndpointId a("a");
inline const EndpointId b("b");
inline const EndpointId c("c");
inline const EndpointId d("d");
inline const TimePoint start { std::chrono::hours(1) };

inline TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

/** The primary is known to have led in term 3. */
inline GroupPromotion makePromotion(PromotionReason reason,
    std::vector<PromotionMember> members = { { a, true, false }, { b, false, false }, { c, false, false } })
{
    GroupPromotion promotion(std::move(members), 1, 3, reason, PromotionSettings());
    promotion.notePrimaryTerm(3);
    return promotion;
}

inline EndpointReplicationStatus replica(std::uint64_t index, Term term = 3) { return { false, term, { 3, index } }; }
inline EndpointReplicationStatus primary(std::uint64_t index, Term term = 3) { return { true, term, { 3, index } }; }

inline bool has(const GroupPromotion::Orders& orders, Kind kind, const EndpointId& endpoint)
{
    return std::any_of(orders.begin(), orders.end(),
        [&](const GroupPromotion::Order& order) { return order.kind == kind && order.endpoint == endpoint; });
}

inline bool hasAny(const GroupPromotion::Orders& orders, Kind kind)
{
    return std::any_of(
        orders.begin(), orders.end(), [kind](const GroupPromotion::Order& order) { return order.kind == kind; });
}

inline StepDownReport answered(const EndpointReplicationStatus& status) { return { StepDownResult::Answered, status }; }

/** Brings a hand-over of `a` to the end of the probe of the platform; the queries that follow it are sent at 0 ms. */
inline void probe(GroupPromotion& promotion)
{
    constexpr int started = -2000;
    promotion.start(at(started));
    promotion.onStatus(a, Kind::QueryStatus, primary(1), at(started));
    const auto call = promotion.onTick(at(started + 300));
    cr_assert(has(call, Kind::Promote, a), "the present primary, which changes nothing");
    promotion.onPromotionResult(PromotionResult::Accepted, at(-1500));
    cr_assert(promotion.onTick(at(-100)).empty(), "the call would make the primary lead again after the step");
    cr_assert(hasAny(promotion.onTick(start), Kind::QueryStatus));
}

} // namespace almondlever::promotionSteps
