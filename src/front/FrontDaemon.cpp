#include "almondlever/front/FrontDaemon.h"

#include "almondlever/placement/QuotaCoordinators.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Interval at which sessions are checked for idle transactions; the idle limits are in the range of seconds. */
    constexpr Milliseconds sessionCheckInterval { 250 };
    /** Delay before a failed registration is retried. */
    constexpr Milliseconds registrationRetry { 1000 };

    /** Delay by which configuration changes are batched; a configuration must be in force within 3 s. */
    constexpr Milliseconds configurationBatchDelay { 400 };
    /** A new primary is detected without its entry, and a leaving endpoint still accepts work for seconds. */
    constexpr Milliseconds endpointBatchDelay { 250 };
    /** Daemons register one after the other when the fleet starts, and each change re-evaluates every group. */
    constexpr Milliseconds ownBatchDelay { 500 };

    /** Gap between two ticks after which writes wait for news of changes of primaries. */
    constexpr Milliseconds suspensionLimit { 1000 };
    constexpr Milliseconds suspensionRefreshInterval { 250 };

    DispatcherSettings dispatcherSettings(const FrontSettings& settings)
    {
        DispatcherSettings dispatcher = settings.dispatcher;
        dispatcher.keptShare = settings.sharing.keptShare;
        dispatcher.learnsCapacity = settings.learnsEndpointCapacity;
        dispatcher.suspensionLimit = suspensionLimit;
        return dispatcher;
    }

    ForwarderSettings forwarderSettings(const FrontSettings& settings)
    {
        ForwarderSettings forwarder;
        forwarder.failureDomain = settings.failureDomain;
        forwarder.firstNumber = settings.randomSeed;
        return forwarder;
    }

    StoreRelaySettings relaySettings(const FrontSettings& settings)
    {
        StoreRelaySettings relay;
        relay.self = settings.vm;
        if (settings.limitsStoreCalls)
            relay.probeDelay = relay.sourceTimeout;
        return relay;
    }

} // namespace

FrontDaemon::FrontDaemon(const FrontSettings& settings, MetadataStore& store, EndpointConnector& connector,
    PromotionService& promotions, const InventoryDecoder& decoder, TimerService& timers, NetworkFactory makeNetwork)
    : settings_(settings)
    , store_(store)
    , decoder_(decoder)
    , timers_(timers)
    , log_(settings.decisionLinesPerSecond)
    , sharedStore_(store, timers, metrics_)
    , dispatcher_(directory_, connector, log_, metrics_, dispatcherSettings(settings))
    , forwarder_(dispatcher_, log_, metrics_, forwarderSettings(settings))
    , forwarded_(dispatcher_, settings.randomSeed)
    , ownerReports_(settings.vm)
    , suspicionConfirmer_(dispatcher_, settings.vm)
    , stepDownRelay_(dispatcher_, settings.vm, settings.randomSeed)
    , promotions_(directory_, dispatcher_, store, promotions, timers, settings.promotion)
    , stop_(settings.stop)
    , configurationFollower_(sharedStore_, timers, decoder.configurationPrefix(), configurationBatchDelay, *this)
    , endpointFollower_(sharedStore_, timers, decoder.endpointPrefix(), endpointBatchDelay, *this)
    , ownFollower_(sharedStore_, timers, storeKeys::root, ownBatchDelay, *this)
    , relay_(relaySettings(settings), { &configurationFollower_, &endpointFollower_, &ownFollower_ })
    , members_(self())
    , quotaCoordinator_(settings.vm, settings.quota)
    , quotaClient_(settings.vm, settings.failureDomain, quotaCoordinator_, log_, metrics_, settings.quota)
    , gate_(settings.keyWithdrawalLimit, quotaClient_, log_, metrics_)
    , makeNetwork_(std::move(makeNetwork))
{
    // Peers can send the other prefixes later, but the configuration must be in force in time.
    if (settings.limitsStoreCalls) {
        ownFollower_.setProbe(configurationFollower_);
        endpointFollower_.setProbe(configurationFollower_);
    } else {
        configurationFollower_.setProbe(ownFollower_);
        endpointFollower_.setProbe(ownFollower_);
    }
    promotions_.setSuspicionConfirmer(&suspicionConfirmer_);
    promotions_.setStepDownRelay(&stepDownRelay_);
    stepDownRelay_.setLeaderCallback([this](const GroupId& group, const EndpointId& leader, Term term, TimePoint now) {
        noteRecordedLeader(group, leader, term);
        dispatcher_.onDirectoryChange(now);
    });
    stepDownRelay_.setHoldCallback([this](const GroupId& group, std::uint64_t fence, bool isHeld, TimePoint now) {
        promotions_.onHoldRequest(group, fence, isHeld, now);
    });
    if (GroupReportParticipant* capacity = dispatcher_.capacityReports())
        ownerReports_.addParticipant(*capacity);
    promotions_.setMembersRefresh(
        [this](const std::function<void(bool)>& callback) { endpointFollower_.refresh(callback); });
    if (settings.limitsStoreCalls)
        sharedStore_.enable();
    gate_.setReadinessLead(settings.readinessLead);
    if (settings.isFirstStart)
        quotaCoordinator_.setFirstStart();
}

