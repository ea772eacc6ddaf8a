#include "DispatcherState.h"

#include <algorithm>
#include <cassert>

namespace almondlever {

namespace {

    std::vector<RankRule> makeRanks(const DispatcherSettings& settings)
    {
        std::vector<RankRule> ranks;
        for (std::size_t rank = 0; rank < settings.ranks; ++rank) {
            RankRule rule;
            rule.name = RankName("rank-" + std::to_string(rank));
            rule.floor = rank == 0 ? 0 : settings.floor;
            rule.queueRequests = settings.queueLimit;
            rule.queueBytes = settings.queueLimitBytes;
            ranks.push_back(rule);
        }
        return ranks;
    }

    /** With learned capacity, an endpoint whose entry is missing from the store gets reads while it has answered within
     * this time. The directory removes it when the grace period ends. */
    constexpr Milliseconds lapseProof { 500 };
    /** Interval at which endpoints are ejected and readmitted; bounds the work of a daemon that owns many groups. */
    constexpr Milliseconds capacityInterval { 50 };

} // namespace

DispatcherState::DispatcherState(EndpointDirectory& directory, EndpointConnector& connector, DecisionLog& log,
    Metrics& metrics, const DispatcherSettings& settings)
    : directory_(directory)
    , connector_(connector)
    , log_(log)
    , metrics_(metrics)
    , settings_(settings)
    , ranks_(makeRanks(settings))
    , capacity_(settings.learnsCapacity ? std::make_unique<CapacityTracker>(log, metrics) : nullptr)
{
}

DispatcherState::~DispatcherState()
{
    for (auto& [id, endpoint] : endpoints_) {
        for (const auto& link : endpoint.links())
            link->abandon();
    }
}

GroupQueues& DispatcherState::queuesOf(const GroupId& group)
{
    const auto found = groups_.find(group);
    if (found != groups_.end())
        return found->second;
    return groups_.try_emplace(group, ranks_, settings_.floorWaitShare).first->second;
}

Ticket DispatcherState::submit(StatementRequest request, StatementCallback callback, TimePoint now)
{
    checkSuspension(now);
    const Ticket ticket = ++lastTicket_;
    queuesOf(request.group).lastSubmitAt = now;
    request.rank = std::min(request.rank, ranks_.size() - 1);
    PendingStatement pending;
    pending.request = std::move(request);
    pending.callback = std::move(callback);
    pending_.emplace(ticket, std::move(pending));
    enqueue(ticket, now);
    return ticket;
}

std::optional<LogPosition> DispatcherState::minimumFor(const GroupQueues& queues, const StatementRequest& request) const
{
    std::optional<LogPosition> minimum = queues.history.oldestSince(request.visibleBefore);
    if (minimum && request.sessionPosition)
        minimum = std::max(*minimum, *request.sessionPosition);
    return minimum;
}

void DispatcherState::enqueue(Ticket ticket, TimePoint now)
{
    const GroupId group = pending_.at(ticket).request.group;
    offer(ticket, now);
    dispatch(group, now);
}

void DispatcherState::offer(Ticket ticket, TimePoint now)
{
    PendingStatement& pending = pending_.at(ticket);
    const StatementRequest& request = pending.request;
    const GroupId group = request.group;
    GroupQueues& queues = queuesOf(group);
    pending.retryAt.reset();
    if (!pending.waitsForPrimary)
        pending.waitsForPrimary = request.needsPrimary || !minimumFor(queues, request);
    if (pending.waitsForPrimary) {
        const Duration wait = expectedWaitForPrimary(queues, group, now);
        // Statements that are already queued are served first.
        const Duration queued = wait > Duration(0) ? queues.primaryQueue.expectedWait(request.rank, now) : Duration(0);
        const bool isUnservable = wait > Duration(0) && waitsForLogs(queues, group, now);
        if (isUnservable || now + wait + queued > request.deadline)
            return refuse(ticket, wait + queued, "no_primary", now);
    }
    if (request.isWrite && areWritesBlocked(queues, group, now))
        return refuse(ticket, queues.expectedFailover, "no_replica", now);
    QueuedRequest queued;
    queued.ticket = ticket;
    queued.caller = CallerId(request.customer.text());
    queued.rank = request.rank;
    queued.bytes = request.statement.text.size();
    queued.arrival = request.arrival;
    queued.deadline = request.deadline;
    updateSlots(queues, group, now);
    RankScheduler& queue = pending.waitsForPrimary ? queues.primaryQueue : queues.readQueue;
    const std::optional<Refusal> refusal = queue.offer(queued, now);
    if (refusal)
        return refuse(ticket, refusal->retryAfter, toText(refusal->reason), now);
    if (pending.waitsForPrimary && queued.rank == 0)
        ++queues.urgentQueued;
}

void DispatcherState::updateSlots(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    // The queues refuse by expected wait, which depends on the current concurrency of the endpoints.
    double reads = 0;
    for (const EndpointEntry* entry : directory_.endpointsOf(group)) {
        EndpointLinks& links = linksOf(entry->id);
        const bool mayRead = !capacity_ || capacity_->mayRead(group, entry->id);
        if (!entry->isLeaving && !links.isSuspect(now) && !links.wasLaggingLately(now) && mayRead)
            reads += links.windowSize();
    }
    const EndpointEntry* primary = directory_.primaryOf(group);
    const double writes = primary ? linksOf(primary->id).windowSize() : 1;
    queues.primaryQueue.setSlots(std::max<std::size_t>(static_cast<std::size_t>(writes), 1));
    queues.readQueue.setSlots(std::max<std::size_t>(static_cast<std::size_t>(reads), 1));
}

void DispatcherState::dispatch(const GroupId& group, TimePoint now)
{
    GroupQueues& queues = queuesOf(group);
    if (!replicationCommands_.empty())
        sendPendingReplicationCommands(now);
    dispatchPrimary(queues, group, now);
    dispatchReads(queues, group, now);
    // Reads that no replica can serve were moved to the primary's queue.
    dispatchPrimary(queues, group, now);
    answerExpired(queues, now);
}

void DispatcherState::dispatchPrimary(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    while (queues.primaryQueue.size() > 0) {
        EndpointLinks* primary = usablePrimary(group, now);
        if (!primary || primary->isBusy(now) || !primary->hasRoom(queues.urgentQueued > 0, now))
            return;
        const bool hasIdle = primary->count(PooledLink::State::Idle) > 0;
        if (!hasIdle && areConnectionsByCustomer_ && !mayOpenLink(*primary, now))
            return;
        if (!hasIdle && !areConnectionsByCustomer_)
            return openLinks(*primary, queues.primaryQueue.size(), now);
        const std::optional<QueuedRequest> queued = queues.primaryQueue.take(now);
        if (!queued)
            return;
        noteRemovedFromPrimaryQueue(queues, *queued);
        const auto pending = pending_.find(queued->ticket);
        if (pending == pending_.end()) {
            queues.primaryQueue.release(*queued, Duration(0), now);
            continue;
        }
        StatementRun run;
        run.queued = queued;
        run.fromPrimaryQueue = true;
        run.usesGuardTransaction = !pending->second.request.isWrite && !pending->second.request.opensTransaction;
        if (runAt(*primary, queued->ticket, std::move(run), now))
            continue;
        queues.primaryQueue.release(*queued, Duration(0), now);
        pending->second.retryAt = now + settings_.retryPause;
    }
}

std::vector<ReadCandidate> DispatcherState::readCandidates(
    GroupQueues& queues, const GroupId& group, const std::optional<CustomerId>& customer, TimePoint now)
{
    std::vector<ReadCandidate> candidates;
    const EndpointEntry* primary = directory_.primaryOf(group);
    std::size_t index = 0;
    for (const EndpointEntry* entry : directory_.endpointsOf(group)) {
        ReadCandidate candidate;
        candidate.index = index++;
        EndpointLinks& links = linksOf(entry->id);
        candidate.isPrimary = entry == primary;
        const std::size_t idle = links.count(PooledLink::State::Idle);
        // Reserves connections for statements that only the primary can run.
        const std::size_t kept
            = candidate.isPrimary && connectionShare(*entry) > 1 ? queues.primaryQueue.size() + 1 : 0;
        const bool isLapsing
            = directory_.isLapsing(entry->id) && !(capacity_ && links.hasRepliedSince(now - lapseProof));
        candidate.isUsable = !entry->isLeaving && !isLapsing && !links.isSuspect(now);
        const bool isUsable = candidate.isUsable && !links.isBusy(now);
        const bool hasOwnIdle = customer ? links.hasIdle(*customer) : idle > 0;
        const bool hasConnection = areConnectionsByCustomer_ ? hasOwnIdle || mayOpenLink(links, now) : idle > kept;
        candidate.hasFreeConnection = isUsable && hasConnection && links.hasRoom(false, now);
        if (areConnectionsByCustomer_ && !hasOwnIdle)
            candidate.openingTime = links.openingTime();
        candidate.running = links.running();
        candidate.slots = entry->slots;
        candidate.latency = links.latency();
        candidate.position = links.position();
        candidate.wasLaggingLately = links.wasLaggingLately(now);
        const bool mayOpen = !areConnectionsByCustomer_ && isUsable && idle == 0 && queues.readQueue.size() > 0;
        if (mayOpen && (links.openCount() > 0 || queues.sharingDaemons == 0))
            openLinks(links, 1, now);
        candidates.push_back(candidate);
    }
    if (capacity_)
        capacity_->withhold(group, directory_.endpointsOf(group), candidates);
    return candidates;
}

void DispatcherState::dispatchReads(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    while (queues.readQueue.size() > 0) {
        const std::vector<ReadCandidate> candidates = readCandidates(queues, group, std::nullopt, now);
        const bool hasFree = std::any_of(candidates.begin(), candidates.end(),
            [](const ReadCandidate& candidate) { return candidate.hasFreeConnection; });
        if (!hasFree)
            return;
        const std::optional<QueuedRequest> queued = queues.readQueue.take(now);
        if (!queued)
            return;
        if (placeRead(queues, group, *queued, now))
            continue;
        queues.readQueue.release(*queued, Duration(0), now);
        const auto pending = pending_.find(queued->ticket);
        if (pending != pending_.end() && pending->second.waitsForPrimary)
            offer(queued->ticket, now);
    }
}

bool DispatcherState::placeRead(GroupQueues& queues, const GroupId& group, const QueuedRequest& queued, TimePoint now)
{
    const auto found = pending_.find(queued.ticket);
    if (found == pending_.end())
        return false;
    PendingStatement& pending = found->second;
    const std::vector<const EndpointEntry*> entries = directory_.endpointsOf(group);
    std::vector<ReadCandidate> candidates = readCandidates(queues, group, pending.request.customer, now);
    for (ReadCandidate& candidate : candidates) {
        if (pending.refusedBy.count(entries[candidate.index]->id) == 0)
            continue;
        candidate.hasFreeConnection = false;
        candidate.isUsable = false;
    }
    const std::optional<LogPosition> minimum = minimumFor(queues, pending.request);
    std::optional<std::size_t> chosen;
    if (minimum)
        chosen = capacity_ ? capacity_->selectRead(group, entries, candidates, *minimum, pending.request, now)
                           : selectReadEndpoint(candidates, *minimum);
    if (chosen) {
        StatementRun run;
        run.queued = queued;
        run.after = minimum;
        if (runAt(linksOf(entries[*chosen]->id), queued.ticket, std::move(run), now))
            return true;
    }
    // Without a usable primary, the replicas are tried again later, since they may catch up.
    pending.waitsForPrimary = usablePrimary(group, now) != nullptr || !minimum;
    if (pending.waitsForPrimary)
        return false;
    pending.refusedBy.clear();
    pending.retryAt = now + settings_.retryPause;
    return false;
}

void DispatcherState::answerExpired(GroupQueues& queues, TimePoint now)
{
    for (RankScheduler* queue : { &queues.primaryQueue, &queues.readQueue }) {
        for (const QueuedRequest& queued : queue->removeExpired(now)) {
            if (queue == &queues.primaryQueue)
                noteRemovedFromPrimaryQueue(queues, queued);
            refuse(queued.ticket, queue->expectedWait(queued.rank, now), "waited_too_long", now);
        }
    }
}

void DispatcherState::noteRemovedFromPrimaryQueue(GroupQueues& queues, const QueuedRequest& queued)
{
    if (queued.rank == 0 && queues.urgentQueued > 0)
        --queues.urgentQueued;
}

void DispatcherState::cancelQueued(GroupQueues& queues, Ticket ticket)
{
    const bool wasQueued = queues.primaryQueue.cancel(ticket);
    if (wasQueued && pending_.at(ticket).request.rank == 0 && queues.urgentQueued > 0)
        --queues.urgentQueued;
}

void DispatcherState::refuse(Ticket ticket, Duration retryAfter, std::string_view reason, TimePoint now)
{
    const auto found = pending_.find(ticket);
    if (found == pending_.end())
        return;
    const StatementRequest& request = found->second.request;
    const auto wait = std::chrono::duration_cast<Milliseconds>(retryAfter) + Milliseconds(1);
    logOutcome(request, "refuse", EndpointId(), "not_run", reason, now);
    metrics_.count("almondlever_refusals_total", "reason=\"" + std::string(reason) + '"');
    StatementResult result;
    result.reply.error = StatementError::Busy;
    result.reply.detail = std::string(reason) + ", retry after " + std::to_string(wait.count()) + " ms";
    result.attempts = found->second.attempts;
    finish(ticket, std::move(result), now);
}

void DispatcherState::finish(Ticket ticket, StatementResult&& result, TimePoint now)
{
    const auto found = pending_.find(ticket);
    if (found == pending_.end()) {
        if (result.transaction)
            rollBack(std::static_pointer_cast<LinkTransaction>(result.transaction)->link(), now);
        return;
    }
    const StatementCallback callback = std::move(found->second.callback);
    pending_.erase(found);
    if (callback)
        return callback(std::move(result), now);
    // The caller disconnected while the first statement of its transaction ran.
    if (result.transaction)
        rollBack(std::static_pointer_cast<LinkTransaction>(result.transaction)->link(), now);
}

void DispatcherState::abandon(Ticket ticket, TimePoint now)
{
    const auto found = pending_.find(ticket);
    if (found == pending_.end())
        return;
    if (runs_.count(ticket) > 0) {
        // Waits for the endpoint's reply, so that the connection can be reused.
        found->second.callback = nullptr;
        return;
    }
    GroupQueues& queues = queuesOf(found->second.request.group);
    cancelQueued(queues, ticket);
    queues.readQueue.cancel(ticket);
    heldStatements_.erase(ticket);
    const bool mayHaveRun = heldAnswers_.erase(ticket) > 0;
    logOutcome(found->second.request, "abandon", EndpointId(), mayHaveRun ? "unknown" : "not_run", "caller_left", now);
    pending_.erase(found);
}

void DispatcherState::setGroups(const std::map<GroupId, GroupRule>& groups, TimePoint now)
{
    for (const auto& [id, rule] : groups)
        queuesOf(id).rule = rule;
    onDirectoryChange(now);
}

void DispatcherState::setSharing(const std::map<GroupId, std::size_t>& daemons, TimePoint now)
{
    for (const auto& [group, count] : daemons)
        queuesOf(group).sharingDaemons = count;
    onDirectoryChange(now);
}

void DispatcherState::onDirectoryChange(TimePoint now)
{
    for (auto it = endpoints_.begin(); it != endpoints_.end();) {
        if (directory_.find(it->first)) {
            ++it;
            continue;
        }
        const std::vector<std::shared_ptr<PooledLink>> links = it->second.links();
        for (const auto& link : links)
            link->close("endpoint is gone", now);
        it = endpoints_.erase(it);
    }
    for (const GroupId& group : directory_.groups()) {
        GroupQueues& queues = queuesOf(group);
        trackCapacity(group);
        for (const EndpointEntry* entry : directory_.endpointsOf(group))
            linksOf(entry->id).setMaximum(connectionShare(*entry));
        const EndpointEntry* primary = directory_.primaryOf(group);
        const EndpointId id = primary ? primary->id : EndpointId();
        if (id != queues.lastPrimary && !id.isEmpty()) {
            logInfo("primary_believed",
                { { "group", group.text() }, { "endpoint", id.text() }, { "previous", queues.lastPrimary.text() },
                    { "term", std::to_string(directory_.newestTermOf(group)) } });
            noteNewPrimary(queues, id);
        }
    }
    for (const GroupId& group : directory_.groups()) {
        ensureOpenLink(group, now);
        dispatch(group, now);
    }
}

void DispatcherState::onTick(TimePoint now)
{
    const bool hasStalled = lastTick_ && now - *lastTick_ > settings_.stallLimit;
    if (hasStalled) {
        logWarning("process_stalled",
            { { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - *lastTick_).count()) } });
        for (auto& [id, endpoint] : endpoints_)
            endpoint.ignoreSilenceBefore(now);
    }
    checkSuspension(now);
    lastTick_ = now;
    if (awaitsNewsSince_ && now - *awaitsNewsSince_ >= settings_.suspensionHoldLimit)
        endSuspensionHold(false, now);
    std::vector<Ticket> late;
    for (const auto& [ticket, run] : runs_) {
        if (now >= pending_.at(ticket).request.deadline)
            late.push_back(ticket);
    }
    for (const Ticket ticket : late)
        timeOut(ticket, now);
    expireHeld(now);
    closeUnresponsiveLinks(now);
    std::vector<Ticket> retried;
    for (auto& [ticket, pending] : pending_) {
        if (pending.retryAt && now >= *pending.retryAt)
            retried.push_back(ticket);
    }
    for (const Ticket ticket : retried) {
        if (pending_.count(ticket) > 0)
            enqueue(ticket, now);
    }
    if (!surplusCheckedAt_ || now - *surplusCheckedAt_ >= settings_.idleTickInterval) {
        surplusCheckedAt_ = now;
        closeSurplusLinks(now);
    }
    for (auto& [group, queues] : groups_) {
        const bool hasWork = queues.primaryQueue.size() + queues.readQueue.size() > 0 || !isIdle(queues, now);
        if (!hasWork && now - queues.lastTickAt < settings_.idleTickInterval)
            continue;
        queues.lastTickAt = now;
        ensureOpenLink(group, now);
        refreshPrimaryPosition(queues, group, now);
        refuseUnservable(queues, group, now);
        if (capacity_ && now - queues.capacityEvaluatedAt >= capacityInterval) {
            queues.capacityEvaluatedAt = now;
            evaluateCapacity(group, now);
        }
        dispatch(group, now);
    }
}

