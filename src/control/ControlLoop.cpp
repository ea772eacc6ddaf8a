#include "almondlever/control/ControlLoop.h"

#include "almondlever/config/ConfigurationCodec.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/placement/Placement.h"

#include <algorithm>

namespace almondlever {

namespace {

    constexpr Milliseconds vmListTimeout { 2000 };
    constexpr Milliseconds seedContactInterval { 1000 };

    /**
     * Bytes that the probes of one group take in one interval. A probe and its answer take 490 bytes
     * (docs/CAPACITY.md); an interval has one probe of the primary and a fifth of a probe for each of two replicas.
     */
    constexpr double probeBytesPerGroup = 700;
    /** Half of the control traffic budget of 5 KB/s. */
    constexpr double probeByteBudgetPerSecond = 2500;

    /** True when the endpoints are identical, so that an observer of one description can be kept for the other. */
    bool hasSameEndpoints(const DatabaseDescription& left, const DatabaseDescription& right)
    {
        return std::equal(left.endpoints.begin(), left.endpoints.end(), right.endpoints.begin(), right.endpoints.end(),
            [](const EndpointDescription& a, const EndpointDescription& b) {
                return a.id == b.id && a.vm == b.vm && a.failureDomain == b.failureDomain && a.address == b.address;
            });
    }

