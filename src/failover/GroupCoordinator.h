#pragma once

#include "PlannedHandOver.h"
#include "PrimaryChange.h"
#include "ServerMonitor.h"
#include "SuspicionTracker.h"
#include "almondlever/failover/FailoverCoordinator.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace almondlever {

/** Implementation of FailoverCoordinator for one group. */
class GroupCoordinator final : public FailoverCoordinator {
public:
    GroupCoordinator(DatabaseDescription, VmId self, const FailoverSettings&, TimePoint now);

    void setObservers(const std::vector<std::pair<VmId, FailureDomainId>>&) override;
    void setLeaving(const std::set<EndpointId>&) override;

    FailoverActions onTick(TimePoint now) override;
    FailoverActions onStatus(const EndpointId&, const EndpointResult<EndpointStatus>&, TimePoint now) override;
    FailoverActions onTermReply(const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now) override;
    FailoverActions onPromoteReply(
        const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now) override;
    FailoverActions onFollowReply(
        const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now) override;
    FailoverActions onSuspicion(const SuspicionReport&, TimePoint now) override;
    FailoverActions onAnnouncement(const PrimaryView&, TimePoint now) override;

    void onPrimaryAnswered(const EndpointId&, Term, TimePoint now) override;
    FailoverActions onPrimaryFailed(const EndpointId&, TimePoint now) override;
    FailoverActions onWritesPaused(LogPosition primaryLogEnd, TimePoint now) override;

    bool wantsWritesPaused() const override;
    std::optional<EndpointId> handOverTarget() const override;
    std::optional<PrimaryView> primary() const override;
    bool isChanging() const override;

private:
    bool isObserver() const { return rank_.has_value(); }
    bool isPrimary(const EndpointId& endpoint) const { return primary_ && primary_->primary == endpoint; }
    bool isPrimaryLeaving() const { return primary_ && leaving_.count(primary_->primary) > 0; }
    Term knownTerm() const { return primary_ ? primary_->term : 0; }
    EndpointId knownPrimary() const { return primary_ ? primary_->primary : EndpointId(); }
    bool isInExpectedRole(const EndpointId&) const;
    bool knowsCurrentPrimary() const;
    Duration probeIntervalOf(const EndpointId&) const;

    void log(FailoverActions&, const std::string& decision, const std::string& reason) const;
    void learnTerm(Term, TimePoint now);
    void processStatus(FailoverActions&, const EndpointId&, const EndpointStatus&, TimePoint now);
    void evaluatePrimaryStatus(const EndpointStatus&, TimePoint now);
    void adoptPrimary(FailoverActions&, const PrimaryView&, const std::string& reason, TimePoint now);

    void recoverFromProcessPause(FailoverActions&, TimePoint now);
    /** Probes the primary at once, and at the shorter interval for suspicionLifetime. */
    void probePrimaryOften(TimePoint now);
    void countMiss(TimePoint now);
    void clearMisses();
    void expireProbes(TimePoint now);
    void checkDiscovery(TimePoint now);
    void checkUnfinishedChange(TimePoint now);
    void updateSuspicion(FailoverActions&, TimePoint now);
    void report(FailoverActions&, bool isSuspected, TimePoint now);

    void updateAgreement(FailoverActions&, TimePoint now);
    void startChange(FailoverActions&, const std::string& reason, TimePoint now);
    void continueChange(FailoverActions&, TimePoint now);
    Duration backOff() const;
    int proposalPosition() const;
    void followIfNeeded(FailoverActions&, const EndpointId&, const EndpointStatus&, TimePoint now);
    void repeatAnnouncement(FailoverActions&, TimePoint now);

    void updateHandOver(FailoverActions&, TimePoint now);
    std::optional<EndpointId> findHandOverTarget(TimePoint now) const;
    void tryHandOver(FailoverActions&, TimePoint now);

    const DatabaseDescription group_;
    const VmId self_;
    const FailoverSettings settings_;
    std::vector<std::pair<VmId, FailureDomainId>> observers_;
    /** Index among the observers; nullopt when this daemon does not observe the group. */
    std::optional<std::size_t> rank_;
    std::set<EndpointId> leaving_;

    ServerMonitor servers_;
    SuspicionTracker suspicions_;
    PlannedHandOver handOver_;
    std::optional<PrimaryView> primary_;
    std::unique_ptr<PrimaryChange> change_;
    bool isChangePlanned_ = false;

    Term highestSeenTerm_ = 0;
    Term lastProposedTerm_ = 0;
    int failedAttempts_ = 0;
    std::optional<TimePoint> agreedSince_;
    TimePoint noProposalBefore_;

    int misses_ = 0;
    std::optional<TimePoint> lastMiss_;
    bool isSuspecting_ = false;
    TimePoint nextReport_;
    /** The primary is probed at the shorter interval until then, after a failed statement or a report of another
     * observer. */
    TimePoint probeOftenUntil_;
    TimePoint nextDiscovery_;
    std::optional<TimePoint> unfinishedSince_;

    std::map<EndpointId, TimePoint> lastFollow_;
    std::optional<TimePoint> lastAnnouncement_;
    int announcementsLeft_ = 0;
    TimePoint lastTick_;
};

} // namespace almondlever
