#include "almondlever/front/PromotionDriver.h"

#include "almondlever/observability/DecisionLog.h"

#include <algorithm>
#include <xxhash.h>

namespace almondlever {

namespace {

    const char* toText(GroupPromotion::Order::Kind kind)
    {
        switch (kind) {
        case GroupPromotion::Order::Kind::QueryStatus:
            return "query_status";
        case GroupPromotion::Order::Kind::Pause:
            return "pause";
        case GroupPromotion::Order::Kind::Resume:
            return "resume";
        case GroupPromotion::Order::Kind::StepDown:
            return "step_down";
        case GroupPromotion::Order::Kind::Promote:
            break;
        }
        return "promote";
    }

    /** Whole milliseconds of a duration, for log lines. */
    std::string millisecondsOf(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<Milliseconds>(duration).count());
    }

    // The lists of log lines contain neither blanks nor "=", so that they need no quotes. The log cuts long values.

    void appendItem(std::string& list, const std::string& item)
    {
        if (!list.empty())
            list += ',';
        list += item;
    }

    /** "id@startedAt,...": the members with the Unix times of their starts in milliseconds. */
    std::string listOf(const std::vector<PromotionMember>& members)
    {
        std::string list;
        for (const PromotionMember& member : members)
            appendItem(list, member.id.text() + '@' + std::to_string(member.startedAt.count()));
        return list;
    }

    /** "id:term/index,...". */
    std::string listOf(const std::map<EndpointId, LogPosition>& positions)
    {
        std::string list;
        for (const auto& [id, position] : positions)
            appendItem(list, id.text() + ':' + std::to_string(position.term) + '/' + std::to_string(position.index));
        return list;
    }

    /** "id,...". */
    std::string listOf(const std::set<EndpointId>& endpoints)
    {
        std::string list;
        for (const EndpointId& id : endpoints)
            appendItem(list, id.text());
        return list;
    }

} // namespace

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
    /** The leader after the last finished change, if its record names one. */
    std::optional<RecordedLeader> recordedLeader;
    /** The members were read again after the logs had been compared. */
    bool isChoiceVerified = false;
    /** Time of the latest promote call. */
    TimePoint calledAt;
    /** The claim is held, and the other owners have been asked again about the primary. */
    bool awaitsConfirmation = false;
    /** Sources whose report on the order to step down is missing, of those that are waited for. */
    std::set<std::string> awaitedStepDowns;
    bool isStepDownNotSupported = false;
};

PromotionDriver::PromotionDriver(EndpointDirectory& directory, StatementDispatcher& dispatcher, MetadataStore& store,
    PromotionService& service, TimerService& timers, const PromotionDriverSettings& settings)
    : directory_(directory)
    , dispatcher_(dispatcher)
    , store_(store)
    , service_(service)
    , timers_(timers)
    , settings_(settings)
    , logHolders_(directory, dispatcher, store, timers, settings.logHolders)
{
}

PromotionDriver::~PromotionDriver() = default;

void PromotionDriver::onClaim(const GroupId& group, bool isHeld, TimePoint now)
{
    GroupState& state = groupStates_[group];
    if (state.isClaimed && !isHeld)
        state.notBefore = now;
    state.isClaimed = isHeld;
}

void PromotionDriver::onChangeRecord(const GroupId& group, bool isChangeOpen, TimePoint)
{
    groupStates_[group].isChangeOpen = isChangeOpen;
}

