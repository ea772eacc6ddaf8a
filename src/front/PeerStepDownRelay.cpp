#include "almondlever/front/PeerStepDownRelay.h"

#include "almondlever/observability/DecisionLog.h"
#include "almondlever/placement/PeersToAsk.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Owners that are asked at once; one in each failure domain first. */
    constexpr std::size_t firstPeers = 16;
    /** Messages sent in one tick, over all groups, since each may open a channel. */
    constexpr std::size_t sendsPerTick = 64;
    /** Time that daemons other than the owners have to answer; few of them have connections to the primary. */
    constexpr Milliseconds otherAnswersTimeout { 200 };
    constexpr Milliseconds repeatInterval { 250 };
    constexpr std::size_t requestRepeats = 20;
    constexpr std::size_t closingRepeats = 8;
    /** Numbers of requests start here; those of questions about a suspicion, which share the message, stay below. */
    constexpr std::uint64_t firstRequestNumber = std::uint64_t { 1 } << 40U;

} // namespace

PeerStepDownRelay::PeerStepDownRelay(StatementDispatcher& dispatcher, VmId self, std::uint64_t firstNumber)
    : dispatcher_(dispatcher)
    , self_(std::move(self))
    , sendsLeft_(sendsPerTick)
    , lastNumber_(firstRequestNumber + firstNumber % firstRequestNumber)
{
}

std::vector<LiveDaemon> PeerStepDownRelay::ownersToAsk(const GroupId& group) const
{
    const auto owners = owners_.find(group);
    if (owners == owners_.end())
        return {};
    return peersToAsk(owners->second, self_, firstPeers, 0);
}

std::vector<LiveDaemon> PeerStepDownRelay::peersOf(const GroupId& group) const
{
    std::vector<LiveDaemon> peers = ownersToAsk(group);
    std::set<VmId> known { self_ };
    for (const LiveDaemon& peer : peers)
        known.insert(peer.id);
    // A daemon that is leaving still serves the sessions that it has.
    for (const LiveDaemon& member : members_) {
        if (known.insert(member.id).second)
            peers.push_back(member);
    }
    return peers;
}

bool PeerStepDownRelay::hasPeers(const GroupId& group) const { return network_ && !peersOf(group).empty(); }

std::vector<VmId> PeerStepDownRelay::sendNext(Broadcast& broadcast, std::size_t atLeast, TimePoint now)
{
    std::vector<VmId> sent;
    std::size_t count = std::min(std::max(atLeast, sendsLeft_), broadcast.unsent.size());
    sendsLeft_ -= std::min(sendsLeft_, count);
    if (!network_)
        count = 0;
    for (std::size_t index = 0; index < count; ++index) {
        const LiveDaemon& peer = broadcast.unsent[index];
        broadcast.asked.insert(peer.id);
        if (network_->send(peer.id, peer.peerAddress, broadcast.message))
            sent.push_back(peer.id);
    }
    broadcast.unsent.erase(broadcast.unsent.begin(), broadcast.unsent.begin() + static_cast<std::ptrdiff_t>(count));
    if (count > 0)
        broadcast.repeatAt = now + repeatInterval;
    return sent;
}

void PeerStepDownRelay::repeat(Broadcast& broadcast, const std::set<VmId>& except, TimePoint now)
{
    if (!broadcast.unsent.empty() || broadcast.repeatsLeft == 0 || now < broadcast.repeatAt)
        return;
    --broadcast.repeatsLeft;
    broadcast.repeatAt = now + repeatInterval;
    for (const LiveDaemon& peer : peersOf(broadcast.message.group)) {
        if (broadcast.answered.count(peer.id) == 0 && except.count(peer.id) == 0)
            broadcast.unsent.push_back(peer);
    }
}

void PeerStepDownRelay::request(
    const GroupId& group, const EndpointId& primary, Term term, std::uint64_t fence, Callback callback, TimePoint now)
{
    Holders& holders = holders_[group];
    if (holders.fence != fence)
        holders = { fence, {}, {} };
    Request& request = requests_[group];
    request = Request();
    request.callback = std::move(callback);
    request.startedAt = now;
    Broadcast& broadcast = request.broadcast;
    broadcast.message.number = ++lastNumber_;
    broadcast.message.group = group;
    broadcast.message.primary = primary;
    broadcast.message.stepDownTerm = term;
    broadcast.message.fence = fence;
    broadcast.unsent = peersOf(group);
    // Without a hold, an order that comes late helps nobody.
    broadcast.repeatsLeft = fence == 0 ? 0 : requestRepeats;
    const std::size_t peers = broadcast.unsent.size();
    const std::size_t owners = ownersToAsk(group).size();
    sendRequest(request, owners, now);
    logInfo("step_down_relayed",
        { { "group", group.text() }, { "primary", primary.text() }, { "term", std::to_string(term) },
            { "fence", std::to_string(fence) }, { "asked", std::to_string(request.awaited.size()) },
            { "peers", std::to_string(peers) } });
    reportIfComplete(group, now);
}

