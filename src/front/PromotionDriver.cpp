#include "almondlever/front/PromotionDriver.h"

#include "almondlever/observability/DecisionLog.h"

#include <algorithm>
#include <xxhash.h>

namespace almondlever {

namespace {

    /**
     * Time after which a call that the platform accepted for an earlier change has taken effect: the longest promotion
     * of the deployments takes a second. Resuming replicas before it could let a commit be acknowledged that the
     * endpoint which is about to lead never receives.
     */
    constexpr Milliseconds settleTime { 1500 };

    const char* toText(GroupPromotion::Order::Kind kind)
    {
        switch (kind) {
        case GroupPromotion::Order::Kind::QueryStatus:
            return "query_status";
        case GroupPromotion::Order::Kind::Pause:
            return "pause";
        case GroupPromotion::Order::Kind::Resume:
            return "resume";
        case GroupPromotion::Order::Kind::Promote:
            break;
        }
        return "promote";
    }

} // namespace

/** A change that this daemon tries to make. */
struct PromotionDriver::Change {
    Change(MetadataStore& store, TimerService& timers, const GroupId& group, const std::string& holder)
        : claim(store, timers, group, holder)
    {
    }

    PromotionClaim claim;
    PromotionReason reason = PromotionReason::PrimaryFailed;
    std::unique_ptr<GroupPromotion> promotion;
    TimePoint startedAt;
    /** The claim is held, and the opinion of other owners is awaited once more. */
    bool isJudged = false;
};

PromotionDriver::PromotionDriver(EndpointDirectory& directory, StatementDispatcher& dispatcher, MetadataStore& store,
    PromotionService& service, TimerService& timers, const PromotionDriverSettings& settings)
    : directory_(directory)
    , dispatcher_(dispatcher)
    , store_(store)
    , service_(service)
    , timers_(timers)
    , settings_(settings)
{
}

PromotionDriver::~PromotionDriver() = default;

void PromotionDriver::onClaim(const GroupId& group, bool isHeld, TimePoint now)
{
    Watch& watch = watches_[group];
    if (watch.isClaimed && !isHeld)
        watch.notBefore = now;
    watch.isClaimed = isHeld;
}

void PromotionDriver::onChangeRecord(const GroupId& group, bool isOpen, TimePoint) { watches_[group].isOpen = isOpen; }

void PromotionDriver::onStoreEra(std::uint64_t era, TimePoint now)
{
    for (auto& [group, watch] : watches_) {
        watch.isClaimed = false;
        watch.notBefore = std::max(watch.notBefore, now + settleTime);
    }
    // Groups without news of a claim so far are not known yet.
    for (const auto& [group, rule] : groups_)
        watches_[group].notBefore = std::max(watches_[group].notBefore, now + settleTime);
    // onTick() gives up the changes whose claims have ended.
    for (auto& [group, change] : changes_)
        change->claim.noteEra(era);
}

std::optional<PromotionReason> PromotionDriver::reasonFor(const GroupId& group, const Watch& watch, TimePoint now) const
{
    // An unfinished change comes first: its call may still be carried out.
    if (watch.isOpen)
        return PromotionReason::Recovery;
    if (dispatcher_.primaryFailingSince(group, now))
        return PromotionReason::PrimaryFailed;
    if (dispatcher_.writesStalledSince(group, now))
        return PromotionReason::PrimaryStalled;
    const EndpointEntry* primary = directory_.primaryOf(group);
    if (!primary || !primary->isLeaving)
        return std::nullopt;
    const std::vector<const EndpointEntry*> endpoints = directory_.endpointsOf(group);
    const bool hasStaying
        = std::any_of(endpoints.begin(), endpoints.end(), [](const EndpointEntry* entry) { return !entry->isLeaving; });
    return hasStaying ? std::optional<PromotionReason>(PromotionReason::PrimaryLeaving) : std::nullopt;
}

Duration PromotionDriver::orderDelay(const GroupId& group) const
{
    // Daemons with a lower hash of their own name and the group's come first.
    const auto hash = [&group](const std::string& member) {
        const std::string text = member + ' ' + group.text();
        return XXH3_64bits(text.data(), text.size());
    };
    const auto owners = owners_.find(group);
    if (owners == owners_.end())
        return Duration(0);
    const auto own = hash(settings_.holder);
    const auto earlier = std::count_if(
        owners->second.begin(), owners->second.end(), [&](const std::string& member) { return hash(member) < own; });
    return settings_.orderDelay * earlier;
}

bool PromotionDriver::isOwner(const GroupId& group) const
{
    const auto owners = owners_.find(group);
    return owners != owners_.end() && owners->second.count(settings_.holder) > 0;
}

void PromotionDriver::onTick(TimePoint now)
{
    for (const auto& [group, rule] : groups_) {
        if (!isOwner(group) && changes_.count(group) == 0)
            continue;
        const auto running = changes_.find(group);
        if (running != changes_.end()) {
            Change& change = *running->second;
            if (!change.promotion) {
                if (change.isJudged)
                    judgeAgain(group, now);
                continue;
            }
            if (change.claim.isHeld(now)) {
                change.promotion->noteAcknowledged(dispatcher_.acknowledgedPositionOf(group, now));
                carryOut(group, change.promotion->onTick(now), now);
                continue;
            }
            // Orders of this daemon would undo the pauses of the next holder.
            logWarning("promotion_given_up",
                { { "group", group.text() }, { "reason", "the claim has ended" },
                    { "fence", std::to_string(change.claim.fence()) } });
            Watch& watch = watches_[group];
            watch.isOpen = true;
            watch.reasonSince.reset();
            changes_.erase(running);
            continue;
        }
        Watch& watch = watches_[group];
        if (dispatcher_.isIdle(group, now) && !watch.reasonSince && now - watch.checkedAt < settings_.idleCheck)
            continue;
        watch.checkedAt = now;
        const std::optional<PromotionReason> reason = reasonFor(group, watch, now);
        if (!reason || watch.reason != *reason) {
            watch.reasonSince.reset();
            if (doubts_)
                doubts_->forget(group);
        }
        if (!reason)
            continue;
        watch.reason = *reason;
        if (!watch.reasonSince)
            watch.reasonSince = now;
        const Duration settling = watch.isOpen ? Duration(settleTime) : Duration(0);
        const bool isDue = now - *watch.reasonSince >= orderDelay(group) + settling && now >= watch.notBefore;
        if (isDue && !watch.isClaimed && !isStopping_ && isConfirmed(group, *reason, now))
            begin(group, *reason, now);
    }
}

bool PromotionDriver::isConfirmed(const GroupId& group, PromotionReason reason, TimePoint now)
{
    const EndpointEntry* primary = directory_.primaryOf(group);
    const std::optional<TimePoint> since = dispatcher_.primaryFailingSince(group, now);
    if (!doubts_ || reason != PromotionReason::PrimaryFailed || !primary || !since)
        return true;
    return doubts_->judge(group, primary->id, *since, now) == FailureConfirmation::Verdict::Confirmed;
}

void PromotionDriver::begin(const GroupId& group, PromotionReason reason, TimePoint now)
{
    auto change = std::make_unique<Change>(store_, timers_, group, settings_.holder);
    change->reason = reason;
    change->startedAt = now;
    const EndpointEntry* primary = directory_.primaryOf(group);
    logInfo("promotion_claim_asked",
        { { "group", group.text() }, { "reason", toText(reason) }, { "primary", primary ? primary->id.text() : "" },
            { "term", std::to_string(directory_.newestTermOf(group)) } });
    changes_[group] = std::move(change);
    const bool knewOpen = watches_[group].isOpen;
    const std::string record = storeKeys::changes + group.text();
    // The news of an unfinished change may be on its way to this daemon while its claim has ended already.
    store_.readRange(record, "",
        [this, group, record, knewOpen, alive = std::weak_ptr<int>(alive_)](const StoreResult<StorePage>& page) {
            if (alive.expired() || changes_.count(group) == 0)
                return;
            const bool isOpen = page
                && std::any_of(page.value().items.begin(), page.value().items.end(), [&record](const StoreItem& item) {
                       return item.key == record && item.value == storeKeys::changeOpen;
                   });
            if (page && (!isOpen || knewOpen))
                return changes_.at(group)->claim.acquire(
                    ++attempts_, [this, group](const StoreResult<std::uint64_t>& result) { onClaimed(group, result); });
            logInfo("promotion_not_claimed",
                { { "group", group.text() }, { "outcome", page ? "unfinished_change" : toText(page.error().kind) },
                    { "detail", page ? "" : page.error().detail } });
            Watch& watch = watches_[group];
            watch.isOpen = watch.isOpen || isOpen;
            watch.reasonSince.reset();
            watch.notBefore = timers_.now() + settings_.retryPause;
            changes_.erase(group);
        });
}

void PromotionDriver::onClaimed(const GroupId& group, const StoreResult<std::uint64_t>& result)
{
    if (changes_.count(group) == 0)
        return;
    if (!result)
        return giveClaimBack(group, toText(result.error().kind), result.error().detail);
    if (!refreshMembers_)
        return judgeAgain(group, timers_.now());
    // An endpoint that came back, or that another daemon promoted, may have acknowledged commits with endpoints that
    // this daemon does not ask. What the list says after the claim was taken is new enough.
    refreshMembers_([this, group, alive = std::weak_ptr<int>(alive_)](bool isFresh) {
        if (alive.expired() || changes_.count(group) == 0)
            return;
        if (!isFresh)
            return giveClaimBack(group, "members_unknown", "the store did not answer");
        judgeAgain(group, timers_.now());
    });
}

void PromotionDriver::judgeAgain(const GroupId& group, TimePoint now)
{
    Change& change = *changes_.at(group);
    if (!change.isJudged && now - change.startedAt < settings_.longestClaim)
        return startChange(group);
    change.isJudged = false;
    const EndpointEntry* primary = directory_.primaryOf(group);
    const std::optional<TimePoint> since = dispatcher_.primaryFailingSince(group, now);
    if (!doubts_ || change.reason != PromotionReason::PrimaryFailed || !primary || !since)
        return startChange(group);
    switch (doubts_->judge(group, primary->id, *since, now)) {
    case FailureConfirmation::Verdict::Waiting:
        change.isJudged = true;
        return;
    case FailureConfirmation::Verdict::Confirmed:
        return startChange(group);
    case FailureConfirmation::Verdict::Contradicted:
        break;
    }
    giveClaimBack(group, "others_hear_the_primary", "");
}

void PromotionDriver::giveClaimBack(const GroupId& group, const std::string& outcome, const std::string& detail)
{
    logInfo("promotion_not_claimed", { { "group", group.text() }, { "outcome", outcome }, { "detail", detail } });
    watches_[group].notBefore = timers_.now() + settings_.retryPause;
    // The claim opened the record; an earlier change that is unfinished stays so.
    changes_.at(group)->claim.release(!watches_[group].isOpen);
    // The claim is destroyed outside of its own callback.
    timers_.callAfter(Duration(0), [this, group, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        if (!alive.expired())
            changes_.erase(group);
    });
}

void PromotionDriver::startChange(const GroupId& group)
{
    const TimePoint now = timers_.now();
    Change& change = *changes_.at(group);
    const std::optional<PromotionReason> reason = reasonFor(group, watches_[group], now);
    if (!reason && change.reason != PromotionReason::Recovery)
        return giveClaimBack(group, "reason_gone", "");
    std::vector<PromotionMember> members;
    const EndpointEntry* primary = directory_.primaryOf(group);
    for (const EndpointEntry* entry : directory_.endpointsOf(group))
        members.push_back({ entry->id, entry == primary, entry->isLeaving });
    const std::size_t synchronous = groups_[group].synchronousReplicas;
    const LogPosition acknowledged = dispatcher_.acknowledgedPositionOf(group, now);
    change.promotion = std::make_unique<GroupPromotion>(
        members, synchronous, directory_.newestTermOf(group), change.reason, settings_.promotion);
    logInfo("promotion_started",
        { { "group", group.text() }, { "reason", toText(change.reason) },
            { "fence", std::to_string(change.claim.fence()) }, { "members", std::to_string(members.size()) },
            { "acknowledged_term", std::to_string(acknowledged.term) },
            { "acknowledged_index", std::to_string(acknowledged.index) } });
    carryOut(group, change.promotion->start(now), now);
}

void PromotionDriver::carryOut(const GroupId& group, const GroupPromotion::Orders& orders, TimePoint now)
{
    // Another daemon may hold the claim by now; onTick() gives the change up.
    const auto found = changes_.find(group);
    if (found == changes_.end() || !found->second->claim.isHeld(now))
        return;
    for (const GroupPromotion::Order& order : orders) {
        if (order.kind == GroupPromotion::Order::Kind::Promote)
            promote(group, order.endpoint, now);
        else
            sendOrder(group, order);
    }
    finishIfDone(group, now);
}

void PromotionDriver::sendOrder(const GroupId& group, const GroupPromotion::Order& order)
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
    dispatcher_.sendReplicationCommand(
        order.endpoint, command,
        [this, group, order, alive = std::weak_ptr<int>(alive_)](
            const std::optional<EndpointReplicationStatus>& status, const std::string& detail, TimePoint at) {
            logInfo("promotion_order",
                { { "group", group.text() }, { "endpoint", order.endpoint.text() }, { "order", toText(order.kind) },
                    { "outcome", status ? "ok" : "failed" }, { "detail", detail },
                    { "is_primary", status && status->isPrimary ? "yes" : "no" },
                    { "term", status ? std::to_string(status->term) : "" },
                    { "received", status ? std::to_string(status->received.index) : "" } });
            if (alive.expired())
                return;
            if (status)
                directory_.noteTerm(group, status->term);
            const auto change = changes_.find(group);
            if (change == changes_.end() || !change->second->promotion)
                return;
            GroupPromotion& promotion = *change->second->promotion;
            promotion.noteAcknowledged(dispatcher_.acknowledgedPositionOf(group, at));
            carryOut(group, promotion.onStatus(order.endpoint, order.kind, status, at), at);
        },
        timers_.now());
}

