#include "DispatcherState.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Maximum number of concurrent openings per endpoint; each occupies a slot of the endpoint. */
    constexpr std::size_t openingsAtOnce = 2;
    /** Time for a connection to open; covers three round trips between regions and the endpoint's usual cost. */
    constexpr Milliseconds openTimeout { 1000 };

} // namespace

EndpointLinks& DispatcherState::linksOf(const EndpointId& endpoint)
{
    const auto found = endpoints_.find(endpoint);
    if (found != endpoints_.end())
        return found->second;
    return endpoints_.try_emplace(endpoint, endpoint, health_).first->second;
}

const EndpointLinks* DispatcherState::findLinks(const EndpointId& endpoint) const
{
    const auto found = endpoints_.find(endpoint);
    return found == endpoints_.end() ? nullptr : &found->second;
}

std::size_t DispatcherState::shareOf(const EndpointEntry& entry, double fraction) const
{
    const auto found = groups_.find(entry.group);
    if (found == groups_.end() || found->second.sharingDaemons == 0)
        return 1;
    const double usable = static_cast<double>(found->second.rule.maximumConnections) * fraction;
    return std::max<std::size_t>(static_cast<std::size_t>(usable) / found->second.sharingDaemons, 1);
}

std::size_t DispatcherState::keptConnections(const EndpointEntry& entry) const
{
    // Who owns a group is known only with its rule, which may arrive later than the entries of its endpoints.
    const auto found = groups_.find(entry.group);
    const bool isOwner = found != groups_.end() && !found->second.rule.id.isEmpty() && found->second.sharingDaemons > 0;
    return isOwner ? shareOf(entry, settings_.keptShare) : 0;
}

void DispatcherState::closeSurplusLinks(TimePoint now)
{
    for (auto& [id, links] : endpoints_) {
        const EndpointEntry* entry = directory_.find(id);
        const std::size_t kept = entry ? keptConnections(*entry) : 0;
        if (links.openCount() <= kept)
            continue;
        // Closes one connection at a time, because the load may return.
        if (const auto link = links.takeIdleSince(now - settings_.surplusIdleTimeout))
            link->abandon();
    }
}

void DispatcherState::openLinks(EndpointLinks& links, std::size_t wanted, TimePoint now, std::size_t extra)
{
    const EndpointEntry* entry = directory_.find(links.id());
    if (!entry || !links.mayConnect(now))
        return;
    const std::size_t share = connectionShare(*entry);
    const std::size_t opening = links.count(PooledLink::State::Opening);
    const std::size_t limit = std::min(wanted, openingsAtOnce);
    for (std::size_t number = opening; number < limit && links.openCount() < share + extra; ++number)
        openLink(links, *entry, CustomerId(), now);
}

std::shared_ptr<PooledLink> DispatcherState::openLink(
    EndpointLinks& links, const EndpointEntry& entry, const CustomerId& customer, TimePoint now)
{
    auto link = std::make_shared<PooledLink>(*this, links.id(), customer, now);
    links.links().push_back(link);
    metrics_.count("almondlever_endpoint_connections_total", "");
    link->attach(connector_.connect(entry, customer, link));
    return link;
}

bool DispatcherState::mayOpenLink(EndpointLinks& links, TimePoint now)
{
    const EndpointEntry* entry = directory_.find(links.id());
    const bool hasRoom
        = entry && (links.openCount() < connectionShare(*entry) || links.count(PooledLink::State::Idle) > 0);
    return hasRoom && links.mayConnect(now);
}

std::shared_ptr<PooledLink> DispatcherState::openLinkFor(
    EndpointLinks& links, const CustomerId& customer, TimePoint now)
{
    if (!mayOpenLink(links, now))
        return nullptr;
    const EndpointEntry& entry = *directory_.find(links.id());
    if (links.openCount() >= connectionShare(entry)) {
        links.takeLongestIdle()->abandon();
        metrics_.count("almondlever_endpoint_connections_replaced_total", "");
    }
    return openLink(links, entry, customer, now);
}

void DispatcherState::ensureOpenLink(const GroupId& group, TimePoint now)
{
    for (const EndpointEntry* entry : directory_.endpointsOf(group)) {
        EndpointLinks& links = linksOf(entry->id);
        if (links.openCount() == 0 && keptConnections(*entry) > 0 && !directory_.isLapsing(entry->id))
            openLinks(links, 1, now);
    }
}

void DispatcherState::onPooledLinkOpened(PooledLink& link, const Reply& reply, TimePoint now)
{
    EndpointLinks& links = linksOf(link.endpoint());
    links.noteOpened(link, now);
    onPooledLinkReply(link, reply, now);
    onRunLinkOpened(link, now);
    if (const EndpointEntry* entry = directory_.find(link.endpoint()))
        dispatch(entry->group, now);
}

