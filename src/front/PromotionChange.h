#pragma once

#include "almondlever/front/PromotionDriver.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace almondlever {

/** A primary change that this daemon attempts. */
struct PromotionDriver::Change {
    Change(MetadataStore& store, TimerService& timers, const GroupId& group, const std::string& holder)
        : claim(store, timers, group, holder)
    {
    }

    PromotionClaim claim;
    PromotionReason reason = PromotionReason::PrimaryFailed;
    std::unique_ptr<GroupPromotion> promotion;
    TimePoint startedAt;
    /** Reads under the claim that have not ended. */
    std::size_t pendingReads = 0;
    /** First failure of those reads; empty if there was none. */
    std::string readFailure;
    std::optional<LogHolders> logHolders;
    /** An earlier change was unfinished when the record was read, before the claim opened it anew. */
    bool wasOpen = false;
    /** The leader after the last finished change, if its record names one. */
    std::optional<RecordedLeader> recordedLeader;
    TimePoint claimedAt;
    /** The other daemons were asked to hold writes back. */
    bool isHoldRequested = false;
    /** Time since which every daemon holds writes back, or has been given the time to. */
    std::optional<TimePoint> heldSince;
    bool isHoldClosed = false;
    /** Time of the latest promote call. */
    TimePoint calledAt;
    /** The claim is held, and the other owners have been asked again about the primary. */
    bool awaitsConfirmation = false;
    /** Sources whose report on the order to step down is missing, of those that are waited for. */
    std::set<std::string> awaitedStepDowns;
    bool isStepDownNotSupported = false;
};

} // namespace almondlever