void PromotionDriver::promote(const GroupId& group, const EndpointId& endpoint, TimePoint now)
{
    const auto found = changes_.find(group);
    if (found == changes_.end())
        return;
    Change& change = *found->second;
    const auto report = [this, group, endpoint, alive = std::weak_ptr<int>(alive_)](
                            PromotionResult answer, const std::string& detail) {
        if (alive.expired())
            return;
        const TimePoint at = timers_.now();
        logInfo("promotion_answer",
            { { "group", group.text() }, { "endpoint", endpoint.text() },
                { "outcome",
                    answer == PromotionResult::Accepted      ? "accepted"
                        : answer == PromotionResult::Refused ? "refused"
                                                             : "unknown" },
                { "detail", detail } });
        const auto running = changes_.find(group);
        if (running != changes_.end() && running->second->promotion)
            carryOut(group, running->second->promotion->onPromotionResult(answer, at), at);
    };
    if (!change.claim.isHeld(now)) {
        timers_.callAfter(
            Duration(0), [report](TimePoint) { report(PromotionResult::Refused, "the claim has ended"); });
        return;
    }
    const LogPosition position = change.promotion->chosenPosition();
    logInfo("promotion_ordered",
        { { "group", group.text() }, { "endpoint", endpoint.text() }, { "fence", std::to_string(change.claim.fence()) },
            { "position_term", std::to_string(position.term) }, { "position_index", std::to_string(position.index) } });
    service_.promote(group, endpoint, settings_.holder, change.claim.fence(), report);
}

