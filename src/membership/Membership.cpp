#include "almondlever/membership/Membership.h"

#include "MembershipConstants.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    using State = MemberRecord::State;

    /** Push rounds after the configuration or VM list version increased. The second reaches members that the first
     * missed. */
    constexpr std::size_t pushesPerVersion = 2;

    /** A record is sent in about sendCountFactor * log2(fleet size) messages, then dropped from the pending updates. */
    constexpr double sendCountFactor = 2.0;

} // namespace

Membership::Membership(const LiveDaemon& self, const MembershipSettings& settings, std::uint64_t seed, TimePoint now)
    : self_(self)
    , settings_(settings)
    , random_(seed)
    , lastReceivedAt_(now)
    , nextPushAt_(now)
    , nextPartnerAt_(now)
    , nextReconnectAt_(now + settings.reconnectInterval)
    , stateRequestedAt_(now - stateTimeout)
{
    // A random offset keeps daemons that start together from probing at the same moments.
    nextProbeAt_ = now + Milliseconds(randomBelow(settings_.probeInterval.count()));
    disseminate(self_.id);
}

GossipActions Membership::onTick(TimePoint now)
{
    GossipActions actions;
    checkProbes(actions, now);
    checkSuspects(now);
    expireTombstones(now);
    rotatePartners(now);
    requestState(actions, now);
    if (now >= nextProbeAt_) {
        nextProbeAt_ = now + currentProbeInterval();
        if (const auto target = nextProbeTarget())
            startProbe(actions, *target, now);
    }
    push(actions, now);
    reconnect(actions, now);
    return actions;
}

GossipActions Membership::onGossip(const LiveDaemon& from, const Gossip& gossip, TimePoint now)
{
    GossipActions actions;
    if (from.id == self_.id)
        return actions;
    lastReceivedAt_ = now;
    refusing_.erase(from.id);
    addSender(from, now);
    for (const MemberRecord& update : gossip.records)
        apply(update, gossip.kind == Gossip::Kind::StateReply ? Dissemination::No : Dissemination::Yes, now);
    updateVersions(from, gossip);
    switch (gossip.kind) {
    case Gossip::Kind::Ping:
        if (gossip.sequence != 0)
            send(actions, from.id, makeGossip(Gossip::Kind::Ack, gossip.sequence, from.id));
        break;
    case Gossip::Kind::Ack:
        onAck(actions, from.id, gossip);
        break;
    case Gossip::Kind::PingRequest:
        onPingRequest(actions, from.id, gossip, now);
        break;
    case Gossip::Kind::StateRequest:
        onStateRequest(actions, from.id, gossip);
        break;
    case Gossip::Kind::StateReply:
        onStateReply(actions, from.id, gossip, now);
        break;
    }
    return actions;
}

GossipActions Membership::onVmList(const std::vector<VmListEntry>& entries, std::uint64_t version, TimePoint now)
{
    if (version < vmListVersion_)
        return {};
    std::set<VmId> leaving;
    std::set<VmId> daemons;
    for (const VmListEntry& entry : entries) {
        if (entry.state == VmState::Leaving)
            leaving.insert(entry.id);
        if (!entry.peerAddress.empty())
            daemons.insert(entry.id);
    }
    std::vector<VmId> dropped;
    std::set_difference(
        listedDaemons_.begin(), listedDaemons_.end(), daemons.begin(), daemons.end(), std::back_inserter(dropped));
    if (dropped.size() > 1 && dropped.size() * 2 > listedDaemons_.size())
        return {};

    for (const VmListEntry& entry : entries) {
        const bool isSeed = !hasVmList_ && !entry.peerAddress.empty() && entry.id != self_.id;
        if (isSeed && members_.count(entry.id) == 0)
            add({ entry.id, entry.failureDomain, entry.peerAddress, State::Alive, 0 }, Dissemination::No, now);
    }
    for (const VmId& id : dropped)
        apply({ id, {}, {}, State::Dead, finalIncarnation }, Dissemination::Yes, now);
    if (version > vmListVersion_)
        pendingVersionPushes_ = pushesPerVersion;
    if (leaving != leavingVms_)
        ++revision_;
    hasVmList_ = true;
    vmListVersion_ = version;
    leavingVms_ = std::move(leaving);
    listedDaemons_ = std::move(daemons);
    return onTick(now);
}