FrontDaemon::~FrontDaemon()
{
    if (network_)
        network_->stop();
}

LiveDaemon FrontDaemon::self() const
{
    return { settings_.vm, settings_.failureDomain, settings_.peerAddress, false, settings_.capacity };
}

void FrontDaemon::start()
{
    logInfo("start", { { "vm", settings_.vm.text() }, { "failure_domain", settings_.failureDomain.text() } });
    registerMember();
    // The members and the cluster key come first: without them no peer can be reached.
    const auto startOwn
        = [this](TimePoint now) { ownFollower_.start(settings_.peerUpdateTimeout, now + peerUpdateTimeout()); };
    if (!settings_.isFirstStart) {
        startOwn(timers_.now());
    } else {
        timers_.callAfter(settings_.firstReadDelay, [startOwn, alive = std::weak_ptr<int>(alive_)](TimePoint now) {
            if (!alive.expired())
                startOwn(now);
        });
    }
    tick(timers_.now());
}

void FrontDaemon::startFollowers(TimePoint now)
{
    for (PrefixFollower* follower : { &configurationFollower_, &endpointFollower_ }) {
        // A watcher follows at once, since other daemons depend on the freshness of its updates.
        if (relay_.isWatcher())
            follower->start();
        else if (settings_.limitsStoreCalls && settings_.isFirstStart)
            follower->startLater(peerUpdateTimeout());
        else
            follower->start(peerUpdateTimeout(), now + peerUpdateTimeout());
    }
}

void FrontDaemon::open(const DatabaseId& database, const KeyDigest& key, CallerLink& link, OpenCallback callback)
{
    const TimePoint now = timers_.now();
    const PendingOpen opening { database, key, &link, std::move(callback), now };
    if (routing_ && hasMembers_)
        return openNow(opening, now);
    pendingOpens_.push_back(opening);
}

void FrontDaemon::openNow(const PendingOpen& opening, TimePoint now)
{
    if (!routing_ || !hasMembers_)
        return opening.callback(nullptr, StatementError::Busy);
    if (routing_->routes.count(opening.database) == 0) {
        if (log_.admits(1, now))
            log_.write("refuse_session",
                { { "database", opening.database.text() }, { "reason", "unknown_database" },
                    { "configuration", std::to_string(routing_->version) } });
        return opening.callback(nullptr, StatementError::UnknownDatabase);
    }
    const bool isPublic = routing_->routes.at(opening.database).isPublic;
    if (!isPublic && gate_.checkKey(opening.key, now).outcome == KeyDecision::Outcome::UnknownKey) {
        if (log_.admits(1, now))
            log_.write("refuse_session",
                { { "database", opening.database.text() }, { "reason", "unknown_key" },
                    { "configuration", std::to_string(routing_->version) } });
        return opening.callback(nullptr, StatementError::NotAuthorized);
    }
    auto session
        = std::make_unique<Session>(opening.database, opening.key, *opening.link, *this, gate_, forwarder_, metrics_);
    Session* opened = session.get();
    sessions_[opening.link] = std::move(session);
    metrics_.count("almondlever_sessions_total", "");
    opening.callback(opened, std::nullopt);
}