    LiveDaemon toDaemon(const PeerIdentity& peer) { return { peer.id, peer.failureDomain, peer.address, false }; }

} // namespace

ControlLoop::ControlLoop(ControlContext context)
    : context_(std::move(context))
    , membership_(context_.self, MembershipSettings(), context_.randomSeed, context_.timers.now())
    , watcher_(context_.keyValue, context_.timers,
          [this](const ConfigurationCandidate& candidate) { adopt(candidate, context_.timers.now()); })
    , owners_(std::make_shared<OwnerTable>())
    , random_(context_.randomSeed)
    , alive_(std::make_shared<bool>(true))
{
}

ControlLoop::~ControlLoop() { *alive_ = false; }

void ControlLoop::start(TimePoint now)
{
    watcher_.start(now);
    nextSeedContact_ = now;
    hasUnpublishedChanges_ = true;
    onTick(now);
}

void ControlLoop::onTick(TimePoint now)
{
    sendGossip(membership_.onTick(now));
    readVmListIfDue(now);
    contactSeeds(now);
    watcher_.onTick(now);
    distributeConfiguration(now);
    applyMembership(now);
    for (auto& [unused, observer] : observers_)
        observer->onTick(now);
    publishIfChanged();
}

void ControlLoop::sendGossip(const GossipActions& actions)
{
    for (const GossipAction& action : actions)
        context_.send(action.to, action.address, action.gossip);
}

bool ControlLoop::isWatcher() const
{
    return std::find(watchers_.begin(), watchers_.end(), context_.self.id) != watchers_.end();
}

bool ControlLoop::isFirstWatcher() const { return !watchers_.empty() && watchers_.front() == context_.self.id; }

void ControlLoop::readVmListIfDue(TimePoint now)
{
    if (isReadingVmList_ || now < nextVmListRead_ || (hasVmList_ && !isWatcher()))
        return;
    isReadingVmList_ = true;
    context_.vmList.list(
        vmListTimeout, [this, alive = alive_](const Result<std::vector<VmListEntry>, std::string>& result) {
            if (!*alive)
                return;
            const TimePoint later = context_.timers.now();
            isReadingVmList_ = false;
            nextVmListRead_ = later + vmListInterval;
            if (result)
                onVmList(result.value(), later);
        });
}

void ControlLoop::onVmList(const std::vector<VmListEntry>& entries, TimePoint now)
{
    std::vector<std::pair<VmId, VmState>> list;
    list.reserve(entries.size());
    for (const VmListEntry& entry : entries)
        list.emplace_back(entry.id, entry.state);
    std::sort(list.begin(), list.end());
    const bool isFirst = !hasVmList_;
    const bool isNew = list != lastVmList_ || now >= lastRenumbering_ + vmListRenumberInterval;
    hasVmList_ = true;
    if (!isFirst && !isNew)
        return;
    lastVmList_ = std::move(list);
    // The first watcher assigns version numbers to changed lists. The other watchers publish a list only when it shows
    // newly leaving VMs, in case the first watcher cannot read it. Their copy may be older, so VMs already known to
    // be leaving stay marked as leaving. A starting daemon uses its first list as a seed with the lowest version.
    std::vector<VmListEntry> merged = entries;
    bool hasNewLeaving = false;
    for (VmListEntry& entry : merged) {
        const bool isKnownLeaving = membership_.leavingVms().count(entry.id) > 0;
        hasNewLeaving = hasNewLeaving || (entry.state == VmState::Leaving && !isKnownLeaving);
        if (!isFirstWatcher() && isKnownLeaving)
            entry.state = VmState::Leaving;
    }
    if (!isFirst && !isFirstWatcher() && !hasNewLeaving)
        return;
    const bool isNumbering = isWatcher() && !isFirst;
    if (isNumbering)
        lastRenumbering_ = now;
    const std::uint64_t version
        = isNumbering ? membership_.vmListVersion() + 1 : std::max<std::uint64_t>(1, membership_.vmListVersion());
    sendGossip(membership_.onVmList(merged, version, now));
}

void ControlLoop::contactSeeds(TimePoint now)
{
    if (members_.daemons.size() > 1 || now < nextSeedContact_)
        return;
    nextSeedContact_ = now + seedContactInterval;
    for (const LiveDaemon& seed : context_.seeds) {
        if (seed.id == context_.self.id)
            continue;
        Gossip ping;
        ping.sequence = 1;
        ping.records.push_back({ context_.self.id, context_.self.failureDomain, context_.self.peerAddress,
            MemberRecord::State::Alive, 0 });
        context_.send(seed.id, seed.peerAddress, ping);
    }
}

void ControlLoop::adopt(const ConfigurationCandidate& candidate, TimePoint now)
{
    if (candidate.version <= configurationVersion())
        return;
    const auto decoded = decodeConfiguration(candidate.bytes, candidate.version);
    if (!decoded) {
        logError("configuration_rejected",
            { { "version", std::to_string(candidate.version) }, { "detail", decoded.error() } });
        return;
    }
    const std::shared_ptr<const Configuration> previous = configuration_;
    configuration_ = std::make_shared<const Configuration>(decoded.value());
    dropOutdatedObservers(previous.get());
    distributor_.setCurrent(candidate.version, candidate.bytes);
    membership_.setConfigurationVersion(candidate.version);
    watcher_.setConfigurationKnown();
    placement_ = std::make_unique<PlacementIndex>(configuration_);
    appliedMembershipRevision_ = 0;
    logInfo("configuration_in_force",
        { { "version", std::to_string(candidate.version) }, { "deployment", configuration_->deployment } });
    applyMembership(now);
    publishIfChanged();
}

void ControlLoop::dropOutdatedObservers(const Configuration* previous)
{
    for (auto entry = observers_.begin(); entry != observers_.end();) {
        const DatabaseDescription* before = previous ? previous->findDatabase(entry->first) : nullptr;
        const DatabaseDescription* after = configuration_->findDatabase(entry->first);
        // A kept observer still knows its primary, so that writes do not wait after every change of the rules.
        const bool isSame = before && after && hasSameEndpoints(*before, *after);
        if (!isSame)
            recordPrimaryOf(*entry->second);
        entry = isSame ? std::next(entry) : observers_.erase(entry);
    }
}

void ControlLoop::distributeConfiguration(TimePoint now)
{
    const ConfigurationHolder& newest = membership_.newestConfiguration();
    if (newest.version > distributor_.currentVersion()) {
        if (const auto request = distributor_.onVersionAdvertised(newest, now))
            context_.send(request->to, request->address, request->request);
    }
    if (const auto request = distributor_.onTick(now))
        context_.send(request->to, request->address, request->request);
}

void ControlLoop::applyMembership(TimePoint now)
{
    const bool isLeavingChanged = membership_.leavingVms() != leavingVms_;
    if (membership_.revision() == appliedMembershipRevision_ && !isLeavingChanged)
        return;
    appliedMembershipRevision_ = membership_.revision();
    leavingVms_ = membership_.leavingVms();
    members_ = membership_.view();
    watchers_ = watchersOf(members_, watcherCount);
    watcher_.setWatching(isWatcher());
    hasUnpublishedChanges_ = true;
    if (!placement_)
        return;
    const std::vector<EndpointId> moved = placement_->update(members_);
    if (!moved.empty()) {
        auto owners = std::make_shared<OwnerTable>(*owners_);
        for (const EndpointId& endpoint : moved) {
            const VmId owner = placement_->ownerOf(endpoint);
            owners->owners[endpoint] = owner;
            const bool concernsSelf = owner == context_.self.id || owners_->ownerOf(endpoint) == context_.self.id;
            if (concernsSelf)
                logInfo("placement",
                    { { "endpoint", endpoint.text() }, { "owner", owner.text() }, { "reason", "rendezvous" } });
        }
        owners_ = std::move(owners);
    }
    updateObservers(now);
}

FailoverSettings ControlLoop::settingsForGroupCount(std::size_t groups) const
{
    FailoverSettings settings = context_.failover;
    const double seconds = static_cast<double>(groups) * probeBytesPerGroup / probeByteBudgetPerSecond;
    const auto affordable = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(seconds));
    settings.healthyProbeInterval = std::max(settings.probeInterval, affordable);
    return settings;
}

