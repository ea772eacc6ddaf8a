// Probes, state transfer, suspicion, partners and reconnection of Membership.
#include "almondlever/membership/Membership.h"

#include "MembershipConstants.h"

#include <algorithm>

namespace almondlever {

namespace {

    using State = MemberRecord::State;

    /** A relayed probe is forgotten after this time; the requester has given up by then. */
    constexpr std::chrono::seconds relayLifetime { 2 };

} // namespace

void Membership::startProbe(GossipActions& actions, const VmId& target, TimePoint now)
{
    probes_.push_back({ target, ++sequence_, now, false, false, {}, {} });
    send(actions, target, compose(Gossip::Kind::Ping, sequence_, target));
}

void Membership::onAck(GossipActions& actions, const VmId& from, const Gossip& gossip)
{
    const VmId& answered = gossip.target.isEmpty() ? from : gossip.target;
    const auto isAnswered
        = [&](const Probe& probe) { return probe.sequence == gossip.sequence && probe.target == answered; };
    probes_.erase(std::remove_if(probes_.begin(), probes_.end(), isAnswered), probes_.end());
    const auto relay = std::find_if(relays_.begin(), relays_.end(),
        [&](const Relay& candidate) { return candidate.sequence == gossip.sequence && candidate.target == from; });
    if (relay != relays_.end()) {
        Gossip passedOn = compose(Gossip::Kind::Ack, relay->requesterSequence, relay->requester);
        passedOn.target = from;
        send(actions, relay->requester, std::move(passedOn));
        relays_.erase(relay);
    }
    // The answer shows that the peer lacks the newest set of leaving VMs.
    if (gossip.vmListVersion < vmListVersion_)
        send(actions, from, compose(Gossip::Kind::Ping, 0, from));
}

void Membership::onPingRequest(GossipActions& actions, const VmId& from, const Gossip& gossip, TimePoint now)
{
    relays_.erase(std::remove_if(relays_.begin(), relays_.end(),
                      [now](const Relay& relay) { return now - relay.sentAt > relayLifetime; }),
        relays_.end());
    if (members_.count(gossip.target) == 0)
        return;
    relays_.push_back({ ++sequence_, from, gossip.sequence, gossip.target, now });
    send(actions, gossip.target, compose(Gossip::Kind::Ping, sequence_, gossip.target));
}

void Membership::onStateRequest(GossipActions& actions, const VmId& from, const Gossip& gossip)
{
    Gossip reply;
    reply.kind = Gossip::Kind::StateReply;
    reply.target = gossip.target;
    reply.configurationVersion = configurationVersion_;
    reply.vmListVersion = vmListVersion_;
    for (auto position = members_.upper_bound(gossip.target);
         position != members_.end() && reply.records.size() < settings_.recordsPerStateReply; ++position)
        reply.records.push_back(record(position->first, position->second));
    send(actions, from, std::move(reply));
}

void Membership::onStateReply(GossipActions& actions, const VmId& from, const Gossip& gossip, TimePoint now)
{
    if (hasJoined_ || from != statePeer_ || gossip.target != stateCursor_)
        return;
    if (gossip.records.empty()) {
        hasJoined_ = true;
        return;
    }
    stateCursor_ = std::max(stateCursor_, gossip.records.back().id);
    stateRequestedAt_ = now;
    Gossip request = compose(Gossip::Kind::StateRequest, 0, from);
    request.target = stateCursor_;
    send(actions, from, std::move(request));
}

void Membership::requestState(GossipActions& actions, TimePoint now)
{
    if (hasJoined_ || now - stateRequestedAt_ < stateTimeout)
        return;
    const auto peer = randomMember({ statePeer_ });
    if (!peer)
        return;
    statePeer_ = *peer;
    stateRequestedAt_ = now;
    Gossip request = compose(Gossip::Kind::StateRequest, 0, *peer);
    request.target = stateCursor_;
    send(actions, *peer, std::move(request));
}

void Membership::probeThroughOthers(GossipActions& actions, Probe& probe)
{
    if (probe.isIndirect)
        return;
    probe.isIndirect = true;
    std::set<VmId> excluded { probe.target };
    for (std::size_t helper = 0; helper < settings_.indirectProbes; ++helper) {
        const auto through = randomMember(excluded);
        if (!through)
            break;
        excluded.insert(*through);
        Gossip request = compose(Gossip::Kind::PingRequest, probe.sequence, *through);
        request.target = probe.target;
        send(actions, *through, std::move(request));
    }
}

bool Membership::hasFailed(const Probe& probe, TimePoint now) const
{
    if (probe.refusedAt && now - *probe.refusedAt >= settings_.refusedProbeTimeout)
        return true;
    return now - probe.sentAt >= 2 * settings_.probeTimeout;
}

void Membership::checkProbes(GossipActions& actions, TimePoint now)
{
    std::vector<Probe> failed;
    for (Probe& probe : probes_) {
        if (hasFailed(probe, now)) {
            failed.push_back(probe);
            continue;
        }
        const bool isReconnecting = probe.isChannelLost && !probe.refusedAt && !probe.isIndirect;
        if (isReconnecting && now - probe.repeatedAt >= settings_.reconnectProbeInterval) {
            probe.repeatedAt = now;
            send(actions, probe.target, compose(Gossip::Kind::Ping, probe.sequence, probe.target));
        }
        if (now - probe.sentAt >= settings_.probeTimeout)
            probeThroughOthers(actions, probe);
    }
    for (const Probe& probe : failed) {
        probes_.erase(std::remove_if(probes_.begin(), probes_.end(),
                          [&probe](const Probe& other) { return other.sequence == probe.sequence; }),
            probes_.end());
        onProbeFailed(probe, now);
    }
}

void Membership::onProbeFailed(const Probe& probe, TimePoint now)
{
    const auto position = members_.find(probe.target);
    if (position == members_.end() || position->second.state == State::Dead || isIsolated(now))
        return;
    if (probe.refusedAt)
        refusing_.insert(probe.target);
    if (position->second.state != State::Suspect)
        change(position, { probe.target, {}, {}, State::Suspect, position->second.incarnation }, Spread::Yes, now);
}

void Membership::checkSuspects(TimePoint now)
{
    if (isIsolated(now))
        return;
    std::vector<VmId> expired;
    for (const auto& [id, since] : suspects_) {
        if (now - since >= suspicionTimeOf(id))
            expired.push_back(id);
    }
    for (const VmId& id : expired) {
        const auto position = members_.find(id);
        change(position, { id, {}, {}, State::Dead, position->second.incarnation }, Spread::Yes, now);
    }
}

/*
 * Forgetting a removal is safe although a daemon that was cut off may still hold the old record: ids are never reused,
 * so the record can only name a VM that is gone. It would be accepted once, fail its probes, and be removed again
 * within seconds; nothing that must hold at all times rests on the view. Without cut-off daemons no such record is
 * left, since news are sent for some seconds only, much less than the time for which removals are kept.
 */
void Membership::expireRemoved(TimePoint now)
{
    while (!removed_.empty() && now - removed_.front().first >= settings_.removalMemory) {
        const auto position = members_.find(removed_.front().second);
        const bool isRecent = std::any_of(std::next(removed_.begin()), removed_.end(),
            [this](const auto& later) { return later.second == removed_.front().second; });
        if (position != members_.end() && position->second.state == State::Dead && !isRecent)
            members_.erase(position);
        removed_.pop_front();
    }
}

void Membership::rotatePartners(TimePoint now)
{
    const std::size_t wanted = settings_.partners;
    if (live_.size() <= 2 * wanted) {
        partners_.clear();
        return;
    }
    if (now >= nextPartnerAt_ && !partners_.empty()) {
        partners_.erase(partners_.begin());
        nextPartnerAt_ = now + settings_.partnerInterval;
    }
    while (partners_.size() < wanted) {
        const VmId& candidate = live_[randomBelow(live_.size())]->first;
        if (std::find(partners_.begin(), partners_.end(), candidate) == partners_.end())
            partners_.push_back(candidate);
    }
}

void Membership::push(GossipActions& actions, TimePoint now)
{
    const bool hasFreshNews = std::any_of(
        news_.begin(), news_.end(), [this](const News& news) { return news.sends < settings_.pushFanOut; });
    if (now < nextPushAt_ || (!hasFreshNews && versionPushes_ == 0))
        return;
    nextPushAt_ = now + settings_.pushInterval;
    versionPushes_ -= std::min<std::size_t>(versionPushes_, 1);
    std::set<VmId> reached;
    while (reached.size() < settings_.pushFanOut) {
        const auto target = randomMember(reached);
        if (!target)
            return;
        reached.insert(*target);
        send(actions, *target, compose(Gossip::Kind::Ping, 0, *target));
    }
}

void Membership::reconnect(GossipActions& actions, TimePoint now)
{
    if (now < nextReconnectAt_)
        return;
    const std::size_t stretch = std::max<std::size_t>(1, live_.size() / settings_.largeFleet);
    nextReconnectAt_ = now + settings_.reconnectInterval * stretch;
    if (removed_.empty())
        return;
    const VmId& id = removed_[randomBelow(removed_.size())].second;
    const auto position = members_.find(id);
    const bool mayReturn = position != members_.end() && position->second.state == State::Dead
        && position->second.incarnation != finalIncarnation;
    if (mayReturn)
        send(actions, id, compose(Gossip::Kind::Ping, ++sequence_, id));
}

} // namespace almondlever
