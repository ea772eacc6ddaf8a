// The part of Membership that implements probes, state transfer, suspicion, partners and reconnection.
#include "almondlever/membership/Membership.h"

#include "MembershipConstants.h"

#include <algorithm>

namespace almondlever {

namespace {

    using State = MemberRecord::State;

    /** A relayed probe is discarded after this time. The requester has given up by then. */
    constexpr std::chrono::seconds relayedProbeLifetime { 2 };

} // namespace

void Membership::startProbe(GossipActions& actions, const VmId& target, TimePoint now)
{
    probes_.push_back({ target, ++sequence_, now, false, false, {}, {} });
    send(actions, target, makeGossip(Gossip::Kind::Ping, sequence_, target));
}

void Membership::onAck(GossipActions& actions, const VmId& from, const Gossip& gossip)
{
    const VmId& answered = gossip.target.isEmpty() ? from : gossip.target;
    const auto isAnswered
        = [&](const Probe& probe) { return probe.sequence == gossip.sequence && probe.target == answered; };
    probes_.erase(std::remove_if(probes_.begin(), probes_.end(), isAnswered), probes_.end());
    const auto relay = std::find_if(relayedProbes_.begin(), relayedProbes_.end(), [&](const RelayedProbe& candidate) {
        return candidate.sequence == gossip.sequence && candidate.target == from;
    });
    if (relay != relayedProbes_.end()) {
        Gossip forwarded = makeGossip(Gossip::Kind::Ack, relay->requesterSequence, relay->requester);
        forwarded.target = from;
        send(actions, relay->requester, std::move(forwarded));
        relayedProbes_.erase(relay);
    }
    // The peer has an older set of leaving VMs; the ping carries the current one.
    if (gossip.vmListVersion < vmListVersion_)
        send(actions, from, makeGossip(Gossip::Kind::Ping, 0, from));
}

void Membership::onPingRequest(GossipActions& actions, const VmId& from, const Gossip& gossip, TimePoint now)
{
    relayedProbes_.erase(std::remove_if(relayedProbes_.begin(), relayedProbes_.end(),
                             [now](const RelayedProbe& relay) { return now - relay.sentAt > relayedProbeLifetime; }),
        relayedProbes_.end());
    if (members_.count(gossip.target) == 0)
        return;
    relayedProbes_.push_back({ ++sequence_, from, gossip.sequence, gossip.target, now });
    send(actions, gossip.target, makeGossip(Gossip::Kind::Ping, sequence_, gossip.target));
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
    Gossip request = makeGossip(Gossip::Kind::StateRequest, 0, from);
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
    Gossip request = makeGossip(Gossip::Kind::StateRequest, 0, *peer);
    request.target = stateCursor_;
    send(actions, *peer, std::move(request));
}

void Membership::probeIndirectly(GossipActions& actions, Probe& probe)
{
    if (probe.isIndirect)
        return;
    probe.isIndirect = true;
    std::set<VmId> excluded { probe.target };
    for (std::size_t helper = 0; helper < settings_.indirectProbes; ++helper) {
        const auto proxyMember = randomMember(excluded);
        if (!proxyMember)
            break;
        excluded.insert(*proxyMember);
        Gossip request = makeGossip(Gossip::Kind::PingRequest, probe.sequence, *proxyMember);
        request.target = probe.target;
        send(actions, *proxyMember, std::move(request));
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
            send(actions, probe.target, makeGossip(Gossip::Kind::Ping, probe.sequence, probe.target));
        }
        if (now - probe.sentAt >= settings_.probeTimeout)
            probeIndirectly(actions, probe);
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
        change(
            position, { probe.target, {}, {}, State::Suspect, position->second.incarnation }, Dissemination::Yes, now);
}

void Membership::checkSuspects(TimePoint now)
{
    if (isIsolated(now))
        return;
    std::vector<VmId> expired;
    for (const auto& [id, since] : suspects_) {
        if (now - since >= suspicionTimeoutOf(id))
            expired.push_back(id);
    }
    for (const VmId& id : expired) {
        const auto position = members_.find(id);
        change(position, { id, {}, {}, State::Dead, position->second.incarnation }, Dissemination::Yes, now);
    }
}

/*
 * Discarding a tombstone is safe although a daemon that was isolated may still hold the old record. Ids are never
 * reused, so the record can only name a VM that is gone. It would be accepted once, fail its probes and be removed
 * again within seconds, and no safety property depends on the view. If no daemon was isolated, no such record is left,
 * since updates are sent for a few seconds only, much less than the lifetime of a tombstone.
 */
void Membership::expireTombstones(TimePoint now)
{
    while (!tombstones_.empty() && now - tombstones_.front().first >= settings_.tombstoneLifetime) {
        const auto position = members_.find(tombstones_.front().second);
        const bool isRecent = std::any_of(std::next(tombstones_.begin()), tombstones_.end(),
            [this](const auto& later) { return later.second == tombstones_.front().second; });
        if (position != members_.end() && position->second.state == State::Dead && !isRecent)
            members_.erase(position);
        tombstones_.pop_front();
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
    const bool hasNewUpdates = std::any_of(pendingUpdates_.begin(), pendingUpdates_.end(),
        [this](const PendingUpdate& pending) { return pending.sendCount < settings_.pushFanOut; });
    if (now < nextPushAt_ || (!hasNewUpdates && pendingVersionPushes_ == 0))
        return;
    nextPushAt_ = now + settings_.pushInterval;
    pendingVersionPushes_ -= std::min<std::size_t>(pendingVersionPushes_, 1);
    std::set<VmId> reached;
    while (reached.size() < settings_.pushFanOut) {
        const auto target = randomMember(reached);
        if (!target)
            return;
        reached.insert(*target);
        send(actions, *target, makeGossip(Gossip::Kind::Ping, 0, *target));
    }
}

void Membership::reconnect(GossipActions& actions, TimePoint now)
{
    if (now < nextReconnectAt_)
        return;
    const std::size_t factor = std::max<std::size_t>(1, live_.size() / settings_.largeFleet);
    nextReconnectAt_ = now + settings_.reconnectInterval * factor;
    if (tombstones_.empty())
        return;
    const VmId& id = tombstones_[randomBelow(tombstones_.size())].second;
    const auto position = members_.find(id);
    const bool canReturn = position != members_.end() && position->second.state == State::Dead
        && position->second.incarnation != finalIncarnation;
    if (canReturn)
        send(actions, id, makeGossip(Gossip::Kind::Ping, ++sequence_, id));
}

} // namespace almondlever
