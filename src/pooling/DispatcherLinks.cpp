#include "DispatcherState.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Connections to one endpoint that are opened at the same time; each takes a slot of the endpoint meanwhile. */
    constexpr std::size_t openingsAtOnce = 2;
    /** Time for a connection to open; three round trips between regions and the usual cost on the endpoint. */
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

std::size_t DispatcherState::shareOf(const EndpointEntry& entry, double part) const
{
    const auto found = groups_.find(entry.group);
    if (found == groups_.end() || found->second.sharers == 0)
        return 1;
    const double usable = static_cast<double>(found->second.rule.maximumConnections) * part;
    return std::max<std::size_t>(static_cast<std::size_t>(usable) / found->second.sharers, 1);
}

std::size_t DispatcherState::keptConnections(const EndpointEntry& entry) const
{
    const auto found = groups_.find(entry.group);
    const bool isSharer = found == groups_.end() || found->second.sharers > 0;
    return isSharer ? shareOf(entry, settings_.keptShare) : 0;
}

void DispatcherState::closeSpareLinks(TimePoint now)
{
    for (auto& [id, links] : endpoints_) {
        const EndpointEntry* entry = directory_.find(id);
        const std::size_t kept = entry ? keptConnections(*entry) : 0;
        if (links.openCount() <= kept)
            continue;
        // One at a time: the load may be about to return.
        if (const auto link = links.takeIdleSince(now - settings_.spareIdleTime))
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
    for (std::size_t number = opening; number < limit && links.openCount() < share + extra; ++number) {
        const auto link = std::make_shared<PooledLink>(*this, links.id(), now);
        links.links().push_back(link);
        metrics_.count("almondlever_endpoint_connections_total", "");
        link->attach(connector_.connect(*entry, link));
    }
}

void DispatcherState::openWarmLinks(const GroupId& group, TimePoint now)
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
    links.noteOpened(now);
    onPooledLinkReply(link, reply, now);
    if (const EndpointEntry* entry = directory_.find(link.endpoint()))
        dispatch(entry->group, now);
}

void DispatcherState::onPooledLinkReply(PooledLink& link, const Reply& reply, TimePoint now)
{
    linksOf(link.endpoint()).noteReply(reply, now);
    const EndpointEntry* entry = directory_.find(link.endpoint());
    if (!entry || !reply.position)
        return;
    directory_.noteTerm(entry->group, reply.position->term);
    // Positions of an earlier term may have been rolled back.
    const bool isOfPresentTerm = reply.position->term >= directory_.newestTermOf(entry->group);
    if (isOfPresentTerm && directory_.primaryOf(entry->group) != entry)
        queuesOf(entry->group).writes.noteHeldByReplica(*reply.position);
}

void DispatcherState::onPooledLinkClosed(
    PooledLink& link, const std::string& reason, std::optional<StatementError> refusal, TimePoint now)
{
    EndpointLinks& links = linksOf(link.endpoint());
    const std::size_t before = links.links().size();
    const bool wasOpening = !link.wasOpened();
    links.noteClosed(refusal, wasOpening, now);
    // Another server uses the address by now, so the entry is outdated.
    if (refusal == StatementError::Misrouted)
        directory_.noteNotLeading(link.endpoint());
    metrics_.count(
        "almondlever_endpoint_connections_closed_total", wasOpening ? "state=\"opening\"" : "state=\"open\"");
    const bool isChange = before == 1 || refusal;
    if (isChange && log_.admits(0, now)) {
        log_.write("endpoint_connection_lost",
            { { "endpoint", link.endpoint().text() }, { "reason", reason },
                { "refusal", refusal ? toText(*refusal) : "none" }, { "left", std::to_string(links.openCount()) } });
    }
}

