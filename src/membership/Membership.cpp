#include "almondlever/membership/Membership.h"

#include "MembershipConstants.h"

#include <algorithm>
#include <cmath>

namespace almondlever {

namespace {

    using State = MemberRecord::State;

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
