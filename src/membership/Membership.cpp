#include "almondlever/membership/Membership.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace almondlever {

namespace {

    using State = MemberRecord::State;

    /**
     * Incarnation of a death that nothing refutes: the platform's list dropped the VM, and its id is never reused.
     */
    constexpr std::uint64_t finalIncarnation = std::numeric_limits<std::uint64_t>::max();

    /** A relayed probe is forgotten after this time; the requester has given up by then. */
    constexpr std::chrono::seconds relayLifetime { 2 };

    /** A joining daemon asks another peer for the state when one does not answer within this time. */
    constexpr std::chrono::seconds stateTimeout { 1 };

    /** Pushes after a version rose. The second covers members that the first round of pushes missed. */
    constexpr std::size_t pushesPerVersion = 2;

    /** Sends of each record, as a multiple of the logarithm of the fleet size. */
    constexpr double sendFactor = 2.0;

} // namespace

Membership::Membership(const LiveDaemon& self, const MembershipSettings& settings, std::uint64_t seed, TimePoint now)
    : self_(self)
    , settings_(settings)
    , random_(seed)
    , lastHeardAt_(now)
    , nextPushAt_(now)
    , nextPartnerAt_(now)
    , nextReconnectAt_(now + settings.reconnectInterval)
    , stateRequestedAt_(now - stateTimeout)
{
    // Daemons that start together must not probe in step.
    nextProbeAt_ = now + Milliseconds(randomBelow(settings_.probeInterval.count()));
    spread(self_.id);
}

GossipActions Membership::onTick(TimePoint now)
{
    GossipActions actions;
    checkProbes(actions, now);
    checkSuspects(now);
    expireRemoved(now);
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
    lastHeardAt_ = now;
    refusing_.erase(from.id);
    meet(from, now);
    for (const MemberRecord& heard : gossip.records)
        apply(heard, gossip.kind == Gossip::Kind::StateReply ? Spread::No : Spread::Yes, now);
    hearVersions(from, gossip);
    switch (gossip.kind) {
    case Gossip::Kind::Ping:
        if (gossip.sequence != 0)
            send(actions, from.id, compose(Gossip::Kind::Ack, gossip.sequence, from.id));
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
        const bool isSeed = !hasList_ && !entry.peerAddress.empty() && entry.id != self_.id;
        if (isSeed && members_.count(entry.id) == 0)
            add({ entry.id, entry.failureDomain, entry.peerAddress, State::Alive, 0 }, Spread::No, now);
    }
    for (const VmId& id : dropped)
        apply({ id, {}, {}, State::Dead, finalIncarnation }, Spread::Yes, now);
    if (version > vmListVersion_)
        versionPushes_ = pushesPerVersion;
    if (leaving != leavingVms_)
        ++revision_;
    hasList_ = true;
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
        probeThroughOthers(actions, *probe);
    }
    return actions;
}

GossipActions Membership::leave(TimePoint now)
{
    if (!self_.isLeaving) {
        self_.isLeaving = true;
        ++incarnation_;
        ++revision_;
        spread(self_.id);
        nextPushAt_ = now;
    }
    return onTick(now);
}