void DispatcherState::closeStuckLinks(TimePoint now)
{
    std::vector<std::pair<std::shared_ptr<PooledLink>, std::string>> closing;
    for (auto& [id, links] : endpoints_) {
        if (links.isAtRest())
            continue;
        for (const auto& link : links.links()) {
            if (link->state() == PooledLink::State::Opening && now - link->openedAt() > openTimeout)
                closing.emplace_back(link, "connecting timed out");
        }
        for (const auto& link : links.links()) {
            if (links.hasLostAnswer(*link, now))
                closing.emplace_back(link, "an answer is lost");
        }
        // Answers may be lost on every open connection of an endpoint that lives; a new connection shows it.
        if (links.isQuiet(now))
            openLinks(links, 1, now, 1);
        const std::optional<TimePoint> since = links.suspectSince(now);
        if (!since)
            continue;
        // Reads can run elsewhere at once; a write is awaited until its deadline, because it may have run.
        for (const auto& [ticket, run] : runs_) {
            const StatementRequest& request = pending_.at(ticket).request;
            const bool isRepeatable = !run.isInTransaction && (!request.isWrite || request.opensTransaction);
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

void DispatcherState::order(const EndpointId& endpoint, const EndpointCommand& command,
    StatementDispatcher::OrderCallback callback, TimePoint now)
{
    orders_[++lastTicket_] = { endpoint, command, std::move(callback), now + settings_.orderTimeout, false };
    sendWaitingOrders(now);
}

void DispatcherState::sendWaitingOrders(TimePoint now)
{
    std::vector<std::uint64_t> late;
    for (auto& [number, order] : orders_) {
        if (now >= order.deadline) {
            late.push_back(number);
            continue;
        }
        if (order.isSent)
            continue;
        EndpointLinks& links = linksOf(order.endpoint);
        std::shared_ptr<PooledLink> link = links.findIdle(SessionContents());
        if (!link) {
            openLinks(links, 1, now);
            continue;
        }
        order.isSent = true;
        link->setState(PooledLink::State::Busy, now);
        link->send(
            order.command,
            [this, number = number, link](const Reply* reply, TimePoint at) {
                if (reply)
                    putBack(link, reply->state, at);
                answerOrder(number, reply, at);
            },
            now);
    }
    for (const std::uint64_t number : late)
        answerOrder(number, nullptr, now);
}

void DispatcherState::answerOrder(std::uint64_t number, const Reply* reply, TimePoint now)
{
    const auto found = orders_.find(number);
    if (found == orders_.end())
        return;
    const StatementDispatcher::OrderCallback callback = std::move(found->second.callback);
    const bool wasSent = found->second.isSent;
    orders_.erase(found);
    if (!reply)
        return callback(std::nullopt, wasSent ? "no answer" : "no connection", now);
    if (reply->error)
        return callback(std::nullopt, toText(*reply->error) + (' ' + reply->detail), now);
    callback(reply->replication, reply->replication ? "" : "no status in the answer", now);
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

void DispatcherState::askPosition(
    const GroupId& group, const std::shared_ptr<PooledLink>& link, bool isRegular, TimePoint now)
{
    // A transaction that may write is begun only by a primary, and beginning one takes no slot.
    link->setState(PooledLink::State::Busy, now);
    EndpointCommand begin;
    begin.kind = EndpointCommand::Kind::Begin;
    link->send(
        begin,
        [this, group, link, isRegular, sentAt = now](const Reply* reply, TimePoint at) {
            if (isRegular)
                queuesOf(group).isProbing = false;
            if (!reply)
                return;
            if (reply->error) {
                noteRefusal(link->endpoint(), *reply->error, at);
                putBack(link, reply->state, at);
                return onDirectoryChange(at);
            }
            if (reply->position)
                noteLeading(group, link->endpoint(), *reply->position, sentAt);
            rollBack(link, at);
            dispatch(group, at);
        },
        now);
}

void DispatcherState::askWhoLeads(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    if (now - queues.searchedAt < settings_.leaderSearchInterval)
        return;
    queues.searchedAt = now;
    for (const EndpointEntry* entry : directory_.endpointsOf(group)) {
        EndpointLinks& links = linksOf(entry->id);
        if (links.isSuspect(now))
            continue;
        if (const auto link = links.findIdle(SessionContents()))
            askPosition(group, link, false, now);
    }
}

void DispatcherState::askForPosition(GroupQueues& queues, const GroupId& group, TimePoint now)
{
    if (queues.sharers == 0)
        return;
    // A group that is new is about to be used.
    if (queues.demandedAt == TimePoint {})
        queues.demandedAt = now;
    EndpointLinks* primary = usablePrimary(group, now);
    if (!primary)
        return askWhoLeads(queues, group, now);
    const Milliseconds refresh = isIdle(queues, now) ? settings_.idleRefresh : settings_.positionRefresh;
    const std::optional<TimePoint> newest = queues.history.newestQuestion();
    const bool isFresh = newest && now - *newest < refresh;
    if (isFresh || queues.isProbing)
        return;
    const auto link = primary->findIdle(SessionContents());
    if (!link)
        return;
    queues.isProbing = true;
    askPosition(group, link, true, now);
}

} // namespace almondlever
