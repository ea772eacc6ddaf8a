#include "almondlever/front/PromotionDriver.h"

#include "PromotionChange.h"
#include "PromotionLog.h"
#include "almondlever/observability/DecisionLog.h"

#include <algorithm>
#include <xxhash.h>

namespace almondlever {

using promotionLog::listOf;
using promotionLog::toText;

PromotionDriver::PromotionDriver(EndpointDirectory& directory, StatementDispatcher& dispatcher, MetadataStore& store,
    PromotionService& service, TimerService& timers, const PromotionDriverSettings& settings)
    : directory_(directory)
    , dispatcher_(dispatcher)
    , store_(store)
    , service_(service)
    , timers_(timers)
    , settings_(settings)
    , logHolders_(directory, dispatcher, store, timers, settings.logHolders)
    , holds_(dispatcher)
{
}

PromotionDriver::~PromotionDriver() = default;

void PromotionDriver::onClaim(
    const GroupId& group, bool isHeld, TimePoint now, ClaimedWrites writes, std::uint64_t revision)
{
    if (isHeld)
        holds_.noteClaim(group, writes, revision);
    else
        holds_.noteClaimEnded(group);
    GroupState& state = groupStates_[group];
    if (state.isClaimed && !isHeld)
        state.notBefore = now;
    state.isClaimed = isHeld;
}

void PromotionDriver::setOwners(std::map<GroupId, std::set<std::string>> owners)
{
    owners_ = std::move(owners);
    // Another daemon decides from now on, and this one does not learn when its attempt succeeds.
    for (auto& [group, state] : groupStates_) {
        if (!isOwner(group))
            clearMissingLogs(group, state);
    }
}

void PromotionDriver::onChangeRecord(const GroupId& group, bool isChangeOpen, TimePoint, std::uint64_t revision)
{
    groupStates_[group].isChangeOpen = isChangeOpen;
    holds_.noteRecord(group, isChangeOpen, revision);
}

void PromotionDriver::onHoldRequest(const GroupId& group, std::uint64_t fence, bool isHeld, TimePoint now)
{
    if (isHeld)
        holds_.request(group, fence, now);
    else
        holds_.close(group, fence);
    holds_.apply(now);
}

void PromotionDriver::onStoreEra(std::uint64_t era, TimePoint now)
{
    for (auto& [group, state] : groupStates_) {
        state.isClaimed = false;
        holds_.noteClaimEnded(group);
        state.notBefore = std::max(state.notBefore, now + settings_.promotion.promotionEffectTime);
    }
    // Groups whose claim was never reported have no state yet.
    for (const auto& [group, rule] : groups_)
        groupStates_[group].notBefore
            = std::max(groupStates_[group].notBefore, now + settings_.promotion.promotionEffectTime);
    logHolders_.onStoreEra();
    // onTick() abandons the changes whose claims have ended.
    for (auto& [group, change] : changes_)
        change->claim.noteEra(era);
}

std::optional<PromotionReason> PromotionDriver::reasonFor(
    const GroupId& group, const GroupState& state, TimePoint now) const
{
    // An unfinished change takes precedence: its promotion may still take effect.
    if (state.isChangeOpen)
        return PromotionReason::Recovery;
    const bool hasReturnedPaused = std::any_of(state.pausedElsewhere.begin(), state.pausedElsewhere.end(),
        [this](const EndpointId& id) { return directory_.find(id) && dispatcher_.isReachable(id); });
    if (hasReturnedPaused)
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

std::size_t PromotionDriver::rankOf(const GroupId& group) const
{
    // Owners are ordered by a hash of their own name and the group's.
    const auto hash = [&group](const std::string& member) {
        const std::string text = member + ' ' + group.text();
        return XXH3_64bits(text.data(), text.size());
    };
    const auto owners = owners_.find(group);
    if (owners == owners_.end())
        return 0;
    const auto own = hash(settings_.holder);
    return static_cast<std::size_t>(std::count_if(
        owners->second.begin(), owners->second.end(), [&](const std::string& member) { return hash(member) < own; }));
}

bool PromotionDriver::isOwner(const GroupId& group) const
{
    const auto owners = owners_.find(group);
    return owners != owners_.end() && owners->second.count(settings_.holder) > 0;
}

void PromotionDriver::onTick(TimePoint now)
{
    releasing_.erase(std::remove_if(releasing_.begin(), releasing_.end(),
                         [](const auto& change) { return !change->claim.isReleasing(); }),
        releasing_.end());
    for (const auto& [group, rule] : groups_) {
        if (!isOwner(group) && changes_.count(group) == 0)
            continue;
        if (!isStopping_)
            logHolders_.onTick(group, rule.synchronousReplicas, rankOf(group), now);
        const auto running = changes_.find(group);
        if (running != changes_.end()) {
            Change& change = *running->second;
            if (!change.promotion) {
                if (change.awaitsConfirmation)
                    reconfirm(group, now);
                continue;
            }
            if (change.claim.isHeld(now)) {
                change.promotion->noteAcknowledged(dispatcher_.acknowledgedPositionOf(group, now));
                updateHold(group, change, now);
                GroupPromotion::Orders orders = change.promotion->onMembers(membersOf(group));
                for (const GroupPromotion::Order& order : orders) {
                    const EndpointEntry* entry = directory_.find(order.endpoint);
                    logInfo("promotion_member_joined",
                        { { "group", group.text() }, { "endpoint", order.endpoint.text() },
                            { "order", toText(order.kind) }, { "fence", std::to_string(change.claim.fence()) },
                            { "started_at", entry ? std::to_string(entry->startedAt.count()) : "" } });
                }
                const GroupPromotion::Orders due = change.promotion->onTick(now);
                orders.insert(orders.end(), due.begin(), due.end());
                executeOrders(group, orders, now);
                continue;
            }
            // Further orders of this daemon would undo the pauses set by the next holder of the claim.
            logWarning("promotion_given_up",
                { { "group", group.text() }, { "reason", "the claim has ended" },
                    { "fence", std::to_string(change.claim.fence()) } });
            GroupState& state = groupStates_[group];
            state.isChangeOpen = true;
            state.isOwnChangeOpen = false;
            state.reasonSince.reset();
            changes_.erase(running);
            continue;
        }
        GroupState& state = groupStates_[group];
        if (!state.isChangeOpen && holds_.isOrphaned(group, settings_.orphanedHoldLimit, now))
            state.isChangeOpen = true;
        if (dispatcher_.isIdle(group, now) && !state.reasonSince && now - state.checkedAt < settings_.idleCheckInterval)
            continue;
        state.checkedAt = now;
        const std::optional<PromotionReason> reason = reasonFor(group, state, now);
        if (!reason || state.reason != *reason) {
            state.reasonSince.reset();
            if (suspicionConfirmer_)
                suspicionConfirmer_->clearSuspicion(group);
        }
        if (!reason) {
            clearMissingLogs(group, state);
            continue;
        }
        state.reason = *reason;
        if (!state.reasonSince)
            state.reasonSince = now;
        // A call that was accepted before another daemon's claim ended may be about to take effect.
        const bool mustSettle = state.isChangeOpen && !state.isOwnChangeOpen;
        const Duration settling = mustSettle ? Duration(settings_.promotion.promotionEffectTime) : Duration(0);
        const Duration stagger = settings_.staggerDelay * static_cast<int>(rankOf(group));
        const bool isDue = now - *state.reasonSince >= stagger + settling && now >= state.notBefore;
        if (lacksLogs(group, state, now))
            continue;
        if (isDue && !state.isClaimed && !isStopping_ && isConfirmed(group, *reason, now))
            begin(group, *reason, now);
    }
}

std::set<EndpointId> PromotionDriver::reachedEndpoints(const GroupId& group) const
{
    std::set<EndpointId> reached;
    for (const EndpointEntry* entry : directory_.endpointsOf(group)) {
        if (dispatcher_.isReachable(entry->id))
            reached.insert(entry->id);
    }
    return reached;
}

bool PromotionDriver::lacksLogs(const GroupId& group, const GroupState& state, TimePoint now) const
{
    return state.reachedWithoutEnoughLogs && now - state.lackedLogsAt < settings_.missingLogsPause
        && *state.reachedWithoutEnoughLogs == reachedEndpoints(group);
}

void PromotionDriver::noteMissingLogs(const GroupId& group, const GroupPromotion& promotion, TimePoint now)
{
    const std::set<EndpointId> unseen = promotion.unseenHolders();
    const std::size_t copies = std::max<std::size_t>(groups_[group].synchronousReplicas, 1);
    const std::size_t missing = unseen.size() > copies ? unseen.size() - copies : 1;
    logWarning("promotion_waits",
        { { "group", group.text() }, { "required", std::to_string(promotion.requiredLogs()) },
            { "missing", std::to_string(missing) }, { "waits_for", listOf(unseen) },
            { "detail", promotion.failure() } });
    GroupState& state = groupStates_[group];
    state.reachedWithoutEnoughLogs = reachedEndpoints(group);
    state.lackedLogsAt = now;
    dispatcher_.setMissingLogs(group, missing);
}

void PromotionDriver::clearMissingLogs(const GroupId& group, GroupState& state)
{
    if (!state.reachedWithoutEnoughLogs)
        return;
    state.reachedWithoutEnoughLogs.reset();
    dispatcher_.setMissingLogs(group, 0);
}

bool PromotionDriver::isConfirmed(const GroupId& group, PromotionReason reason, TimePoint now)
{
    const EndpointEntry* primary = directory_.primaryOf(group);
    const std::optional<TimePoint> since = dispatcher_.primaryFailingSince(group, now);
    if (!suspicionConfirmer_ || reason != PromotionReason::PrimaryFailed || !primary || !since)
        return true;
    return suspicionConfirmer_->confirm(group, primary->id, *since, now) == FailureConfirmation::Verdict::Confirmed;
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
    changes_.at(group)->claim.prepare(++attempts_);
    const bool wasKnownOpen = groupStates_[group].isChangeOpen;
    const std::string record = storeKeys::changes + group.text();
    // The claim of an unfinished change may have ended before this daemon learns of that change.
    store_.readRange(record, "",
        [this, group, record, wasKnownOpen, alive = std::weak_ptr<int>(alive_)](const StoreResult<StorePage>& page) {
            if (alive.expired() || changes_.count(group) == 0)
                return;
            bool isChangeOpen = false;
            std::uint64_t revision = 0;
            for (const StoreItem& item : page ? page.value().items : std::vector<StoreItem>()) {
                if (item.key != record)
                    continue;
                revision = item.revision;
                isChangeOpen = item.value == storeKeys::changeOpen;
                changes_.at(group)->recordedLeader = RecordedLeader::decode(item.value);
            }
            const bool isOrphaned = holds_.isOrphaned(group, settings_.orphanedHoldLimit, timers_.now());
            changes_.at(group)->wasOpen = isChangeOpen || isOrphaned;
            if (page && (!isChangeOpen || wasKnownOpen)) {
                const bool mustHold = mustHoldWrites(group, changes_.at(group)->reason, isChangeOpen, revision);
                return changes_.at(group)->claim.acquire(
                    revision, [this, group](const StoreResult<std::uint64_t>& result) { onClaimed(group, result); },
                    mustHold);
            }
            logInfo("promotion_not_claimed",
                { { "group", group.text() }, { "outcome", page ? "unfinished_change" : toText(page.error().kind) },
                    { "detail", page ? "" : page.error().detail } });
            GroupState& state = groupStates_[group];
            state.isChangeOpen = state.isChangeOpen || isChangeOpen;
            state.reasonSince.reset();
            state.notBefore = timers_.now() + settings_.retryPause;
            changes_.erase(group);
        });
}

bool PromotionDriver::mustHoldWrites(
    const GroupId& group, PromotionReason reason, bool isRecordOpen, std::uint64_t revision) const
{
    switch (reason) {
    case PromotionReason::PrimaryFailed:
    case PromotionReason::PrimaryStalled:
        return true;
    case PromotionReason::PrimaryLeaving:
        // The primary serves until it has confirmed that it stepped down.
        return false;
    case PromotionReason::Recovery:
        break;
    }
    // Replicas may be left to be resumed by a change whose calls are resolved.
    return isRecordOpen ? !holds_.isClosed(group, revision) : holds_.isHeld(group);
}

void PromotionDriver::onClaimed(const GroupId& group, const StoreResult<std::uint64_t>& result)
{
    if (changes_.count(group) == 0)
        return;
    if (!result)
        return releaseClaim(group, toText(result.error().kind), result.error().detail);
    Change& change = *changes_.at(group);
    change.claimedAt = timers_.now();
    change.pendingReads = refreshMembers_ ? 2 : 1;
    const auto isCurrent = [this, group, fence = change.claim.fence(), alive = std::weak_ptr<int>(alive_)] {
        return !alive.expired() && changes_.count(group) > 0 && changes_.at(group)->claim.fence() == fence;
    };
    logHolders_.read(group, [this, group, isCurrent](const StoreResult<std::optional<LogHolders>>& holders) {
        if (!isCurrent())
            return;
        if (holders)
            changes_.at(group)->logHolders = holders.value();
        onRead(group, holders ? "" : "log_holders_unknown");
    });
    if (!refreshMembers_)
        return;
    // An endpoint that came back, or that another daemon promoted, may have acknowledged commits with endpoints that
    // this daemon does not know. A list that is read after the claim was acquired is recent enough.
    refreshMembers_([this, group, isCurrent](bool isFresh) {
        if (isCurrent())
            onRead(group, isFresh ? "" : "members_unknown");
    });
}

void PromotionDriver::onRead(const GroupId& group, const std::string& failure)
{
    Change& change = *changes_.at(group);
    if (change.readFailure.empty())
        change.readFailure = failure;
    if (--change.pendingReads > 0)
        return;
    if (!change.readFailure.empty())
        return releaseClaim(group, change.readFailure, "the store did not answer");
    reconfirm(group, timers_.now());
}

void PromotionDriver::reconfirm(const GroupId& group, TimePoint now)
{
    Change& change = *changes_.at(group);
    if (!change.awaitsConfirmation && now - change.startedAt < settings_.reconfirmAfter)
        return startChange(group);
    change.awaitsConfirmation = false;
    const EndpointEntry* primary = directory_.primaryOf(group);
    const std::optional<TimePoint> since = dispatcher_.primaryFailingSince(group, now);
    if (!suspicionConfirmer_ || change.reason != PromotionReason::PrimaryFailed || !primary || !since)
        return startChange(group);
    switch (suspicionConfirmer_->confirm(group, primary->id, *since, now)) {
    case FailureConfirmation::Verdict::Waiting:
        change.awaitsConfirmation = true;
        return;
    case FailureConfirmation::Verdict::Confirmed:
        return startChange(group);
    case FailureConfirmation::Verdict::Contradicted:
        break;
    }
    releaseClaim(group, "others_hear_the_primary", "");
}

void PromotionDriver::releaseClaim(const GroupId& group, const std::string& outcome, const std::string& detail)
{
    logInfo("promotion_not_claimed", { { "group", group.text() }, { "outcome", outcome }, { "detail", detail } });
    groupStates_[group].notBefore = timers_.now() + settings_.retryPause;
    // Acquiring the claim marked the change record as open; it stays open if an earlier change is unfinished.
    const Change& change = *changes_.at(group);
    if (change.claim.fence() != 0)
        groupStates_[group].isChangeOpen = change.wasOpen;
    changes_.at(group)->claim.release(!change.wasOpen, change.recordedLeader);
    // No call was made, and a claim without a hold means that those of an earlier change are resolved.
    if (!change.wasOpen || !change.claim.holdsWrites())
        closeHold(group, *changes_.at(group), timers_.now());
    // The claim must not be destroyed in its own callback.
    timers_.callAfter(Duration(0), [this, group, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        const auto found = alive.expired() ? changes_.end() : changes_.find(group);
        if (alive.expired() || found == changes_.end())
            return;
        releasing_.push_back(std::move(found->second));
        changes_.erase(found);
    });
}

void PromotionDriver::closeHold(const GroupId& group, Change& change, TimePoint now)
{
    if (change.isHoldClosed || change.claim.fence() == 0)
        return;
    change.isHoldClosed = true;
    holds_.close(group, change.claim.fence());
    holds_.apply(now);
    // Also where no hold was asked for: the record may stay open until each replica has been resumed.
    if (!stepDownRelay_)
        return;
    const Term term = change.promotion ? change.promotion->leadingTerm() : 0;
    stepDownRelay_->close(
        group, change.claim.fence(), term == 0 ? EndpointId() : change.promotion->chosen(), term, now);
}

void PromotionDriver::startChange(const GroupId& group)
{
    const TimePoint now = timers_.now();
    Change& change = *changes_.at(group);
    // The store may have shown the record that this daemon's claim has opened.
    GroupState state = groupStates_[group];
    state.isChangeOpen = change.wasOpen;
    const std::optional<PromotionReason> reason = reasonFor(group, state, now);
    if (!reason && change.reason != PromotionReason::Recovery)
        return releaseClaim(group, "reason_gone", "");
    std::vector<PromotionMember> members = membersOf(group);
    std::size_t synchronous = groups_[group].synchronousReplicas;
    if (change.logHolders) {
        // Commits from before a larger number was configured have fewer copies.
        synchronous = std::min(synchronous, change.logHolders->copies());
        for (const LogHolder& holder : change.logHolders->all()) {
            for (PromotionMember& member : members) {
                if (member.id == holder.id && member.startedAt == holder.startedAt)
                    member.joinedWithoutPrimary = holder.joinedWithoutPrimary;
            }
        }
    }
    const LogPosition acknowledged = dispatcher_.acknowledgedPositionOf(group, now);
    const Term newestTerm = directory_.newestTermOf(group);
    change.promotion
        = std::make_unique<GroupPromotion>(members, synchronous, newestTerm, change.reason, settings_.promotion);
    // Without synchronous replicas nothing promises that a commit survives, so that the listed endpoints are enough.
    const std::optional<std::vector<LogHolder>> missing
        = synchronous == 0 ? std::vector<LogHolder>() : missingHoldersOf(group, change.logHolders);
    change.promotion->setMissingHolders(
        missing, change.logHolders ? change.logHolders->confirmedPosition() : LogPosition());
    const EndpointEntry* primary = directory_.primaryOf(group);
    const std::optional<Term> primaryTerm = primary ? primaryTermOf(change, *primary) : std::nullopt;
    if (primaryTerm)
        change.promotion->notePrimaryTerm(*primaryTerm);
    logInfo("promotion_started",
        { { "group", group.text() }, { "reason", toText(change.reason) },
            { "fence", std::to_string(change.claim.fence()) }, { "members", std::to_string(members.size()) },
            { "acknowledged_term", std::to_string(acknowledged.term) },
            { "acknowledged_index", std::to_string(acknowledged.index) }, { "member_starts", listOf(members) },
            { "primary", primary ? primary->id.text() : "" },
            { "primary_term", primaryTerm ? std::to_string(*primaryTerm) : "" },
            { "newest_term", std::to_string(newestTerm) }, { "synchronous", std::to_string(synchronous) },
            { "required", std::to_string(change.promotion->requiredLogs()) },
            { "missing_holders", missing ? toText(*missing) : "unknown" } });
    const bool hasRelay = stepDownRelay_ && stepDownRelay_->hasPeers(group);
    if (change.claim.holdsWrites())
        holds_.request(group, change.claim.fence(), now);
    // The relayed order to step down asks for the other daemons' hold as well.
    const bool beginsWithStepDown = change.reason != PromotionReason::Recovery && primary && hasRelay;
    if (change.claim.holdsWrites() && !beginsWithStepDown)
        requestHold(group, now);
    updateHold(group, change, now);
    executeOrders(group, change.promotion->start(now, hasRelay), now);
}

std::optional<Term> PromotionDriver::primaryTermOf(const Change& change, const EndpointEntry& primary) const
{
    if (!change.recordedLeader)
        return directory_.provenTermOf(primary.group, primary.id);
    return change.recordedLeader->id == primary.id ? std::optional<Term>(change.recordedLeader->term) : std::nullopt;
}

std::vector<PromotionMember> PromotionDriver::membersOf(const GroupId& group) const
{
    std::vector<PromotionMember> members;
    const EndpointEntry* primary = directory_.primaryOf(group);
    for (const EndpointEntry* entry : directory_.endpointsOf(group))
        members.push_back({ entry->id, entry == primary, entry->isLeaving, entry->startedAt, entry->address });
    return members;
}

std::optional<std::vector<LogHolder>> PromotionDriver::missingHoldersOf(
    const GroupId& group, const std::optional<LogHolders>& holders) const
{
    if (!holders)
        return std::nullopt;
    std::vector<EndpointEntry> listed;
    for (const EndpointEntry* entry : directory_.endpointsOf(group))
        listed.push_back(*entry);
    return holders->missingFrom(listed);
}

} // namespace almondlever
