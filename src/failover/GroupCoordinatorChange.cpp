// GroupCoordinator: agreement, changes of primary and planned hand-overs.
#include "GroupCoordinator.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** A replica that was up to date this recently is expected to catch up while writes are paused. */
    constexpr Milliseconds maxHandOverStaleness { 500 };
    /** The back-off stops increasing after this many failed attempts. */
    constexpr int maxBackOffFactor = 4;

    /** FNV-1a. Spreads the delays of observers that disagree about their ranks. */
    std::uint32_t hashOf(const std::string& text)
    {
        std::uint32_t hash = 2166136261U;
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
        return hash;
    }

} // namespace

void GroupCoordinator::updateAgreement(FailoverActions& actions, TimePoint now)
{
    const bool isAgreed = isSuspecting_ && suspicions_.hasMajority(knownTerm(), knownPrimary(), now);
    if (!isAgreed) {
        agreedSince_.reset();
        return;
    }
    if (!agreedSince_) {
        agreedSince_ = now;
        log(actions, "agree_on_change", "a majority of the observers suspects the primary");
    }
    // Until a majority has answered, this coordinator might reuse a term that its predecessor had proposed.
    const bool hasHeardMajority = servers_.countAnsweredSince(TimePoint::min()) >= group_.majority();
    const TimePoint turn = *agreedSince_ + settings_.rankDelay * proposalPosition();
    if (!change_ && hasHeardMajority && now >= turn && now >= noProposalBefore_)
        startChange(actions, "suspected by a majority of the observers", now);
}

int GroupCoordinator::proposalPosition() const
{
    const auto suspect = std::find_if(group_.endpoints.begin(), group_.endpoints.end(),
        [this](const EndpointDescription& endpoint) { return isPrimary(endpoint.id); });
    // Observers in the failure domain of the suspected primary are probably partitioned with it and propose last.
    const auto isNear = [&](std::size_t place) {
        return suspect != group_.endpoints.end() && observers_[place].second == suspect->failureDomain;
    };
    int before = 0;
    for (std::size_t place = 0; place < observers_.size(); ++place) {
        if (place == *rank_)
            continue;
        const bool isEarlierOfSame = isNear(place) == isNear(*rank_) && place < *rank_;
        if (isEarlierOfSame || (isNear(*rank_) && !isNear(place)))
            ++before;
    }
    return before;
}

void GroupCoordinator::startChange(FailoverActions& actions, const std::string& reason, TimePoint now)
{
    const Term term = std::max({ highestSeenTerm_, lastProposedTerm_, knownTerm() }) + 1;
    lastProposedTerm_ = term;
    log(actions, "start_change",
        "term " + std::to_string(term) + ", attempt " + std::to_string(failedAttempts_ + 1) + ", " + reason);
    change_ = std::make_unique<PrimaryChange>(group_, leaving_, term, settings_);
    const FailoverActions more = change_->start(now);
    actions.insert(actions.end(), more.begin(), more.end());
}

void GroupCoordinator::continueChange(FailoverActions& actions, TimePoint now)
{
    if (!change_)
        return;
    const FailoverActions more = change_->onTick(now);
    actions.insert(actions.end(), more.begin(), more.end());
    if (change_->phase() == PrimaryChange::Phase::Promoted) {
        const PrimaryView view { group_.id, change_->term(), change_->chosen() };
        if (view.term > knownTerm())
            adoptPrimary(actions, view, "promoted by this observer", now);
        else
            change_.reset();
        return;
    }
    if (change_->phase() != PrimaryChange::Phase::Failed)
        return;
    ++failedAttempts_;
    log(actions, "change_failed", "term " + std::to_string(change_->term()) + ", " + change_->failure());
    learnTerm(change_->laterTerm(), now);
    change_.reset();
    isChangePlanned_ = false;
    noProposalBefore_ = std::max(noProposalBefore_, now + backOff());
}