void FrontDaemon::processPendingOpens(TimePoint now)
{
    const std::vector<PendingOpen> openings = std::move(pendingOpens_);
    pendingOpens_.clear();
    for (const PendingOpen& opening : openings) {
        if ((routing_ && hasMembers_) || now - opening.since > settings_.openTimeout)
            openNow(opening, now);
        else
            pendingOpens_.push_back(opening);
    }
}

void FrontDaemon::close(CallerLink& link)
{
    pendingOpens_.erase(std::remove_if(pendingOpens_.begin(), pendingOpens_.end(),
                            [&link](const PendingOpen& opening) { return opening.link == &link; }),
        pendingOpens_.end());
    const auto found = sessions_.find(&link);
    if (found == sessions_.end())
        return;
    found->second->onCallerClosed(timers_.now());
    // This may be called from inside the session, which must outlive the call.
    std::shared_ptr<Session> ended = std::move(found->second);
    sessions_.erase(found);
    timers_.callAfter(Duration(0), [ended](TimePoint) {});
}

void FrontDaemon::startPeerNetwork(const std::string& key)
{
    if (network_ || !makeNetwork_)
        return;
    clusterKey_ = key;
    network_ = makeNetwork_(key);
    network_->onMessage(
        [this](const PeerIdentity& from, Message message) { onPeerMessage(from.id, std::move(message)); });
    network_->onLoss([this](const VmId& peer) {
        const TimePoint now = timers_.now();
        logInfo("peer_lost", { { "peer", peer.text() } });
        forwarder_.onLoss(peer, now);
        forwarded_.onLoss(peer, now);
        ownerReports_.onLoss(peer);
        relay_.onLoss(peer);
        quotaClient_.onLoss(peer, now);
    });
    network_->onUnsent([this](std::uint64_t correlation) { forwarder_.onUnsent(correlation, timers_.now()); });
    const auto listening = network_->listen();
    if (!listening) {
        logError("peer_listen_failed", { { "reason", listening.error() } });
        network_.reset();
        return;
    }
    forwarder_.setNetwork(network_.get());
    forwarded_.setNetwork(network_.get());
    relay_.setNetwork(network_.get());
    quotaClient_.setNetwork(network_.get());
    suspicionConfirmer_.setNetwork(network_.get());
    stepDownRelay_.setNetwork(network_.get());
}

void FrontDaemon::onPeerMessage(const VmId& from, Message&& message)
{
    const TimePoint now = timers_.now();
    if (auto* statement = std::get_if<SessionStatement>(&message))
        forwarded_.onStatement(from, std::move(*statement), now);
    else if (auto* answer = std::get_if<SessionAnswer>(&message))
        forwarder_.onAnswer(from, std::move(*answer), now);
    else if (const auto* end = std::get_if<SessionTransactionEnd>(&message))
        forwarded_.onTransactionEnd(from, *end, now);
    else if (const auto* abandon = std::get_if<SessionAbandon>(&message))
        forwarded_.onAbandon(from, *abandon, now);
    else if (const auto* probe = std::get_if<OwnerProbe>(&message))
        onOwnerProbe(from, *probe, now);
    else if (const auto* probeAnswer = std::get_if<OwnerProbeAnswer>(&message))
        onOwnerProbeAnswer(from, *probeAnswer, now);
    else if (const auto* request = std::get_if<StoreUpdateRequest>(&message))
        relay_.onRequest(from, *request, now);
    else if (const auto* update = std::get_if<StoreUpdate>(&message))
        relay_.onUpdate(from, *update, now);
    else if (const auto* partRequest = std::get_if<StorePartRequest>(&message))
        relay_.onPartRequest(from, *partRequest);
    else if (const auto* part = std::get_if<StorePart>(&message))
        relay_.onPart(from, *part, now);
    else if (const auto* query = std::get_if<PrimarySuspicion>(&message))
        onPrimarySuspicion(from, *query, now);
    else if (const auto* reply = std::get_if<PrimarySuspicionAnswer>(&message))
        onPrimarySuspicionAnswer(from, *reply, now);
    else if (const auto* quotaRequest = std::get_if<QuotaRequest>(&message))
        network_->send(from, "", quotaCoordinator_.onRequest(*quotaRequest, now));
    else if (const auto* quotaAnswer = std::get_if<QuotaAnswer>(&message))
        quotaClient_.onAnswer(from, *quotaAnswer, now);
    else
        logWarning("peer_message_ignored", { { "peer", from.text() }, { "type", std::to_string(message.index()) } });
}