void PeerStepDownRelay::sendRequest(Request& request, std::size_t atLeast, TimePoint now)
{
    const std::vector<LiveDaemon> owners = ownersToAsk(request.broadcast.message.group);
    for (const VmId& id : sendNext(request.broadcast, atLeast, now)) {
        request.awaited.insert(id);
        const bool isOwner
            = std::any_of(owners.begin(), owners.end(), [&id](const LiveDaemon& owner) { return owner.id == id; });
        if (isOwner)
            request.awaitedOwners.insert(id);
    }
}

void PeerStepDownRelay::reportIfComplete(const GroupId& group, TimePoint now)
{
    const Request& request = requests_.at(group);
    if (!request.callback || !request.broadcast.unsent.empty())
        return;
    const bool hasWaited = request.awaitedOwners.empty() && now - request.startedAt >= otherAnswersTimeout;
    if (!request.awaited.empty() && !hasWaited)
        return;
    StepDownReport outcome;
    if (request.isNotSupported)
        outcome.result = StepDownResult::NotSupported;
    report(group, outcome, now);
}

void PeerStepDownRelay::report(const GroupId& group, const StepDownReport& outcome, TimePoint now)
{
    const auto found = requests_.find(group);
    const Callback callback = std::move(found->second.callback);
    found->second.callback = nullptr;
    if (found->second.broadcast.message.fence == 0)
        requests_.erase(found);
    if (callback)
        callback(outcome, now);
}

bool PeerStepDownRelay::areAllHolding(const GroupId& group, std::uint64_t fence) const
{
    const std::vector<LiveDaemon> peers = peersOf(group);
    if (peers.empty())
        return !members_.empty();
    const auto found = holders_.find(group);
    if (fence == 0 || found == holders_.end() || found->second.fence != fence)
        return false;
    const std::set<VmId>& holding = found->second.daemons;
    return std::all_of(
        peers.begin(), peers.end(), [&holding](const LiveDaemon& peer) { return holding.count(peer.id) > 0; });
}

LogPosition PeerStepDownRelay::acknowledgedPosition(const GroupId& group, std::uint64_t fence) const
{
    const auto found = holders_.find(group);
    return found != holders_.end() && found->second.fence == fence ? found->second.acknowledged : LogPosition();
}

void PeerStepDownRelay::close(
    const GroupId& group, std::uint64_t fence, const EndpointId& leader, Term term, TimePoint now)
{
    if (fence == 0)
        return;
    Broadcast broadcast;
    const auto request = requests_.find(group);
    if (request != requests_.end() && request->second.broadcast.message.fence == fence)
        requests_.erase(request);
    const auto holders = holders_.find(group);
    if (holders != holders_.end() && holders->second.fence == fence)
        holders_.erase(holders);
    broadcast.message.number = ++lastNumber_;
    broadcast.message.group = group;
    // Daemons of earlier versions take the message for a question about a suspicion.
    broadcast.message.fence = fence;
    broadcast.message.isClosed = true;
    broadcast.message.primary = leader;
    broadcast.message.leadingTerm = term;
    broadcast.unsent = peersOf(group);
    broadcast.repeatsLeft = closingRepeats;
    logInfo("write_hold_closed",
        { { "group", group.text() }, { "fence", std::to_string(fence) }, { "leader", leader.text() },
            { "term", std::to_string(term) }, { "peers", std::to_string(broadcast.unsent.size()) } });
    sendNext(broadcast, ownersToAsk(group).size(), now);
    closings_[{ group, fence }] = std::move(broadcast);
}

void PeerStepDownRelay::onTick(TimePoint now)
{
    sendsLeft_ = sendsPerTick;
    std::vector<GroupId> groups;
    for (auto& [group, request] : requests_) {
        repeat(request.broadcast, holders_[group].daemons, now);
        sendRequest(request, 0, now);
        groups.push_back(group);
    }
    for (auto it = closings_.begin(); it != closings_.end();) {
        Broadcast& broadcast = it->second;
        repeat(broadcast, {}, now);
        sendNext(broadcast, 0, now);
        const bool isDone = broadcast.unsent.empty() && broadcast.repeatsLeft == 0;
        it = isDone ? closings_.erase(it) : std::next(it);
    }
    for (const GroupId& group : groups) {
        if (requests_.count(group) > 0)
            reportIfComplete(group, now);
    }
}