void Membership::setConfigurationVersion(std::uint64_t version)
{
    if (version <= configurationVersion_)
        return;
    configurationVersion_ = version;
    versionPushes_ = pushesPerVersion;
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

void Membership::meet(const LiveDaemon& from, TimePoint now)
{
    // A daemon that the platform's list does not show yet is accepted, since it proved the cluster key.
    if (members_.count(from.id) == 0)
        add({ from.id, from.failureDomain, from.peerAddress, State::Alive, 0 }, Spread::Yes, now);
}

void Membership::apply(const MemberRecord& heard, Spread spreading, TimePoint now)
{
    if (heard.id == self_.id) {
        applyToSelf(heard);
        return;
    }
    const auto position = members_.find(heard.id);
    if (position == members_.end())
        add(heard, spreading, now);
    else if (supersedes(heard, position->second))
        change(position, heard, spreading, now);
}

void Membership::applyToSelf(const MemberRecord& heard)
{
    const bool isAccusation = heard.state == State::Suspect || heard.state == State::Dead;
    if (heard.incarnation == finalIncarnation || heard.incarnation < incarnation_)
        return;
    // An equal incarnation that was not given by this process stems from an earlier one on the same VM.
    if (!isAccusation && heard.incarnation == incarnation_)
        return;
    incarnation_ = heard.incarnation + 1;
    spread(self_.id);
}

bool Membership::supersedes(const MemberRecord& heard, const Member& known) const
{
    if (known.state == State::Dead)
        return heard.incarnation > known.incarnation;
    switch (heard.state) {
    case State::Alive:
    case State::Leaving:
        return heard.incarnation > known.incarnation;
    case State::Suspect:
        return heard.incarnation > known.incarnation
            || (heard.incarnation == known.incarnation && known.state != State::Suspect);
    case State::Dead:
        break;
    }
    return heard.incarnation >= known.incarnation;
}

void Membership::add(const MemberRecord& heard, Spread spreading, TimePoint now)
{
    const auto position = members_.emplace(heard.id, Member {}).first;
    Member& member = position->second;
    member.failureDomain = heard.failureDomain;
    member.address = heard.peerAddress;
    member.state = State::Dead;
    if (heard.state == State::Dead) {
        // Kept, so that an older record that arrives later is not accepted; those who found the death spread it.
        member.incarnation = heard.incarnation;
        removed_.emplace_back(now, heard.id);
        return;
    }
    change(position, heard, spreading, now);
}

void Membership::change(Members::iterator position, const MemberRecord& heard, Spread spreading, TimePoint now)
{
    const VmId& id = position->first;
    Member& member = position->second;
    const bool wasDead = member.state == State::Dead;
    const bool isDead = heard.state == State::Dead;
    if (!heard.peerAddress.empty()) {
        member.address = heard.peerAddress;
        member.failureDomain = heard.failureDomain;
    }
    member.incarnation = heard.incarnation;
    member.state = heard.state;
    if (heard.state == State::Alive || heard.state == State::Leaving)
        member.isLeaving = heard.state == State::Leaving;
    suspects_.erase(id);
    if (heard.state != State::Suspect)
        refusing_.erase(id);
    if (heard.state == State::Suspect)
        suspects_[id] = now;
    if (wasDead && !isDead)
        addLive(position);
    if (!wasDead && isDead) {
        removeLive(position);
        removed_.emplace_back(now, id);
    }
    ++revision_;
    if (spreading == Spread::Yes)
        spread(id);
}

void Membership::addLive(Members::iterator position)
{
    position->second.livePlace = live_.size();
    live_.push_back(position);
}

void Membership::removeLive(Members::iterator position)
{
    const std::size_t place = position->second.livePlace;
    live_[place] = live_.back();
    live_[place]->second.livePlace = place;
    live_.pop_back();
    partners_.erase(std::remove(partners_.begin(), partners_.end(), position->first), partners_.end());
}

void Membership::hearVersions(const LiveDaemon& from, const Gossip& gossip)
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
    versionPushes_ = pushesPerVersion;
    ++revision_;
}

void Membership::spread(const VmId& id)
{
    const auto position = std::find_if(news_.begin(), news_.end(), [&id](const News& news) { return news.id == id; });
    if (position != news_.end()) {
        position->sends = 0;
        return;
    }
    if (news_.size() == settings_.maximumNews) {
        news_.erase(std::max_element(
            news_.begin(), news_.end(), [](const News& left, const News& right) { return left.sends < right.sends; }));
    }
    news_.push_back({ id, 0 });
}

MemberRecord Membership::record(const VmId& id, const Member& member) const
{
    const bool isLeaving = member.state == State::Alive && member.isLeaving;
    return { id, member.failureDomain, member.address, isLeaving ? State::Leaving : member.state, member.incarnation };
}