GossipActions Membership::onPeerLost(const VmId& id, TimePoint now)
{
    GossipActions actions;
    const auto position = members_.find(id);
    if (position == members_.end() || position->second.state == State::Dead)
        return actions;
    auto probe = std::find_if(
        probes_.begin(), probes_.end(), [&id](const Probe& candidate) { return candidate.target == id; });
    if (probe == probes_.end()) {
        startProbe(actions, id, now);
        probe = std::prev(probes_.end());
    }
    if (!probe->isChannelLost) {
        probe->isChannelLost = true;
        probe->repeatedAt = now;
    } else if (!probe->refusedAt) {
        probe->refusedAt = now;
        probeIndirectly(actions, *probe);
    }
    return actions;
}

GossipActions Membership::leave(TimePoint now)
{
    if (!self_.isLeaving) {
        self_.isLeaving = true;
        ++incarnation_;
        ++revision_;
        disseminate(self_.id);
        nextPushAt_ = now;
    }
    return onTick(now);
}

void Membership::setConfigurationVersion(std::uint64_t version)
{
    if (version <= configurationVersion_)
        return;
    configurationVersion_ = version;
    pendingVersionPushes_ = pushesPerVersion;
    if (version >= newestConfiguration_.version)
        newestConfiguration_ = { version, self_.id, self_.peerAddress };
}

MembershipView Membership::view() const
{
    MembershipView view;
    view.revision = revision_;
    const auto append
        = [this, &view](const VmId& id, const FailureDomainId& domain, const std::string& address, bool isLeaving) {
              view.daemons.push_back({ id, domain, address, isLeaving || leavingVms_.count(id) != 0 });
          };
    bool hasSelf = false;
    for (const auto& [id, member] : members_) {
        if (!hasSelf && self_.id < id) {
            append(self_.id, self_.failureDomain, self_.peerAddress, self_.isLeaving);
            hasSelf = true;
        }
        if (member.state != State::Dead)
            append(id, member.failureDomain, member.address, member.isLeaving);
    }
    if (!hasSelf)
        append(self_.id, self_.failureDomain, self_.peerAddress, self_.isLeaving);
    return view;
}

bool Membership::contains(const VmId& id) const
{
    const auto position = members_.find(id);
    return id == self_.id || (position != members_.end() && position->second.state != State::Dead);
}

void Membership::addSender(const LiveDaemon& from, TimePoint now)
{
    // A daemon that is not in the platform's list yet is accepted, since it proved knowledge of the cluster key.
    if (members_.count(from.id) == 0)
        add({ from.id, from.failureDomain, from.peerAddress, State::Alive, 0 }, Dissemination::Yes, now);
}

void Membership::apply(const MemberRecord& update, Dissemination dissemination, TimePoint now)
{
    if (update.id == self_.id) {
        applyToSelf(update);
        return;
    }
    const auto position = members_.find(update.id);
    if (position == members_.end())
        add(update, dissemination, now);
    else if (supersedes(update, position->second))
        change(position, update, dissemination, now);
}

void Membership::applyToSelf(const MemberRecord& update)
{
    const bool claimsFailure = update.state == State::Suspect || update.state == State::Dead;
    if (update.incarnation == finalIncarnation || update.incarnation < incarnation_)
        return;
    // Refutes a Suspect or Dead record with the current incarnation, and any record with a higher incarnation, which
    // stems from an earlier process on the same VM.
    if (!claimsFailure && update.incarnation == incarnation_)
        return;
    incarnation_ = update.incarnation + 1;
    disseminate(self_.id);
}

bool Membership::supersedes(const MemberRecord& update, const Member& known) const
{
    if (known.state == State::Dead)
        return update.incarnation > known.incarnation;
    switch (update.state) {
    case State::Alive:
    case State::Leaving:
        return update.incarnation > known.incarnation;
    case State::Suspect:
        return update.incarnation > known.incarnation
            || (update.incarnation == known.incarnation && known.state != State::Suspect);
    case State::Dead:
        break;
    }
    return update.incarnation >= known.incarnation;
}

void Membership::add(const MemberRecord& update, Dissemination dissemination, TimePoint now)
{
    const auto position = members_.emplace(update.id, Member {}).first;
    Member& member = position->second;
    member.failureDomain = update.failureDomain;
    member.address = update.peerAddress;
    member.state = State::Dead;
    if (update.state == State::Dead) {
        // The record is kept so that an older one that arrives later is rejected. It is not passed on, since the
        // daemons that detected the death disseminate it.
        member.incarnation = update.incarnation;
        tombstones_.emplace_back(now, update.id);
        return;
    }
    change(position, update, dissemination, now);
}