void PromotionDriver::finishIfDone(const GroupId& group, TimePoint now)
{
    const auto found = changes_.find(group);
    if (found == changes_.end() || !found->second->promotion || !found->second->promotion->isFinished())
        return;
    // Taken out first: what follows may end other orders of this change, whose answers come back here.
    const std::shared_ptr<Change> ended = std::move(found->second);
    changes_.erase(found);
    const GroupPromotion& promotion = *ended->promotion;
    logInfo("promotion_ended",
        { { "group", group.text() }, { "outcome", promotion.hasSucceeded() ? "ok" : "failed" },
            { "detail", promotion.failure() }, { "endpoint", promotion.chosen().text() },
            { "pause", promotion.wasPauseBroken() ? "broken" : "kept" },
            { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - ended->startedAt).count()) } });
    ended->claim.release(!promotion.needsRecovery());
    Watch& watch = watches_[group];
    watch.isOpen = promotion.needsRecovery();
    watch.reasonSince.reset();
    watch.notBefore = now + (promotion.hasSucceeded() ? settings_.retryPause * 2 : settings_.retryPause);
    // The change is destroyed outside of the callbacks of its own parts.
    timers_.callAfter(Duration(0), [ended](TimePoint) {});
    if (!promotion.hasSucceeded())
        return;
    directory_.noteLeading(promotion.chosen(), directory_.newestTermOf(group) + 1);
    dispatcher_.onDirectoryChange(now);
}

} // namespace almondlever