void DispatcherState::onPooledLinkReply(PooledLink& link, const Reply& reply, TimePoint now)
{
    checkSuspension(now);
    linksOf(link.endpoint()).noteReply(reply, now);
    const EndpointEntry* entry = directory_.find(link.endpoint());
    if (!entry || !reply.position)
        return;
    directory_.noteTerm(entry->group, reply.position->term);
    // Positions of earlier terms may have been rolled back.
    const bool isOfPresentTerm = reply.position->term >= directory_.newestTermOf(entry->group);
    if (isOfPresentTerm && directory_.primaryOf(entry->group) != entry)
        queuesOf(entry->group).writes.noteReplicaPosition(*reply.position);
}

void DispatcherState::onUnmatchedReply(PooledLink& link, ReplyMatch match, const Reply& reply, TimePoint now)
{
    metrics_.count("almondlever_endpoint_unmatched_replies_total", std::string("result=\"") + toText(match) + '"');
    if (!log_.admits(0, now))
        return;
    const UnansweredCommand* oldest = link.oldestCommand();
    log_.write("endpoint_reply_unmatched",
        { { "endpoint", link.endpoint().text() }, { "result", toText(match) },
            { "command", oldest ? toText(oldest->kind) : "none" },
            { "reply", reply.error ? toText(*reply.error) : "success" }, { "state", toText(reply.state) },
            { "detail", reply.detail }, { "rows", std::to_string(reply.rows.size()) },
            { "displacements", std::to_string(link.displacements()) } });
}