void FrontDaemon::onOwnerProbe(const VmId& from, const OwnerProbe& probe, TimePoint now)
{
    ownerReports_.onReports(from, probe.reports, now);
    // A daemon that only asks whether this one is alive gets no reports.
    forwarded_.onProbe(from, probe.reports.empty() ? std::vector<GroupReport>() : ownerReports_.reportsFor(from, now));
}

void FrontDaemon::onOwnerProbeAnswer(const VmId& from, const OwnerProbeAnswer& answer, TimePoint now)
{
    forwarder_.onAlive(from, now);
    ownerReports_.onReports(from, answer.reports, now);
}

void FrontDaemon::sendReports(TimePoint now)
{
    if (!network_)
        return;
    for (OutgoingReports& outgoing : ownerReports_.takeDue(now))
        network_->send(outgoing.to, outgoing.address, OwnerProbe { std::move(outgoing.reports) });
}

void FrontDaemon::onPrimarySuspicion(const VmId& from, const PrimarySuspicion& query, TimePoint now)
{
    if (query.stepDownTerm != 0 || query.fence != 0)
        return stepDownRelay_.onQuery(from, query, now);
    suspicionConfirmer_.onQuery(from, query, now);
}

void FrontDaemon::onPrimarySuspicionAnswer(const VmId& from, const PrimarySuspicionAnswer& answer, TimePoint now)
{
    if (!stepDownRelay_.onAnswer(from, answer, now))
        suspicionConfirmer_.onAnswer(from, answer, now);
}

void FrontDaemon::updateOwners(TimePoint now)
{
    if (!routing_ || !hasMembers_)
        return;
    const MembershipView view = members_.view();
    relay_.setMembers(view);
    std::vector<LiveDaemon> coordinators
        = quotaCoordinators(view, settings_.quota.daemonsPerCoordinator, settings_.quota.coordinators);
    quotaCoordinator_.setCoordinators(coordinators, now);
    quotaClient_.setCoordinators(std::move(coordinators));
    std::map<GroupId, std::size_t> sharing;
    std::map<GroupId, std::vector<LiveDaemon>> forwardTo;
    std::map<GroupId, std::vector<LiveDaemon>> owned;
    std::map<GroupId, std::set<std::string>> names;
    for (const auto& [group, rule] : routing_->groups) {
        std::vector<LiveDaemon> owners = ownersOf(rule, view, settings_.sharing);
        const bool isOwner = std::any_of(
            owners.begin(), owners.end(), [this](const LiveDaemon& owner) { return owner.id == settings_.vm; });
        sharing[group] = isOwner ? owners.size() : 0;
        for (const LiveDaemon& owner : owners)
            names[group].insert(owner.id.text());
        (isOwner ? owned : forwardTo)[group] = std::move(owners);
    }
    if (names != lastLoggedOwners_)
        logInfo("owners_changed",
            { { "members", std::to_string(view.daemons.size()) }, { "groups", std::to_string(names.size()) },
                { "groups_not_owned", std::to_string(forwardTo.size()) } });
    lastLoggedOwners_ = names;
    promotions_.setOwners(std::move(names));
    stepDownRelay_.setOwners(owned);
    stepDownRelay_.setMembers(view.daemons);
    ownerReports_.setOwners(owned);
    suspicionConfirmer_.setOwners(std::move(owned));
    forwarder_.setOwners(std::move(forwardTo));
    dispatcher_.setSharing(sharing, now);
}