void PromotionDriver::onStoreEra(std::uint64_t era, TimePoint now)
{
    for (auto& [group, state] : groupStates_) {
        state.isClaimed = false;
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
            state.reasonSince.reset();
            changes_.erase(running);
            continue;
        }
        GroupState& state = groupStates_[group];
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
        const Duration settling = state.isChangeOpen ? Duration(settings_.promotion.promotionEffectTime) : Duration(0);
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
    const std::size_t compared = std::min(promotion.comparedLogs(), promotion.requiredLogs());
    const std::vector<EndpointId> unseen = promotion.unseenHolders();
    logWarning("promotion_waits",
        { { "group", group.text() }, { "required", std::to_string(promotion.requiredLogs()) },
            { "compared", std::to_string(compared) },
            { "waits_for", listOf(std::set<EndpointId>(unseen.begin(), unseen.end())) },
            { "detail", promotion.failure() } });
    GroupState& state = groupStates_[group];
    state.reachedWithoutEnoughLogs = reachedEndpoints(group);
    state.lackedLogsAt = now;
    dispatcher_.setMissingLogs(group, promotion.requiredLogs() - compared);
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
    const bool wasKnownOpen = groupStates_[group].isChangeOpen;
    const std::string record = storeKeys::changes + group.text();
    // The claim of an unfinished change may have ended before this daemon learns of that change.
    store_.readRange(record, "",
        [this, group, record, wasKnownOpen, alive = std::weak_ptr<int>(alive_)](const StoreResult<StorePage>& page) {
            if (alive.expired() || changes_.count(group) == 0)
                return;
            bool isChangeOpen = false;
            for (const StoreItem& item : page ? page.value().items : std::vector<StoreItem>()) {
                if (item.key != record)
                    continue;
                isChangeOpen = item.value == storeKeys::changeOpen;
                changes_.at(group)->recordedLeader = RecordedLeader::decode(item.value);
            }
            if (page && (!isChangeOpen || wasKnownOpen))
                return changes_.at(group)->claim.acquire(
                    ++attempts_, [this, group](const StoreResult<std::uint64_t>& result) { onClaimed(group, result); });
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

void PromotionDriver::onClaimed(const GroupId& group, const StoreResult<std::uint64_t>& result)
{
    if (changes_.count(group) == 0)
        return;
    if (!result)
        return releaseClaim(group, toText(result.error().kind), result.error().detail);
    Change& change = *changes_.at(group);
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
    changes_.at(group)->claim.release(!groupStates_[group].isChangeOpen, change.recordedLeader);
    // The claim must not be destroyed in its own callback.
    timers_.callAfter(Duration(0), [this, group, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        if (!alive.expired())
            changes_.erase(group);
    });
}

void PromotionDriver::startChange(const GroupId& group)
{
    const TimePoint now = timers_.now();
    Change& change = *changes_.at(group);
    const std::optional<PromotionReason> reason = reasonFor(group, groupStates_[group], now);
    if (!reason && change.reason != PromotionReason::Recovery)
        return releaseClaim(group, "reason_gone", "");
    const std::vector<PromotionMember> members = membersOf(group);
    const std::size_t synchronous = groups_[group].synchronousReplicas;
    const LogPosition acknowledged = dispatcher_.acknowledgedPositionOf(group, now);
    const Term newestTerm = directory_.newestTermOf(group);
    change.promotion
        = std::make_unique<GroupPromotion>(members, synchronous, newestTerm, change.reason, settings_.promotion);
    const std::optional<std::vector<LogHolder>> missing = missingHoldersOf(group, change.logHolders);
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
    finishIfDone(group, now);
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
            promotion.noteAcknowledged(dispatcher_.acknowledgedPositionOf(group, at));
            const bool wasLeading = promotion.leadingTerm() != 0;
            const GroupPromotion::Orders next = promotion.onStatus(order.endpoint, order.kind, status, at);
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
    if (isRelayed)
        stepDownRelay_->request(
            group, order.endpoint, order.term,
            [report](const StepDownReport& result, TimePoint at) { report("relayed", result, at); }, now);
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
    executeOrders(group, change.promotion->onStepDown(outcome, now), now);
}

void PromotionDriver::promote(const GroupId& group, const EndpointId& endpoint, TimePoint now)
{
    const auto found = changes_.find(group);
    if (found == changes_.end())
        return;
    Change& change = *found->second;
    if (!refreshMembers_ || !change.promotion->isChosenByCount() || change.isChoiceVerified)
        return callPlatform(group, endpoint, now);
    const std::uint64_t fence = change.claim.fence();
    refreshMembers_([this, group, endpoint, fence, alive = std::weak_ptr<int>(alive_)](bool isFresh) {
        if (!alive.expired() && isCurrentChange(group, fence))
            onChoiceVerified(group, endpoint, isFresh, timers_.now());
    });
}

void PromotionDriver::onChoiceVerified(const GroupId& group, const EndpointId& endpoint, bool isFresh, TimePoint now)
{
    const std::uint64_t fence = changes_.at(group)->claim.fence();
    executeOrders(group, changes_.at(group)->promotion->onMembers(membersOf(group)), now);
    if (!isCurrentChange(group, fence))
        return;
    Change& change = *changes_.at(group);
    if (!isFresh || !change.promotion->isChoiceComplete()) {
        const std::string reason = isFresh ? "the members have changed" : "the members could not be read";
        return executeOrders(group, change.promotion->onChoiceOutdated(reason, now), now);
    }
    change.isChoiceVerified = true;
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
            { "unconfirmed_resumes", listOf(promotion.unconfirmedResumes()) } });
    if (promotion.leadingTerm() != 0)
        ended->recordedLeader = { promotion.chosen(), promotion.leadingTerm() };
    ended->claim.release(!promotion.needsRecovery(), ended->recordedLeader);
    GroupState& state = groupStates_[group];
    state.isChangeOpen = promotion.needsRecovery();
    state.reasonSince.reset();
    state.notBefore = now + (promotion.hasSucceeded() ? settings_.retryPause * 2 : settings_.retryPause);
    if (promotion.lacksLogs())
        noteMissingLogs(group, promotion, now);
    else if (promotion.hasSucceeded())
        clearMissingLogs(group, state);
    // The change must not be destroyed in a callback of its own members.
    timers_.callAfter(Duration(0), [ended](TimePoint) {});
    dispatcher_.endHold(group, now);
    if (promotion.leadingTerm() == 0)
        return;
    directory_.noteLeading(promotion.chosen(), promotion.leadingTerm());
    dispatcher_.onDirectoryChange(now);
}

} // namespace almondlever