void Membership::change(
    Members::iterator position, const MemberRecord& update, Dissemination dissemination, TimePoint now)
{
    const VmId& id = position->first;
    Member& member = position->second;
    const bool wasDead = member.state == State::Dead;
    const bool isDead = update.state == State::Dead;
    if (!update.peerAddress.empty()) {
        member.address = update.peerAddress;
        member.failureDomain = update.failureDomain;
    }
    member.incarnation = update.incarnation;
    member.state = update.state;
    if (update.state == State::Alive || update.state == State::Leaving)
        member.isLeaving = update.state == State::Leaving;
    suspects_.erase(id);
    if (update.state != State::Suspect)
        refusing_.erase(id);
    if (update.state == State::Suspect)
        suspects_[id] = now;
    if (wasDead && !isDead)
        addLive(position);
    if (!wasDead && isDead) {
        removeLive(position);
        tombstones_.emplace_back(now, id);
    }
    ++revision_;
    if (dissemination == Dissemination::Yes)
        disseminate(id);
}

void Membership::addLive(Members::iterator position)
{
    position->second.liveIndex = live_.size();
    live_.push_back(position);
}

void Membership::removeLive(Members::iterator position)
{
    const std::size_t index = position->second.liveIndex;
    live_[index] = live_.back();
    live_[index]->second.liveIndex = index;
    live_.pop_back();
    partners_.erase(std::remove(partners_.begin(), partners_.end(), position->first), partners_.end());
}

void Membership::updateVersions(const LiveDaemon& from, const Gossip& gossip)
{
    const auto position = members_.find(from.id);
    if (position != members_.end())
        position->second.listVersion = gossip.vmListVersion;
    if (gossip.configurationVersion > newestConfiguration_.version)
        newestConfiguration_ = { gossip.configurationVersion, from.id, from.peerAddress };
    if (!gossip.hasLeavingVms || gossip.vmListVersion <= vmListVersion_)
        return;
    vmListVersion_ = gossip.vmListVersion;
    leavingVms_ = { gossip.leavingVms.begin(), gossip.leavingVms.end() };
    pendingVersionPushes_ = pushesPerVersion;
    ++revision_;
}

void Membership::disseminate(const VmId& id)
{
    const auto position = std::find_if(pendingUpdates_.begin(), pendingUpdates_.end(),
        [&id](const PendingUpdate& pending) { return pending.id == id; });
    if (position != pendingUpdates_.end()) {
        position->sendCount = 0;
        return;
    }
    if (pendingUpdates_.size() == settings_.maximumPendingUpdates) {
        pendingUpdates_.erase(std::max_element(pendingUpdates_.begin(), pendingUpdates_.end(),
            [](const PendingUpdate& left, const PendingUpdate& right) { return left.sendCount < right.sendCount; }));
    }
    pendingUpdates_.push_back({ id, 0 });
}

MemberRecord Membership::record(const VmId& id, const Member& member) const
{
    const bool isLeaving = member.state == State::Alive && member.isLeaving;
    return { id, member.failureDomain, member.address, isLeaving ? State::Leaving : member.state, member.incarnation };
}

Gossip Membership::makeGossip(Gossip::Kind kind, std::uint64_t sequence, const VmId& to)
{
    Gossip gossip;
    gossip.kind = kind;
    gossip.sequence = sequence;
    gossip.configurationVersion = configurationVersion_;
    gossip.vmListVersion = vmListVersion_;
    const auto receiver = members_.find(to);
    if (receiver == members_.end())
        return gossip;
    // The receiver must learn that it is suspected or believed dead, so that it can refute this.
    const bool isSuspectOrDead = receiver->second.state == State::Suspect || receiver->second.state == State::Dead;
    if (isSuspectOrDead)
        gossip.records.push_back(record(to, receiver->second));
    if (receiver->second.listVersion < vmListVersion_) {
        gossip.hasLeavingVms = true;
        for (const VmId& id : leavingVms_) {
            if (gossip.leavingVms.size() < settings_.maximumLeavingVms)
                gossip.leavingVms.push_back(id);
        }
    }
    appendUpdates(gossip, to);
    return gossip;
}