bool PeerStepDownRelay::onAnswer(const VmId& from, const PrimarySuspicionAnswer& answer, TimePoint now)
{
    for (auto& [key, broadcast] : closings_) {
        if (broadcast.message.number != answer.number)
            continue;
        broadcast.answered.insert(from);
        return true;
    }
    const auto found = std::find_if(requests_.begin(), requests_.end(),
        [&answer](const auto& entry) { return entry.second.broadcast.message.number == answer.number; });
    if (found == requests_.end())
        return answer.number > firstRequestNumber;
    const GroupId group = found->first;
    Request& request = found->second;
    if (request.broadcast.asked.count(from) == 0)
        return true;
    if (answer.isHolding) {
        Holders& holders = holders_[group];
        holders.daemons.insert(from);
        holders.acknowledged = std::max(holders.acknowledged, answer.acknowledged);
    }
    // It holds the writes; the answer of the primary follows.
    if (answer.isHolding && !answer.stepDown)
        return true;
    request.broadcast.answered.insert(from);
    request.awaitedOwners.erase(from);
    if (request.awaited.erase(from) == 0 || !request.callback)
        return true;
    const StepDownReport received = answer.stepDown.value_or(StepDownReport());
    request.isNotSupported = request.isNotSupported || received.result == StepDownResult::NotSupported;
    if (received.result == StepDownResult::Answered)
        report(group, received, now);
    else
        reportIfComplete(group, now);
    return true;
}

bool PeerStepDownRelay::isClosed(const GroupId& group, std::uint64_t fence) const
{
    const auto found = closedFences_.find(group);
    return found != closedFences_.end() && fence <= found->second;
}

void PeerStepDownRelay::answer(
    const VmId& to, const PrimarySuspicion& query, const std::optional<StepDownReport>& report, TimePoint now)
{
    if (!network_)
        return;
    PrimarySuspicionAnswer message;
    message.number = query.number;
    message.opinion = dispatcher_.opinionOf(query.primary, now, now);
    message.stepDown = report;
    message.isHolding
        = query.fence != 0 && !isClosed(query.group, query.fence) && dispatcher_.areWritesHeld(query.group);
    if (message.isHolding)
        message.acknowledged = dispatcher_.acknowledgedToCallers(query.group);
    network_->send(to, "", message);
}

void PeerStepDownRelay::onQuery(const VmId& from, const PrimarySuspicion& query, TimePoint now)
{
    if (query.isClosed) {
        std::uint64_t& closed = closedFences_[query.group];
        closed = std::max(closed, query.fence);
        if (leaderCallback_ && query.leadingTerm != 0)
            leaderCallback_(query.group, query.primary, query.leadingTerm, now);
        if (holdCallback_)
            holdCallback_(query.group, query.fence, false, now);
        return answer(from, query, std::nullopt, now);
    }
    if (query.fence != 0) {
        // The order was overtaken by the end of its change.
        if (isClosed(query.group, query.fence))
            return answer(from, query, StepDownReport(), now);
        if (holdCallback_)
            holdCallback_(query.group, query.fence, true, now);
    }
    if (query.stepDownTerm != 0)
        orderStepDown(from, query, now);
    else
        answer(from, query, StepDownReport(), now);
}

void PeerStepDownRelay::orderStepDown(const VmId& from, const PrimarySuspicion& query, TimePoint now)
{
    Received& received = received_[query.group];
    if (received.from == from && received.number == query.number)
        return answer(from, query, received.report, now);
    received = { from, query.number, std::nullopt };
    const auto finish
        = [this, from, query, alive = std::weak_ptr<int>(alive_)](const StepDownReport& report, TimePoint at) {
              logInfo("step_down_ordered",
                  { { "group", query.group.text() }, { "primary", query.primary.text() }, { "for", from.text() },
                      { "term", std::to_string(query.stepDownTerm) }, { "outcome", toText(report.result) },
                      { "is_primary", report.status.isPrimary ? "yes" : "no" },
                      { "received", std::to_string(report.status.received.index) } });
              if (alive.expired())
                  return;
              Received& last = received_[query.group];
              if (last.from == from && last.number == query.number)
                  last.report = report;
              answer(from, query, report, at);
          };
    const bool isReachable = dispatcher_.isReachable(query.primary);
    // Daemons that are not owners open no connections for the order, since there may be hundreds of them.
    const bool isOwner = owners_.count(query.group) > 0;
    if (isReachable && query.fence != 0)
        answer(from, query, std::nullopt, now);
    // Also holds back new statements for a primary that this daemon does not reach at the moment.
    if (isReachable || isOwner) {
        dispatcher_.stepDown(
            query.group, query.primary, query.stepDownTerm,
            [finish, isReachable](const StepDownReport& report, TimePoint at) {
                if (isReachable)
                    finish(report, at);
            },
            now);
    }
    if (!isReachable)
        finish(StepDownReport(), now);
}

} // namespace almondlever