void DispatcherState::trackCapacity(const GroupId& group)
{
    if (!capacity_)
        return;
    std::vector<EndpointId> ids;
    for (const EndpointEntry* entry : directory_.endpointsOf(group))
        ids.push_back(entry->id);
    // References to endpoints that are kept stay valid.
    capacity_->retain(group, ids);
    for (const EndpointId& id : ids)
        linksOf(id).setCapacity(&capacity_->endpoint(group, id));
}

void DispatcherState::evaluateCapacity(const GroupId& group, TimePoint now)
{
    std::vector<EndpointId> serving;
    for (const EndpointEntry* entry : directory_.endpointsOf(group)) {
        const EndpointLinks& links = linksOf(entry->id);
        capacity_->setRunning(group, entry->id, links.running());
        const bool isConnected = links.openCount() > links.count(PooledLink::State::Opening);
        if (!entry->isLeaving && !links.isSuspect(now) && isConnected)
            serving.push_back(entry->id);
    }
    capacity_->evaluate(group, serving, now);
}

bool DispatcherState::isIdle(const GroupId& group, TimePoint now) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() || isIdle(found->second, now);
}

bool DispatcherState::isReachable(const EndpointId& endpoint) const
{
    const EndpointLinks* links = findLinks(endpoint);
    return links && links->openCount() > links->count(PooledLink::State::Opening);
}

} // namespace almondlever