void FrontDaemon::registerMember()
{
    if (stop_.isStopping())
        return;
    const std::uint64_t registration = ++registration_;
    const auto isOutdated = [this, registration, alive = std::weak_ptr<int>(alive_)] {
        return alive.expired() || registration != registration_;
    };
    const auto retry = [this, isOutdated](const StoreFailure& failure) {
        logWarning("member_not_registered", { { "failure", toText(failure.kind) }, { "detail", failure.detail } });
        timers_.callAfter(registrationRetry, [this, isOutdated](TimePoint) {
            if (!isOutdated())
                registerMember();
        });
    };
    store_.grantLease(
        settings_.memberLeaseDuration, [this, retry, isOutdated, registration](const StoreResult<StoreLease>& granted) {
            if (isOutdated())
                return;
            if (!granted)
                return retry(granted.error());
            const LeaseId lease = granted.value().id;
            StoreTransaction transaction;
            transaction.puts.push_back(
                { storeKeys::members + settings_.vm.text(), FleetMembers::encode(self()), lease });
            store_.transact(
                transaction, [this, retry, isOutdated, lease, registration](const StoreResult<std::uint64_t>& written) {
                    if (isOutdated())
                        return;
                    if (!written)
                        return retry(written.error());
                    memberLease_ = lease;
                    // Shutdown began while the entry was being written, and the entry does not say so.
                    if (stop_.isStopping())
                        return announceLeaving();
                    renewMember(lease, registration);
                });
        });
}

void FrontDaemon::renewMember(const LeaseId& lease, std::uint64_t registration)
{
    const auto isOutdated = [this, registration, alive = std::weak_ptr<int>(alive_)] {
        return alive.expired() || registration != registration_ || stop_.isStopping();
    };
    timers_.callAfter(settings_.memberRenewInterval, [this, lease, registration, isOutdated](TimePoint) {
        if (isOutdated())
            return;
        store_.renewLease(lease, [this, lease, registration, isOutdated](const StoreResult<Done>& renewed) {
            if (isOutdated())
                return;
            if (!renewed && renewed.error().kind == StoreFailure::Kind::LeaseGone)
                return registerMember();
            if (!renewed)
                logWarning("member_not_renewed",
                    { { "failure", toText(renewed.error().kind) }, { "detail", renewed.error().detail } });
            renewMember(lease, registration);
        });
    });
}

void FrontDaemon::tick(TimePoint now)
{
    try {
        runTick(now);
    } catch (const std::exception& exception) {
        // The tick must be rescheduled: without it the daemon would keep its callers' connections and serve none.
        metrics_.count("almondlever_failed_ticks_total", "");
        if (log_.admits(0, now))
            logError("tick_failed", { { "reason", exception.what() } });
    }
    timers_.callAfter(StatementDispatcher::tickInterval, [this, alive = std::weak_ptr<int>(alive_)](TimePoint at) {
        if (!alive.expired())
            tick(at);
    });
}

void FrontDaemon::runTick(TimePoint now)
{
    const std::vector<EndpointEntry> removed = directory_.removeLapsed(now);
    for (const EndpointEntry& entry : removed)
        logInfo("endpoint_gone",
            { { "endpoint", entry.id.text() }, { "group", entry.group.text() },
                { "started_at", std::to_string(entry.startedAt.count()) } });
    if (!removed.empty() && hasMembers_)
        dispatcher_.onDirectoryChange(now);
    if (members_.removeLapsed(now))
        updateOwners(now);
    dispatcher_.onTick(now);
    refreshAfterSuspension(now);
    forwarder_.onTick(now);
    sendReports(now);
    relay_.onTick(now);
    quotaClient_.onTick(now);
    confirmConfiguration();
    stepDownRelay_.onTick(now);
    promotions_.onTick(now);
    if (now - lastSlowTickAt_ >= sessionCheckInterval) {
        lastSlowTickAt_ = now;
        for (const auto& [link, session] : sessions_)
            session->onTick(now);
        processPendingOpens(now);
        const std::uint64_t suppressed = log_.takeSuppressedCount();
        if (suppressed > 0)
            logInfo("decision_lines_left_out", { { "count", std::to_string(suppressed) } });
    }
    if (stop_.isStopping())
        tickStop(now);
}