void ControlLoop::updateObservers(TimePoint now)
{
    std::map<DatabaseId, std::vector<VmId>> wanted;
    for (const DatabaseDescription& database : configuration_->databases) {
        auto observers = placement_->observersOf(database.id, members_);
        if (std::find(observers.begin(), observers.end(), context_.self.id) != observers.end())
            wanted.emplace(database.id, std::move(observers));
    }
    for (auto entry = observers_.begin(); entry != observers_.end();) {
        if (wanted.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        recordPrimaryOf(*entry->second);
        entry = observers_.erase(entry);
    }
    const FailoverSettings settings = settingsForGroupCount(wanted.size());
    const std::set<EndpointId> leaving = leavingEndpoints();
    for (const auto& [database, vms] : wanted) {
        auto& observer = observers_[database];
        const bool isNew = !observer;
        if (isNew)
            observer = std::make_unique<GroupObserver>(*configuration_->findDatabase(database), context_.self.id,
                random_(), settings, context_.connector, context_.timers, hooksFor(database));
        std::vector<std::pair<VmId, FailureDomainId>> observers;
        for (const VmId& vm : vms) {
            const LiveDaemon* daemon = members_.find(vm);
            observers.emplace_back(vm, daemon ? daemon->failureDomain : FailureDomainId());
        }
        observer->setObservers(observers);
        observer->setLeaving(leaving);
        // Otherwise writes in progress would count as unconfirmed until the new observer's first probe is answered.
        const auto known = announcedPrimaries_.find(database);
        if (isNew && known != announcedPrimaries_.end())
            observer->onAnnouncement(known->second, now);
    }
}

std::set<EndpointId> ControlLoop::leavingEndpoints() const
{
    std::set<EndpointId> leaving;
    if (!configuration_ || leavingVms_.empty())
        return leaving;
    for (const DatabaseDescription& database : configuration_->databases) {
        for (const EndpointDescription& endpoint : database.endpoints) {
            if (leavingVms_.count(endpoint.vm) > 0)
                leaving.insert(endpoint.id);
        }
    }
    return leaving;
}

GroupObserverHooks ControlLoop::hooksFor(const DatabaseId& database)
{
    GroupObserverHooks hooks;
    hooks.sendSuspicion = [this, database](const SuspicionReport& report) {
        const auto found = observers_.find(database);
        if (found == observers_.end())
            return;
        for (const VmId& observer : found->second->otherObservers())
            sendToDaemon(observer, report);
    };
    hooks.announce = [this](const PrimaryView& view) { announce(view); };
    hooks.changed = [this] { hasUnpublishedChanges_ = true; };
    return hooks;
}

void ControlLoop::sendToDaemon(const VmId& vm, const Message& message)
{
    if (const LiveDaemon* daemon = members_.find(vm))
        context_.send(daemon->id, daemon->peerAddress, message);
}

void ControlLoop::announce(const PrimaryView& view)
{
    recordPrimary(view);
    const auto found = observers_.find(view.database);
    if (found == observers_.end())
        return;
    // Entry daemons learn of the new primary from rejections by the old primary's owner, so only observers are told.
    for (const VmId& observer : found->second->otherObservers())
        sendToDaemon(observer, view);
}

void ControlLoop::recordPrimary(const PrimaryView& view)
{
    PrimaryView& known = announcedPrimaries_[view.database];
    if (view.term <= known.term)
        return;
    known = view;
    hasUnpublishedChanges_ = true;
}

void ControlLoop::recordPrimaryOf(const GroupObserver& observer)
{
    if (const auto view = observer.primary())
        recordPrimary(*view);
}

void ControlLoop::onMessage(const PeerIdentity& from, const Message& message, TimePoint now)
{
    if (const auto* gossip = std::get_if<Gossip>(&message)) {
        sendGossip(membership_.onGossip(toDaemon(from), *gossip, now));
        applyMembership(now);
    } else if (const auto* request = std::get_if<ConfigRequest>(&message)) {
        if (const auto reply = distributor_.onRequest(*request))
            context_.send(from.id, from.address, *reply);
    } else if (const auto* reply = std::get_if<ConfigReply>(&message)) {
        if (const auto next = distributor_.onReply(from.id, *reply, now))
            context_.send(next->to, next->address, next->request);
        if (const auto received = distributor_.takeReceived()) {
            adopt({ received->version, received->bytes }, now);
            if (configurationVersion() < received->version)
                distributor_.reject(received->version, received->from);
        }
    } else if (const auto* report = std::get_if<SuspicionReport>(&message)) {
        const auto found = observers_.find(report->database);
        if (found != observers_.end())
            found->second->onSuspicion(*report, now);
    } else if (const auto* view = std::get_if<PrimaryView>(&message)) {
        recordPrimary(*view);
        const auto found = observers_.find(view->database);
        if (found != observers_.end())
            found->second->onAnnouncement(*view, now);
    }
    publishIfChanged();
}

void ControlLoop::onPeerLost(const VmId& peer, TimePoint now)
{
    sendGossip(membership_.onPeerLost(peer, now));
    if (const auto request = distributor_.onPeerLost(peer, now))
        context_.send(request->to, request->address, request->request);
}

void ControlLoop::onPrimaryAnswered(const DatabaseId& database, const EndpointId& endpoint, Term term, TimePoint now)
{
    const auto found = observers_.find(database);
    if (found != observers_.end())
        found->second->onPrimaryAnswered(endpoint, term, now);
}

void ControlLoop::onPrimaryFailed(const DatabaseId& database, const EndpointId& endpoint, TimePoint now)
{
    const auto found = observers_.find(database);
    if (found != observers_.end())
        found->second->onPrimaryFailed(endpoint, now);
    publishIfChanged();
}

void ControlLoop::onWritesPaused(const DatabaseId& database, LogPosition logEnd, TimePoint now)
{
    const auto found = observers_.find(database);
    if (found != observers_.end())
        found->second->onWritesPaused(logEnd, now);
    publishIfChanged();
}

void ControlLoop::beginShutdown(TimePoint now)
{
    isShuttingDown_ = true;
    hasUnpublishedChanges_ = true;
    sendGossip(membership_.leave(now));
    applyMembership(now);
    publishIfChanged();
}

void ControlLoop::publishIfChanged()
{
    if (!hasUnpublishedChanges_)
        return;
    hasUnpublishedChanges_ = false;
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->self = context_.self.id;
    snapshot->failureDomain = context_.self.failureDomain;
    snapshot->configuration = configuration_;
    snapshot->members = members_;
    snapshot->owners = owners_;
    snapshot->leavingEndpoints = leavingEndpoints();
    snapshot->primaries = announcedPrimaries_;
    for (const auto& [database, observer] : observers_) {
        const auto view = observer->primary();
        if (view)
            snapshot->primaries[database] = *view;
        else
            snapshot->primaries.erase(database);
        if (observer->wantsWritesPaused())
            snapshot->pausedWrites.insert(database);
    }
    snapshot->isShuttingDown = isShuttingDown_;
    context_.publish(std::move(snapshot));
}

} // namespace almondlever