void DispatcherState::onPooledLinkClosed(
    PooledLink& link, const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
{
    EndpointLinks& links = linksOf(link.endpoint());
    const std::size_t before = links.links().size();
    // Read first, because the loss itself may end the belief that the endpoint leads.
    const EndpointEntry* entry = directory_.find(link.endpoint());
    const GroupId group = entry ? entry->group : GroupId();
    const bool wasPrimary = entry && directory_.primaryOf(group) == entry;
    const bool wasOpening = !link.wasOpened();
    links.noteClosed(refusal, wasOpening, now);
    onRunLinkFailed(link, now);
    // Another server now uses the address, so the directory entry is outdated.
    if (refusal == StatementError::Misrouted)
        directory_.noteNotLeading(link.endpoint());
    metrics_.count(
        "almondlever_endpoint_connections_closed_total", wasOpening ? "state=\"opening\"" : "state=\"open\"");
    // Openings fail again and again while an endpoint is down; the loss of an open connection is always of interest.
    const bool isChange = before == 1 || refusal || !wasOpening;
    if (isChange && log_.admits(0, now)) {
        log_.write("endpoint_connection_lost",
            { { "endpoint", link.endpoint().text() }, { "reason", reason },
                { "refusal", refusal ? toText(*refusal) : "none" }, { "left", std::to_string(links.openCount()) },
                { "group", group.text() }, { "is_primary", wasPrimary ? "yes" : "no" } });
    }
}

void DispatcherState::closeUnresponsiveLinks(TimePoint now)
{
    std::vector<std::pair<std::shared_ptr<PooledLink>, std::string>> closing;
    for (auto& [id, links] : endpoints_) {
        if (links.areAllIdle())
            continue;
        for (const auto& link : links.links()) {
            if (link->state() == PooledLink::State::Opening && now - link->openedAt() > openTimeout)
                closing.emplace_back(link, "connecting timed out");
        }
        for (const auto& link : links.links()) {
            if (links.hasLostAnswer(*link, now))
                closing.emplace_back(link, "an answer is lost");
        }
        // A healthy endpoint may lose the answers on all open connections; a new connection proves that it works.
        if (links.isSilent(now))
            openLinks(links, 1, now, 1);
        const std::optional<TimePoint> since = links.suspectSince(now);
        if (!since)
            continue;
        // Reads are retried elsewhere at once; writes wait until their deadline, because they may have run.
        for (const auto& [ticket, run] : runs_) {
            const StatementRequest& request = pending_.at(ticket).request;
            const bool isRepeatable
                = run.isOpening || (!run.isInTransaction && (!request.isWrite || request.opensTransaction));
            if (run.link->endpoint() == id && isRepeatable)
                closing.emplace_back(run.link, "endpoint is silent");
        }
        for (const auto& link : links.links()) {
            const bool isProbe = link->state() == PooledLink::State::Busy && link->isWaiting()
                && now - link->waitingSince() > 2 * health_.silenceLimit;
            const bool hasRun = std::any_of(
                runs_.begin(), runs_.end(), [&link](const auto& entry) { return entry.second.link == link; });
            if (isProbe && !hasRun)
                closing.emplace_back(link, "endpoint is silent");
        }
    }
    for (const auto& [link, reason] : closing)
        link->close(reason, now);
}

void DispatcherState::sendReplicationCommand(const EndpointId& endpoint, const EndpointCommand& command,
    StatementDispatcher::ReplicationCommandCallback callback, TimePoint now, std::function<bool(TimePoint)> isCurrent)
{
    const auto onReply = [callback = std::move(callback)](const Reply* reply, const std::string& reason, TimePoint at) {
        if (!reply)
            return callback(std::nullopt, reason, at);
        if (reply->error)
            return callback(std::nullopt, toText(*reply->error) + (' ' + reply->detail), at);
        callback(reply->replication, reply->replication ? "" : "no status in the answer", at);
    };
    replicationCommands_[++lastTicket_]
        = { endpoint, command, onReply, now + settings_.replicationCommandTimeout, {}, false, std::move(isCurrent) };
    sendPendingReplicationCommands(now);
}

void DispatcherState::stepDown(const GroupId& group, const EndpointId& endpoint, Term term,
    StatementDispatcher::StepDownCallback callback, TimePoint now)
{
    queuesOf(group).heldUntil = now + settings_.stepDownHoldTime;
    EndpointCommand command;
    command.kind = EndpointCommand::Kind::StepDown;
    command.term = term;
    const auto onReply
        = [this, endpoint, callback = std::move(callback)](const Reply* reply, const std::string&, TimePoint at) {
              StepDownReport report;
              if (reply && reply->error == StatementError::Malformed)
                  report.result = StepDownResult::NotSupported;
              else if (reply && reply->replication)
                  report = { StepDownResult::Answered, *reply->replication };
              if (report.result == StepDownResult::Answered && !report.status.isPrimary)
                  directory_.noteNotLeading(endpoint);
              callback(report, at);
          };
    replicationCommands_[++lastTicket_] = { endpoint, command, onReply, now + settings_.replicationCommandTimeout,
        now + settings_.stepDownDrainTime, false, nullptr };
    sendPendingReplicationCommands(now);
}

void DispatcherState::endHold(const GroupId& group, TimePoint now)
{
    const auto found = groups_.find(group);
    if (found == groups_.end() || now >= found->second.heldUntil)
        return;
    found->second.heldUntil = now;
    dispatch(group, now);
}

bool DispatcherState::hasRuns(const EndpointId& endpoint) const
{
    return std::any_of(runs_.begin(), runs_.end(),
        [&endpoint](const auto& entry) { return entry.second.link->endpoint() == endpoint; });
}

void DispatcherState::sendPendingReplicationCommands(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (auto& [number, pending] : replicationCommands_) {
        const bool isOutdated = !pending.isSent && pending.isCurrent && !pending.isCurrent(now);
        if (now >= pending.deadline || isOutdated) {
            late.push_back(number);
            continue;
        }
        if (pending.isSent || (now < pending.drainUntil && hasRuns(pending.endpoint)))
            continue;
        EndpointLinks& links = linksOf(pending.endpoint);
        std::shared_ptr<PooledLink> link = links.findIdle();
        if (!link) {
            openLinks(links, 1, now);
            continue;
        }
        pending.isSent = true;
        link->setState(PooledLink::State::Busy, now);
        link->send(
            pending.command,
            [this, number = number, link](const Reply* reply, TimePoint at) {
                if (reply)
                    returnToPool(link, reply->state, at);
                completeReplicationCommand(number, reply, at);
            },
            now);
    }
    for (const std::uint64_t number : late)
        completeReplicationCommand(number, nullptr, now);
}

void DispatcherState::completeReplicationCommand(std::uint64_t number, const Reply* reply, TimePoint now)
{
    const auto found = replicationCommands_.find(number);
    if (found == replicationCommands_.end())
        return;
    PendingReplicationCommand& pending = found->second;
    const bool isStepDown = pending.command.kind == EndpointCommand::Kind::StepDown;
    if (isStepDown && reply && reply->error == StatementError::Busy && now < pending.deadline) {
        // Sent again with the next tick, since without it the change of primary cannot go on.
        pending.isSent = false;
        return;
    }
    const auto callback = std::move(pending.callback);
    std::string reason;
    if (!reply && !pending.isSent && now < pending.deadline)
        reason = "not sent: the change of primary has ended";
    else if (!reply)
        reason = pending.isSent ? "no answer" : describeMissingLink(pending.endpoint, now);
    replicationCommands_.erase(found);
    callback(reply, reason, now);
}

std::string DispatcherState::describeMissingLink(const EndpointId& endpoint, TimePoint now) const
{
    if (!directory_.find(endpoint))
        return "no connection: the endpoint is not listed";
    const EndpointLinks* links = findLinks(endpoint);
    const std::size_t opening = links ? links->count(PooledLink::State::Opening) : 0;
    const std::size_t idle = links ? links->count(PooledLink::State::Idle) : 0;
    const std::size_t busy = links ? links->openCount() - opening - idle : 0;
    if (idle > 0)
        return "no connection: none was idle before the deadline";
    if (busy > 0)
        return "no connection: all " + std::to_string(busy) + " open connections are busy";
    if (opening > 0)
        return "no connection: one is opening";
    if (links && !links->mayConnect(now))
        return "no connection: waiting to connect again after a failure";
    return "no connection";
}

void DispatcherState::noteLeading(
    const GroupId& group, const EndpointId& endpoint, const LogPosition& position, TimePoint askedAt)
{
    const EndpointEntry* before = directory_.primaryOf(group);
    const EndpointId previous = before ? before->id : EndpointId();
    directory_.noteLeading(endpoint, position.term);
    GroupQueues& queues = queuesOf(group);
    const EndpointEntry* primary = directory_.primaryOf(group);
    if (!primary || primary->id != endpoint)
        return;
    if (previous != endpoint || queues.lastPrimary != endpoint) {
        logInfo("primary_proven",
            { { "group", group.text() }, { "endpoint", endpoint.text() }, { "previous", previous.text() },
                { "term", std::to_string(position.term) } });
    }
    if (queues.lastPrimary != endpoint)
        noteNewPrimary(queues, endpoint);
    queues.history.add(askedAt, position);
}

void DispatcherState::queryPosition(const GroupId& group, const std::shared_ptr<PooledLink>& link, bool isRegular,
    TimePoint now, std::optional<TimePoint> firstSentAt)
{
    // Only a primary begins a read-write transaction, and beginning one takes no slot.
    link->setState(PooledLink::State::Busy, now);
    EndpointCommand begin;
    begin.kind = EndpointCommand::Kind::Begin;
    const auto finish = [this, group, isRegular] {
        if (isRegular)
            queuesOf(group).isQueryingPosition = false;
    };
    link->send(
        begin,
        [this, group, link, finish, isRegular, firstSentAt, before = link->displacements(), sentAt = now](
            const Reply* reply, TimePoint at) {
            if (!reply)
                return finish();
            if (reply->error) {
                finish();
                noteRefusal(link->endpoint(), *reply->error, at);
                returnToPool(link, reply->state, at);
                return onDirectoryChange(at);
            }
            // The position of an idle group seldom changes, so that equal answers are usual there.
            const bool isSuspect = link->hasSeenRepetitions() || !isIdle(queuesOf(group), at);
            const bool isRepeated = link->isLastAnswerLikely() && isSuspect && !firstSentAt;
            // Only the answer to the rollback shows that the one to the beginning was no repetition.
            const auto onRolledBack = [this, group, link, finish, isRegular, firstSentAt, before, sentAt, isRepeated,
                                          position = reply->position](TimePoint then) {
                if (isRepeated && link->state() == PooledLink::State::Idle)
                    return queryPosition(group, link, isRegular, then, sentAt);
                finish();
                if (position && link->displacements() == before && link->state() != PooledLink::State::Closed)
                    noteLeading(group, link->endpoint(), *position, firstSentAt.value_or(sentAt));
            };
            rollBack(link, at, onRolledBack);
        },
        now);
}

void DispatcherState::searchForPrimary(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    if (now - queues.lastPrimarySearchAt < settings_.primarySearchInterval)
        return;
    queues.lastPrimarySearchAt = now;
    for (const EndpointEntry* entry : directory_.endpointsOf(group)) {
        EndpointLinks& links = linksOf(entry->id);
        if (links.isSuspect(now))
            continue;
        if (const auto link = links.findIdle())
            queryPosition(group, link, false, now);
    }
}

void DispatcherState::refreshPrimaryPosition(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    if (queues.sharingDaemons == 0)
        return;
    // A new group counts as active, because it will probably be used soon.
    if (queues.lastSubmitAt == TimePoint {})
        queues.lastSubmitAt = now;
    EndpointLinks* primary = usablePrimary(group, now);
    if (!primary)
        return searchForPrimary(queues, group, now);
    const Milliseconds refresh
        = isIdle(queues, now) ? settings_.idleRefreshInterval : settings_.positionRefreshInterval;
    const std::optional<TimePoint> newest = queues.history.newestRequestTime();
    const bool isFresh = newest && now - *newest < refresh;
    if (isFresh || queues.isQueryingPosition)
        return;
    const auto link = primary->findIdle();
    if (!link)
        return;
    queues.isQueryingPosition = true;
    queryPosition(group, link, true, now);
}

} // namespace almondlever