Duration GroupCoordinator::backOff() const
{
    const int rank = rank_ ? static_cast<int>(*rank_) : static_cast<int>(observers_.size());
    const int factor = std::min(failedAttempts_, maxBackOffFactor) + rank;
    const std::uint32_t hash = hashOf(self_.text() + "/" + std::to_string(failedAttempts_));
    const Milliseconds spread { hash % static_cast<std::uint32_t>(settings_.rankDelay.count() / 2 + 1) };
    return settings_.rankDelay * factor + spread;
}

void GroupCoordinator::followIfNeeded(
    FailoverActions& actions, const EndpointId& endpoint, const EndpointStatus& status, TimePoint now)
{
    if (!isObserver() || isPrimary(endpoint) || !knowsCurrentPrimary())
        return;
    const bool isOlder = status.promisedTerm < primary_->term;
    const bool followsOther = status.promisedTerm == primary_->term && status.following != primary_->primary;
    if (!isOlder && !followsOther)
        return;
    const auto last = lastFollow_.find(endpoint);
    if (last != lastFollow_.end() && now - last->second < settings_.probeInterval / 2)
        return;
    lastFollow_[endpoint] = now;
    log(actions, "follow " + endpoint.text(),
        (isOlder ? "promised older term " + std::to_string(status.promisedTerm) : std::string("follows no or other"))
            + ", primary is " + primary_->primary.text());
    actions.emplace_back(FollowAction { endpoint, primary_->term, primary_->primary });
}

void GroupCoordinator::repeatAnnouncement(FailoverActions& actions, TimePoint now)
{
    if (announcementsLeft_ == 0 || now - *lastAnnouncement_ < settings_.probeInterval)
        return;
    --announcementsLeft_;
    lastAnnouncement_ = now;
    actions.emplace_back(AnnouncePrimaryAction { *primary_ });
}

void GroupCoordinator::updateHandOver(FailoverActions& actions, TimePoint now)
{
    if (handOver_.expire(now))
        log(actions, "resume_writes", "no staying server caught up with the leaving primary in time");
    if (!isPrimaryLeaving() || !knowsCurrentPrimary()) {
        handOver_.stop();
        return;
    }
    if (!handOver_.mayPrepare(now))
        return;
    const std::optional<EndpointId> target = findHandOverTarget(now);
    if (!target)
        return;
    handOver_.prepare(*target, now);
    log(actions, "pause_writes", "primary " + knownPrimary().text() + " is leaving, " + target->text() + " is close");
}

std::optional<EndpointId> GroupCoordinator::findHandOverTarget(TimePoint now) const
{
    const EndpointStatus* best = nullptr;
    std::optional<EndpointId> target;
    for (const EndpointDescription& endpoint : group_.endpoints) {
        if (isPrimary(endpoint.id) || leaving_.count(endpoint.id) > 0 || !isInExpectedRole(endpoint.id))
            continue;
        const EndpointStatus* status = servers_.statusOf(endpoint.id);
        const bool isClose = status->logEnd.term == knownTerm() && status->staleness <= maxHandOverStaleness;
        if (!isClose || !servers_.hasAnsweredSince(endpoint.id, now - settings_.suspicionLifetime))
            continue;
        if (best && status->logEnd <= best->logEnd)
            continue;
        best = status;
        target = endpoint.id;
    }
    return target;
}

void GroupCoordinator::tryHandOver(FailoverActions& actions, TimePoint now)
{
    if (!handOver_.isPaused() || change_ || !knowsCurrentPrimary())
        return;
    for (const EndpointDescription& endpoint : group_.endpoints) {
        if (isPrimary(endpoint.id) || leaving_.count(endpoint.id) > 0 || !isInExpectedRole(endpoint.id))
            continue;
        if (!handOver_.isCaughtUp(servers_.statusOf(endpoint.id)->logEnd))
            continue;
        handOver_.stop();
        isChangePlanned_ = true;
        startChange(actions, "primary is leaving and " + endpoint.id.text() + " has its whole log", now);
        return;
    }
}

} // namespace almondlever