Gossip Membership::compose(Gossip::Kind kind, std::uint64_t sequence, const VmId& to)
{
    Gossip gossip;
    gossip.kind = kind;
    gossip.sequence = sequence;
    gossip.configurationVersion = configurationVersion_;
    gossip.vmListVersion = vmListVersion_;
    const auto receiver = members_.find(to);
    if (receiver == members_.end())
        return gossip;
    // A member that is suspected or believed dead must hear of it to refute it.
    const bool isAccused = receiver->second.state == State::Suspect || receiver->second.state == State::Dead;
    if (isAccused)
        gossip.records.push_back(record(to, receiver->second));
    if (receiver->second.listVersion < vmListVersion_) {
        gossip.hasLeavingVms = true;
        for (const VmId& id : leavingVms_) {
            if (gossip.leavingVms.size() < settings_.maximumLeavingVms)
                gossip.leavingVms.push_back(id);
        }
    }
    appendNews(gossip, to);
    return gossip;
}

void Membership::appendNews(Gossip& gossip, const VmId& to)
{
    std::stable_sort(
        news_.begin(), news_.end(), [](const News& left, const News& right) { return left.sends < right.sends; });
    for (News& news : news_) {
        if (gossip.records.size() >= settings_.recordsPerMessage)
            break;
        if (news.id == to)
            continue;
        ++news.sends;
        if (news.id == self_.id) {
            gossip.records.push_back({ self_.id, self_.failureDomain, self_.peerAddress,
                self_.isLeaving ? State::Leaving : State::Alive, incarnation_ });
            continue;
        }
        const auto position = members_.find(news.id);
        if (position != members_.end())
            gossip.records.push_back(record(position->first, position->second));
    }
    const std::size_t limit = sendLimit();
    news_.erase(std::remove_if(news_.begin(), news_.end(), [limit](const News& news) { return news.sends >= limit; }),
        news_.end());
}

void Membership::send(GossipActions& actions, const VmId& to, Gossip gossip)
{
    const auto position = members_.find(to);
    if (position != members_.end() && !position->second.address.empty())
        actions.push_back({ to, position->second.address, std::move(gossip) });
}

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

std::optional<VmId> Membership::nextProbeTarget()
{
    // Every member is probed once in each round, which bounds the time until a death is found.
    while (true) {
        if (round_.empty()) {
            if (partners_.empty()) {
                for (const auto& position : live_)
                    round_.push_back(position->first);
            } else {
                round_ = partners_;
            }
            std::shuffle(round_.begin(), round_.end(), random_);
            if (round_.empty())
                return std::nullopt;
        }
        VmId target = std::move(round_.back());
        round_.pop_back();
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
 * A cut-off daemon would declare the whole fleet dead and spread that once it is back. With one or two others left
 * their death is as likely as the loss of the own network, so the rule applies to larger fleets only.
 */
bool Membership::isIsolated(TimePoint now) const
{
    return live_.size() > 2 && now - lastHeardAt_ > settings_.isolationTime;
}

Milliseconds Membership::currentProbeInterval() const
{
    const double fleet = static_cast<double>(live_.size() + 1);
    const double small = static_cast<double>(settings_.smallFleet);
    const double large = static_cast<double>(settings_.largeFleet);
    const double share = std::clamp(std::log(fleet / small) / std::log(large / small), 0.0, 1.0);
    const auto extra = (settings_.longestProbeInterval - settings_.probeInterval).count();
    return settings_.probeInterval + Milliseconds(std::llround(share * static_cast<double>(extra)));
}

Duration Membership::suspicionTimeOf(const VmId& id) const
{
    if (refusing_.count(id) > 0)
        return settings_.refusedSuspicionTime;
    const double factor = std::max(1.0, std::log10(static_cast<double>(live_.size() + 1)));
    return std::chrono::duration_cast<Duration>(settings_.suspicionTime * factor);
}

std::size_t Membership::sendLimit() const
{
    return static_cast<std::size_t>(std::ceil(sendFactor * std::log2(static_cast<double>(live_.size() + 2))));
}

} // namespace almondlever
