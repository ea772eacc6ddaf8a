#include "GroupCoordinator.h"

#include <algorithm>
#include <cassert>

namespace almondlever {

namespace {

    /** Replicas that follow the primary are probed this many times less often than the primary. */
    constexpr int replicaProbeFactor = 5;
    /** While writes are paused for a planned change, the other servers are probed this many times more often. */
    constexpr int handOverProbeFactor = 4;
    /** Number of times an announcement is repeated, in case it was lost. */
    constexpr int announcementRepetitions = 2;

    std::string describeView(Term term, const EndpointId& primary)
    {
        if (primary.isEmpty())
            return "no primary known";
        return "primary " + primary.text() + " of term " + std::to_string(term);
    }

} // namespace

std::unique_ptr<FailoverCoordinator> makeFailoverCoordinator(
    const DatabaseDescription& group, const VmId& self, const FailoverSettings& settings, TimePoint now)
{
    return std::make_unique<GroupCoordinator>(group, self, settings, now);
}

GroupCoordinator::GroupCoordinator(
    DatabaseDescription group, VmId self, const FailoverSettings& settings, TimePoint now)
    : group_(std::move(group))
    , self_(std::move(self))
    , settings_(settings)
    , servers_(group_, settings_, now)
    , suspicions_(settings_.suspicionLifetime)
    , handOver_(settings_)
    , noProposalBefore_(now)
    , nextReport_(now)
    , nextDiscovery_(now + settings_.probeTimeout)
    , lastTick_(now)
{
}

void GroupCoordinator::setObservers(const std::vector<std::pair<VmId, FailureDomainId>>& observers)
{
    observers_ = observers;
    suspicions_.setObservers(observers);
    rank_.reset();
    for (std::size_t index = 0; index < observers.size() && !rank_; ++index) {
        if (observers[index].first == self_)
            rank_ = index;
    }
}

void GroupCoordinator::setLeaving(const std::set<EndpointId>& leaving)
{
    leaving_ = leaving;
    if (!isPrimaryLeaving())
        handOver_.stop();
}

FailoverActions GroupCoordinator::onTick(TimePoint now)
{
    FailoverActions actions;
    recoverFromProcessPause(actions, now);
    lastTick_ = now;
    if (!isObserver())
        return actions;
    expireProbes(now);
    checkDiscovery(now);
    checkUnfinishedChange(now);
    updateSuspicion(actions, now);
    updateHandOver(actions, now);
    continueChange(actions, now);
    updateAgreement(actions, now);
    repeatAnnouncement(actions, now);
    const FailoverActions probes
        = servers_.dueProbes(now, [this](const EndpointId& endpoint) { return probeIntervalOf(endpoint); });
    actions.insert(actions.end(), probes.begin(), probes.end());
    return actions;
}

FailoverActions GroupCoordinator::onStatus(
    const EndpointId& endpoint, const EndpointResult<EndpointStatus>& result, TimePoint now)
{
    FailoverActions actions;
    if (!servers_.contains(endpoint))
        return actions;
    if (result) {
        processStatus(actions, endpoint, result.value(), now);
        tryHandOver(actions, now);
    } else if (result.error().code == EndpointErrorCode::ConnectionLost) {
        if (servers_.onRefused(endpoint) && isPrimary(endpoint))
            countMiss(now);
    } else if (result.error().code != EndpointErrorCode::TimedOut) {
        // Timeouts are detected by expireProbes(), so that a late timeout report is not counted as a second miss.
        servers_.discardOutstanding(endpoint);
    }
    if (isObserver())
        updateSuspicion(actions, now);
    return actions;
}

FailoverActions GroupCoordinator::onTermReply(
    const EndpointId& endpoint, Term term, const EndpointResult<EndpointStatus>& reply, TimePoint now)
{
    FailoverActions actions;
    if (!servers_.contains(endpoint))
        return actions;
    if (reply)
        processStatus(actions, endpoint, reply.value(), now);
    else
        learnTerm(reply.error().term, now);
    if (!change_)
        return actions;
    const FailoverActions more = change_->onTermReply(endpoint, term, reply, now);
    actions.insert(actions.end(), more.begin(), more.end());
    continueChange(actions, now);
    return actions;
}

FailoverActions GroupCoordinator::onPromoteReply(
    const EndpointId& endpoint, Term term, const EndpointResult<EndpointStatus>& reply, TimePoint now)
{
    FailoverActions actions;
    if (!servers_.contains(endpoint))
        return actions;
    if (!reply)
        learnTerm(reply.error().term, now);
    if (change_)
        change_->onPromoteReply(endpoint, term, reply, now);
    continueChange(actions, now);
    if (reply)
        processStatus(actions, endpoint, reply.value(), now);
    return actions;
}

FailoverActions GroupCoordinator::onFollowReply(
    const EndpointId& endpoint, Term, const EndpointResult<EndpointStatus>& reply, TimePoint now)
{
    FailoverActions actions;
    if (!servers_.contains(endpoint))
        return actions;
    if (reply)
        processStatus(actions, endpoint, reply.value(), now);
    else
        learnTerm(reply.error().term, now);
    return actions;
}

FailoverActions GroupCoordinator::onSuspicion(const SuspicionReport& report, TimePoint now)
{
    FailoverActions actions;
    if (report.database != group_.id || report.observer == self_)
        return actions;
    if (report.term > knownTerm() && servers_.contains(report.primary))
        adoptPrimary(actions, { group_.id, report.term, report.primary }, "reported by " + report.observer.text(), now);
    suspicions_.record(report, now);
    if (!isObserver())
        return actions;
    const bool isOutdated = primary_ && report.term < primary_->term;
    if (isOutdated && (!lastAnnouncement_ || now - *lastAnnouncement_ >= settings_.probeInterval)) {
        lastAnnouncement_ = now;
        actions.emplace_back(AnnouncePrimaryAction { *primary_ });
    }
    if (!isOutdated && primary_ && !isSuspecting_)
        probePrimaryOften(now);
    updateAgreement(actions, now);
    return actions;
}

FailoverActions GroupCoordinator::onAnnouncement(const PrimaryView& view, TimePoint now)
{
    FailoverActions actions;
    if (view.database != group_.id || !servers_.contains(view.primary))
        return actions;
    if (view.term > knownTerm())
        adoptPrimary(actions, view, "announced", now);
    return actions;
}

void GroupCoordinator::onPrimaryAnswered(const EndpointId& endpoint, Term term, TimePoint now)
{
    if (!isPrimary(endpoint) || term != primary_->term)
        return;
    servers_.postponeProbe(endpoint, now);
    if (servers_.countPromisedBeyond(term) < group_.majority())
        clearMisses();
}

FailoverActions GroupCoordinator::onPrimaryFailed(const EndpointId& endpoint, TimePoint now)
{
    FailoverActions actions;
    if (!isObserver() || !isPrimary(endpoint))
        return actions;
    probePrimaryOften(now);
    if (now >= nextReport_)
        report(actions, isSuspecting_, now);
    return actions;
}

void GroupCoordinator::probePrimaryOften(TimePoint now)
{
    probeOftenUntil_ = now + settings_.suspicionLifetime;
    servers_.probeSoon(primary_->primary, now);
}

FailoverActions GroupCoordinator::onWritesPaused(LogPosition primaryLogEnd, TimePoint now)
{
    FailoverActions actions;
    if (!isObserver() || primaryLogEnd.term != knownTerm())
        return actions;
    handOver_.onPaused(primaryLogEnd);
    servers_.probeAllSoon(now);
    tryHandOver(actions, now);
    return actions;
}

bool GroupCoordinator::wantsWritesPaused() const { return handOver_.isPreparing() || (change_ && isChangePlanned_); }

std::optional<EndpointId> GroupCoordinator::handOverTarget() const { return handOver_.target(); }

std::optional<PrimaryView> GroupCoordinator::primary() const
{
    if (change_ || (failedAttempts_ > 0 && isSuspecting_))
        return std::nullopt;
    return primary_;
}

bool GroupCoordinator::isChanging() const { return change_ || agreedSince_ || handOver_.isPreparing(); }

bool GroupCoordinator::isInExpectedRole(const EndpointId& endpoint) const
{
    if (!primary_)
        return false;
    const EndpointStatus* status = servers_.statusOf(endpoint);
    return status && status->promisedTerm == primary_->term
        && (isPrimary(endpoint) || status->following == primary_->primary);
}

bool GroupCoordinator::knowsCurrentPrimary() const
{
    return primary_ && !change_ && !isSuspecting_ && primary_->term >= highestSeenTerm_;
}

Duration GroupCoordinator::probeIntervalOf(const EndpointId& endpoint) const
{
    if (handOver_.isPaused() && !isPrimary(endpoint))
        return settings_.probeInterval / handOverProbeFactor;
    const bool isPrimaryHealthy
        = primary_ && !isSuspecting_ && !change_ && misses_ == 0 && lastTick_ >= probeOftenUntil_;
    if (!isPrimaryHealthy)
        return settings_.probeInterval;
    const bool isReplicaStable = !isPrimary(endpoint)
        && (isInExpectedRole(endpoint)
            || !servers_.hasAnsweredSince(endpoint, lastTick_ - settings_.suspicionLifetime));
    return isReplicaStable ? settings_.healthyProbeInterval * replicaProbeFactor : settings_.healthyProbeInterval;
}

void GroupCoordinator::log(FailoverActions& actions, const std::string& decision, const std::string& reason) const
{
    actions.emplace_back(LogDecisionAction { group_.id, decision, reason });
}

void GroupCoordinator::learnTerm(Term term, TimePoint now)
{
    if (term <= highestSeenTerm_)
        return;
    highestSeenTerm_ = term;
    // Another proposer is active. Allow it the duration of one operation before this observer proposes; the delay by
    // rank keeps the observers from proposing at the same time.
    if (term > lastProposedTerm_ && term > knownTerm() && isObserver() && (isSuspecting_ || agreedSince_)) {
        const TimePoint earliestProposal
            = now + settings_.operationTimeout + settings_.rankDelay * static_cast<int>(*rank_);
        noProposalBefore_ = std::max(noProposalBefore_, earliestProposal);
    }
}

void GroupCoordinator::processStatus(
    FailoverActions& actions, const EndpointId& endpoint, const EndpointStatus& status, TimePoint now)
{
    const bool isNewest = servers_.onAnswer(endpoint, status, now);
    learnTerm(status.promisedTerm, now);
    const bool isNewView = !primary_ || status.promisedTerm > primary_->term;
    if (isNewest && status.role == EndpointRole::Primary && isNewView) {
        adoptPrimary(actions, { group_.id, status.promisedTerm, endpoint }, "reported by the server", now);
        return;
    }
    if (isNewest && isPrimary(endpoint))
        evaluatePrimaryStatus(status, now);
    followIfNeeded(actions, endpoint, status, now);
}

void GroupCoordinator::evaluatePrimaryStatus(const EndpointStatus& status, TimePoint now)
{
    const bool leads = status.role == EndpointRole::Primary && status.promisedTerm == primary_->term;
    // Once a majority has promised a later term, the primary still answers but cannot confirm writes.
    if (leads && servers_.countPromisedBeyond(primary_->term) < group_.majority())
        clearMisses();
    else
        countMiss(now);
}

void GroupCoordinator::adoptPrimary(
    FailoverActions& actions, const PrimaryView& view, const std::string& reason, TimePoint now)
{
    assert(!primary_ || view.term > primary_->term);
    primary_ = view;
    highestSeenTerm_ = std::max(highestSeenTerm_, view.term);
    log(actions, "primary_changed " + view.primary.text(), "term " + std::to_string(view.term) + ", " + reason);
    misses_ = 0;
    lastMiss_.reset();
    isSuspecting_ = false;
    agreedSince_.reset();
    unfinishedSince_.reset();
    failedAttempts_ = 0;
    noProposalBefore_ = now;
    handOver_.stop();
    lastFollow_.clear();
    announcementsLeft_ = 0;
    if (!change_ || change_->term() > view.term)
        return;
    const bool isOwn = change_->term() == view.term;
    change_.reset();
    isChangePlanned_ = false;
    if (!isOwn)
        return;
    lastAnnouncement_ = now;
    announcementsLeft_ = announcementRepetitions;
    actions.emplace_back(AnnouncePrimaryAction { view });
    for (const EndpointDescription& endpoint : group_.endpoints) {
        if (endpoint.id == view.primary)
            continue;
        lastFollow_[endpoint.id] = now;
        actions.emplace_back(FollowAction { endpoint.id, view.term, view.primary });
    }
}

void GroupCoordinator::recoverFromProcessPause(FailoverActions& actions, TimePoint now)
{
    if (now - lastTick_ < settings_.probeTimeout * 2)
        return;
    // This process was paused. Answers waiting in its queues must not count as missed probes.
    servers_.discardAllOutstanding();
    clearMisses();
    nextDiscovery_ = now + settings_.probeTimeout;
    unfinishedSince_.reset();
    handOver_.stop();
    if (isObserver())
        updateSuspicion(actions, now);
}

void GroupCoordinator::countMiss(TimePoint now)
{
    if (lastMiss_ && now - *lastMiss_ < settings_.probeInterval / 2)
        return;
    lastMiss_ = now;
    ++misses_;
}

void GroupCoordinator::clearMisses()
{
    misses_ = 0;
    lastMiss_.reset();
}

void GroupCoordinator::expireProbes(TimePoint now)
{
    for (const EndpointId& endpoint : servers_.expire(now)) {
        if (isPrimary(endpoint))
            countMiss(now);
    }
}

void GroupCoordinator::checkDiscovery(TimePoint now)
{
    if (primary_ || now < nextDiscovery_)
        return;
    nextDiscovery_ = now + settings_.probeInterval;
    // Only an observer that reaches a majority of the servers can conclude that the group has no primary.
    const TimePoint since = now - settings_.probeInterval - settings_.probeTimeout;
    if (servers_.countAnsweredSince(since) >= group_.majority())
        countMiss(now);
    else
        clearMisses();
}

void GroupCoordinator::checkUnfinishedChange(TimePoint now)
{
    // A server that promised a later term to a proposer that died cannot follow the primary until another change
    // completes.
    const bool isUnfinished = primary_ && !change_ && servers_.countPromisedBeyond(primary_->term) > 0;
    if (!isUnfinished)
        unfinishedSince_.reset();
    else if (!unfinishedSince_)
        unfinishedSince_ = now;
}

void GroupCoordinator::updateSuspicion(FailoverActions& actions, TimePoint now)
{
    const bool isUnfinished = unfinishedSince_ && now - *unfinishedSince_ >= settings_.suspicionLifetime;
    const bool shouldSuspect = misses_ >= settings_.missesToSuspect || isUnfinished;
    if (shouldSuspect && !isSuspecting_) {
        isSuspecting_ = true;
        log(actions, "suspect_primary",
            describeView(knownTerm(), knownPrimary())
                + (isUnfinished ? ", a server promised a later term" : ", " + std::to_string(misses_) + " misses"));
        servers_.probeAllSoon(now);
        report(actions, true, now);
        updateAgreement(actions, now);
    } else if (shouldSuspect && now >= nextReport_) {
        report(actions, true, now);
    } else if (!shouldSuspect && isSuspecting_) {
        isSuspecting_ = false;
        log(actions, "withdraw_suspicion", describeView(knownTerm(), knownPrimary()) + " answers");
        report(actions, false, now);
    }
}

void GroupCoordinator::report(FailoverActions& actions, bool isSuspected, TimePoint now)
{
    const SuspicionReport report { group_.id, self_, knownTerm(), knownPrimary(), isSuspected };
    suspicions_.record(report, now);
    actions.emplace_back(ReportSuspicionAction { report });
    nextReport_ = now + settings_.probeInterval;
}

} // namespace almondlever