void FrontDaemon::refreshAfterSuspension(TimePoint now)
{
    if (!dispatcher_.awaitsNewsSince() || isRefreshing_ || now - refreshedAt_ < suspensionRefreshInterval)
        return;
    isRefreshing_ = true;
    refreshedAt_ = now;
    ownFollower_.refresh([this, sentAt = now, alive = std::weak_ptr<int>(alive_)](bool isFresh) {
        if (alive.expired())
            return;
        isRefreshing_ = false;
        if (isFresh)
            dispatcher_.noteNews(sentAt, timers_.now());
    });
}

void FrontDaemon::noteRejectedCaller(StatementError error, std::string_view reason, std::size_t messageBytes)
{
    metrics_.count("almondlever_callers_rejected_total", std::string("error=\"") + toText(error) + '"');
    if (!log_.admits(0, now()))
        return;
    log_.write("caller_rejected",
        { { "error", toText(error) }, { "reason", reason }, { "message_bytes", std::to_string(messageBytes) } });
}

void FrontDaemon::beginStop(std::function<void()> onStopped)
{
    if (stop_.isStopping())
        return;
    const TimePoint now = timers_.now();
    logInfo("stop_begins", { { "sessions", std::to_string(sessions_.size()) } });
    onStopped_ = std::move(onStopped);
    stop_.begin(now);
    promotions_.stop();
    announceLeaving();
}

void FrontDaemon::announceLeaving()
{
    // A daemon whose key is deleted counts as a member for a grace period, since keys expire during outages of the
    // store; one whose entry says that it leaves does not.
    LiveDaemon leaving = self();
    leaving.isLeaving = true;
    StoreTransaction transaction;
    transaction.puts.push_back(
        { storeKeys::members + settings_.vm.text(), FleetMembers::encode(leaving), memberLease_ });
    if (memberLease_.isNone())
        return;
    store_.transact(transaction, [](const StoreResult<std::uint64_t>& result) {
        if (!result)
            logWarning("leaving_not_announced",
                { { "failure", toText(result.error().kind) }, { "detail", result.error().detail } });
    });
}

void FrontDaemon::tickStop(TimePoint now)
{
    const double share = stop_.shareToClose(now);
    if (share <= 0)
        sessionsAtStop_ = sessions_.size();
    std::vector<Session*> all;
    for (const auto& [link, session] : sessions_)
        all.push_back(session.get());
    const auto remainingSessions = static_cast<std::size_t>(static_cast<double>(sessionsAtStop_) * (1 - share));
    for (Session* session : all) {
        if (stop_.mustAnswerStatements(now))
            session->closeImmediately("the daemon stops, retry after 100 ms", now);
        else if (stop_.mustEndTransactions(now))
            session->abortTransaction("the daemon stops", now);
        if (share > 0 && (sessions_.size() > remainingSessions || share >= 1))
            session->closeWhenQuiescent();
    }
    const bool hasNoChange = promotions_.isIdle() && !promotions_.isReleasing();
    const bool isQuiet = share >= 1 && sessions_.empty() && hasNoChange && forwarded_.isIdle();
    if (!onStopped_ || (!isQuiet && !stop_.mustExit(now)))
        return;
    logInfo("stop_ends", { { "sessions", std::to_string(sessions_.size()) } });
    const auto stopped = std::move(onStopped_);
    onStopped_ = nullptr;
    stopped();
}

} // namespace almondlever