void Membership::appendUpdates(Gossip& gossip, const VmId& to)
{
    std::stable_sort(pendingUpdates_.begin(), pendingUpdates_.end(),
        [](const PendingUpdate& left, const PendingUpdate& right) { return left.sendCount < right.sendCount; });
    for (PendingUpdate& pending : pendingUpdates_) {
        if (gossip.records.size() >= settings_.recordsPerMessage)
            break;
        if (pending.id == to)
            continue;
        ++pending.sendCount;
        if (pending.id == self_.id) {
            gossip.records.push_back({ self_.id, self_.failureDomain, self_.peerAddress,
                self_.isLeaving ? State::Leaving : State::Alive, incarnation_ });
            continue;
        }
        const auto position = members_.find(pending.id);
        if (position != members_.end())
            gossip.records.push_back(record(position->first, position->second));
    }
    const std::size_t limit = maximumSendCount();
    pendingUpdates_.erase(std::remove_if(pendingUpdates_.begin(), pendingUpdates_.end(),
                              [limit](const PendingUpdate& pending) { return pending.sendCount >= limit; }),
        pendingUpdates_.end());
}

void Membership::send(GossipActions& actions, const VmId& to, Gossip gossip)
{
    const auto position = members_.find(to);
    if (position != members_.end() && !position->second.address.empty())
        actions.push_back({ to, position->second.address, std::move(gossip) });
}

std::optional<VmId> Membership::nextProbeTarget()
{
    // Every member is probed once in each round, which bounds the time until a failure is detected.
    while (true) {
        if (probeRound_.empty()) {
            if (partners_.empty()) {
                for (const auto& position : live_)
                    probeRound_.push_back(position->first);
            } else {
                probeRound_ = partners_;
            }
            std::shuffle(probeRound_.begin(), probeRound_.end(), random_);
            if (probeRound_.empty())
                return std::nullopt;
        }
        VmId target = std::move(probeRound_.back());
        probeRound_.pop_back();
        const auto position = members_.find(target);
        if (position != members_.end() && position->second.state != State::Dead)
            return target;
    }
}

std::optional<VmId> Membership::randomMember(const std::set<VmId>& excluded)
{
    std::vector<const VmId*> candidates;
    if (partners_.empty()) {
        for (const auto& position : live_)
            candidates.push_back(&position->first);
    } else {
        for (const VmId& id : partners_)
            candidates.push_back(&id);
    }
    candidates.erase(std::remove_if(candidates.begin(), candidates.end(),
                         [&excluded](const VmId* id) { return excluded.count(*id) != 0; }),
        candidates.end());
    if (candidates.empty())
        return std::nullopt;
    return *candidates[randomBelow(candidates.size())];
}

std::size_t Membership::randomBelow(std::size_t bound)
{
    return std::uniform_int_distribution<std::size_t>(0, bound - 1)(random_);
}

/*
 * An isolated daemon would otherwise declare the whole fleet dead and disseminate that after it reconnects. With only
 * one or two other live members, their failure is as likely as the loss of this daemon's own network, so the rule
 * applies only to more.
 */
bool Membership::isIsolated(TimePoint now) const
{
    return live_.size() > 2 && now - lastReceivedAt_ > settings_.isolationTimeout;
}

Milliseconds Membership::currentProbeInterval() const
{
    const double fleet = static_cast<double>(live_.size() + 1);
    const double small = static_cast<double>(settings_.smallFleet);
    const double large = static_cast<double>(settings_.largeFleet);
    const double share = std::clamp(std::log(fleet / small) / std::log(large / small), 0.0, 1.0);
    const auto extra = (settings_.maximumProbeInterval - settings_.probeInterval).count();
    return settings_.probeInterval + Milliseconds(std::llround(share * static_cast<double>(extra)));
}

Duration Membership::suspicionTimeoutOf(const VmId& id) const
{
    if (refusing_.count(id) > 0)
        return settings_.refusedSuspicionTimeout;
    const double factor = std::max(1.0, std::log10(static_cast<double>(live_.size() + 1)));
    return std::chrono::duration_cast<Duration>(settings_.suspicionTimeout * factor);
}

std::size_t Membership::maximumSendCount() const
{
    return static_cast<std::size_t>(std::ceil(sendCountFactor * std::log2(static_cast<double>(live_.size() + 2))));
}

} // namespace almondlever
