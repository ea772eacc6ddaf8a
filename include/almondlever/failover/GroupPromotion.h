#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/failover/LogHolders.h"
#include "almondlever/failover/PromotionCalls.h"
#include "almondlever/groups/EndpointEntry.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/** Reason for a change of primary. */
enum class PromotionReason {
    /** The primary does not answer. */
    PrimaryFailed,
    /** The primary answers but acknowledges no write, because it cannot replicate. */
    PrimaryStalled,
    /** The primary is shutting down and still answers. */
    PrimaryLeaving,
    /** A daemon died during a promotion: replicas may still be paused, and its promote call may still take effect. */
    Recovery,
};

/** "primary_failed", "primary_stalled", "primary_leaving" or "recovery". */
const char* toText(PromotionReason);

/** An endpoint of the group at the start of the promotion. */
struct PromotionMember {
    EndpointId id;
    bool isPrimary = false;
    bool isLeaving = false;
    /** Unix time of its start; see EndpointEntry. */
    Milliseconds startedAt { 0 };
    std::string address {};
    /** It was first listed while no endpoint was listed as the primary, so that it can have copied no log since then.
     */
    bool joinedWithoutPrimary = false;
};

/** Timeouts and intervals of a promotion. */
struct PromotionSettings {
    /** Endpoints that have not answered by then are not waited for any longer if enough others answered. */
    Milliseconds answerTimeout { 250 };
    /** The attempt fails when too few endpoints have answered by then. */
    Milliseconds fenceTimeout { 1200 };
    /** The attempt fails when the chosen replica still lacks commits by then. */
    Milliseconds catchUpTimeout { 1500 };
    Milliseconds statusInterval { 60 };
    /** The old primary counts as unreachable when no daemon has reported by then that it stepped down. */
    Milliseconds stepDownTimeout { 250 };
    /**
     * Time in which a replica has to reach the end of the old primary's log after that one stepped down. The group has
     * no primary meanwhile. Several round trips between regions (12 ms one way) plus scheduling delays of a VM.
     */
    Milliseconds lastEntriesTimeout { 400 };
    /** The attempt fails when the platform has not accepted a call by then; nothing has changed yet. */
    Milliseconds platformProbeTimeout { 500 };
    /** Interval at which an old primary that nobody reached is ordered again to step down. */
    Milliseconds stepDownRepeatInterval { 300 };
    /**
     * Time after which a promotion that the platform accepted has taken effect: the longest one in the deployments
     * takes a second.
     */
    Milliseconds promotionEffectTime { 1500 };
    /** Delay before the promote call is repeated with the same fencing token. */
    Milliseconds promoteRetryInterval { 250 };
    /** The attempt fails when the chosen endpoint is not the primary by then. */
    Milliseconds confirmTimeout { 6000 };
    /** Replicas that were not resumed by then are left to a recovery. */
    Milliseconds resumeTimeout { 2000 };
    Milliseconds resumeRetryInterval { 300 };
    /** Time for which replicas are resumed that have never answered; most of them are not running. */
    Milliseconds unansweredResumeTime { 600 };
    /**
     * Interval at which the pause orders are repeated until the chosen endpoint is the primary. A replica's restart
     * ends its pause, and so does a delayed resume order of an earlier change.
     */
    Milliseconds pauseRepeatInterval { 100 };
};

/**
 * One attempt to change the primary of a group without losing an acknowledged commit.
 *
 * A commit is acknowledged once the primary and `synchronousReplicas` replicas hold it. From the moment at which the
 * chosen log is compared with the others until its endpoint leads, no commit that the chosen one lacks may be
 * acknowledged to a caller.
 *
 * Only the old primary acknowledges commits, so the attempt makes it step down, through other daemons if this one does
 * not reach it. The end of its log is then final, if it is known to have led until then, and an endpoint is promoted
 * once it has reached that end. If none does in time, the old primary is promoted again: it holds everything, and the
 * change is given up.
 *
 * A primary that does not confirm its step-down may still be reached by some daemon. Its replicas are paused and their
 * logs compared: of any `holders - synchronousReplicas` logs at least one holds every acknowledged commit, so the
 * attempt waits for that many answers and promotes the most advanced log. Holders are the members and the endpoints of
 * setMissingHolders(). A pause may end by a restart or a late order. Whoever executes the orders therefore makes all
 * daemons hold the group's writes before the call, and has logs that were compared earlier compared again; see
 * compareAgain(). The same holds for an endpoint that does not know the order to step down.
 *
 * A primary that is leaving serves until one replica has caught up while all others are paused. Paused replicas are
 * resumed once the chosen one is the primary. A promote order without an answer may take effect late; it is repeated
 * for a while. If its outcome is still not known, or the choice has become unsafe, the replicas stay paused and the
 * attempt is left to a recovery; see needsRecovery(). Performs no I/O.
 */
class GroupPromotion {
public:
    struct Order {
        enum class Kind { QueryStatus, Pause, Resume, StepDown, Promote };
        Kind kind = Kind::QueryStatus;
        EndpointId endpoint;
        /** Only for Pause and StepDown. */
        Term term = 0;
    };
    using Orders = std::vector<Order>;

    GroupPromotion(std::vector<PromotionMember>, std::size_t synchronousReplicas, Term newestTerm, PromotionReason,
        const PromotionSettings&);

    /**
     * Records a position that was acknowledged to callers, or that a replica held in addition to the primary. A replica
     * whose log ends before it is never promoted, however many members answered: a member that left the group may have
     * held the only other copy of the commit.
     */
    void noteAcknowledged(const LogPosition& position)
    {
        acknowledgedPosition_ = std::max(acknowledgedPosition_, position);
    }

    /**
     * Sets the log holders that are not listed: they count, but cannot be asked. nullopt: the group's holders are not
     * known, so that no number of logs is enough. A primary that crashed comes back with its log at its address, under
     * another id: the log of that endpoint is also the log of the holder, unless it ends before `confirmed`, a position
     * that the primary held, or may have been copied from another primary.
     */
    void setMissingHolders(std::optional<std::vector<LogHolder>> missing, const LogPosition& confirmed = {})
    {
        missingHolders_ = std::move(missing);
        confirmedPosition_ = confirmed;
    }

    /**
     * Records that the listed primary led in a term, according to the store or to its own answers. Without that, or an
     * answer as the primary during this change, its entry may show a role that it has lost: the end of its log is then
     * not the end of everything acknowledged.
     */
    void notePrimaryTerm(Term term) { primaryTerm_ = term; }

    /** `hasRelay`: other daemons can be asked to send the order to step down to a primary that does not answer. */
    Orders start(TimePoint now, bool hasRelay = false);
    /** Result of QueryStatus, Pause or Resume; nullopt when the endpoint was unreachable or refused. */
    Orders onStatus(const EndpointId&, Order::Kind, const std::optional<EndpointReplicationStatus>&, TimePoint now);
    /** Result of StepDown, from this daemon and from those that it asked to relay the order. */
    Orders onStepDown(const StepDownReport&, TimePoint now);
    /**
     * Adds endpoints that joined the group after the start, or started again without their log; while they could help
     * the old primary, they are paused.
     */
    Orders onMembers(const std::vector<PromotionMember>&);
    Orders onPromotionResult(PromotionResult, TimePoint now);
    /**
     * True if the chosen replica was found by comparing logs, so that the list of members has to be read again before
     * the platform is called: an endpoint may have joined, or started again, while the logs were compared.
     */
    bool isChosenByCount() const { return isChosenByCount_; }
    /** True if the logs compared so far are still enough for the members that are known now. */
    bool isChoiceComplete() const { return !wasPauseBroken_ && hasEnoughLogs(pausedPositions_); }
    /** Time at which the comparison began by which the replica was chosen; see isChosenByCount(). */
    TimePoint comparedSince() const { return comparedSince_; }
    /**
     * The order of the choice was not carried out: pauses and compares the replicas again. A replica whose pause had
     * ended may hold a commit that a caller heard of after the comparison.
     */
    Orders compareAgain(TimePoint now);
    /**
     * The choice must not be ordered, and this order was not carried out. An earlier call for it may still take effect;
     * the attempt is then left to a recovery.
     */
    Orders onChoiceOutdated(const std::string& reason, TimePoint now);
    Orders onTick(TimePoint now);

    bool isFinished() const { return phase_ == Phase::Finished; }
    bool hasSucceeded() const { return isFinished() && failure_.empty(); }
    /**
     * True once nothing that the attempt has ordered can make another endpoint the primary: no call was made, or the
     * called endpoint leads. Replicas are resumed then, and daemons need no longer hold writes back.
     */
    bool areCallsResolved() const { return areCallsResolved_; }
    /** True when a promote order may still take effect, or replicas may still be paused, after the attempt ended. */
    bool needsRecovery() const { return needsRecovery_; }
    /**
     * True if a call was made for no other endpoint than the one that answered as the primary. While that one leads, a
     * late call changes nothing, and before another one leads a newer fencing token is accepted.
     */
    bool hasCalledOnlyPrimary() const { return confirmsPrimary() && !isChosenByCount_; }
    bool isListedAsPrimary(const EndpointId& endpoint) const { return primary() && primary()->id == endpoint; }
    /** True if the old primary may acknowledge commits until the called endpoint leads. */
    bool mayOldPrimaryAcknowledge(const EndpointId& called) const
    {
        return !steppedDownPosition_ && !isListedAsPrimary(called);
    }
    const EndpointId& chosen() const { return chosen_; }
    /** Term in which the chosen endpoint reported that it leads; 0 when it did not. */
    Term leadingTerm() const { return leadingTerm_; }
    const std::string& failure() const { return failure_; }
    /** True if the attempt failed because too few logs are known; unseenHolders() tells whose are missing. */
    bool lacksLogs() const { return lacksLogs_; }
    /** Number of logs that must be known before a replica is promoted without the old primary's consent. */
    std::size_t requiredLogs() const;
    /** Log holders that are not listed; they were given no orders. */
    std::vector<LogHolder> missingHolders() const { return missingHolders_.value_or(std::vector<LogHolder>()); }
    /** Log holders whose logs were not compared. */
    std::set<EndpointId> unseenHolders() const { return idsNotIn(pausedPositions_); }
    /** End of the old primary's log; nullopt when it did not step down. */
    const std::optional<LogPosition>& steppedDownPosition() const { return steppedDownPosition_; }
    /** True when a paused replica received commits that the chosen one lacks; the choice is then not called again. */
    bool wasPauseBroken() const { return wasPauseBroken_; }
    LogPosition chosenPosition() const;

    /** Lower bound of what was acknowledged; see noteAcknowledged(). */
    const LogPosition& acknowledgedPosition() const { return acknowledgedPosition_; }
    /** Positions of paused replicas, which cannot advance. */
    const std::map<EndpointId, LogPosition>& pausedPositions() const { return pausedPositions_; }
    /** Positions from status queries, which can still advance. */
    const std::map<EndpointId, LogPosition>& reportedPositions() const { return reportedPositions_; }
    /** Endpoints that did not answer their last order. */
    const std::set<EndpointId>& unreachable() const { return unreachable_; }
    /** Replicas that have not confirmed the resume order. */
    const std::set<EndpointId>& unconfirmedResumes() const { return unconfirmedResumes_; }

private:
    enum class Phase {
        /** Queries whether the primary answers and which positions the replicas have reached. */
        QueryingStatus,
        /** Pauses replicas. */
        Fencing,
        /** Waits until the chosen replica has everything that the paused ones hold. */
        CatchingUp,
        /**
         * Promotes the present primary, which changes nothing while it leads: it shows that the platform accepts calls,
         * before the group is left without a primary, and makes older calls void. Then waits until the call has taken
         * effect, since it would make the primary lead again after it has stepped down.
         */
        ProbingPlatform,
        /** Waits for the result of the order to step down. */
        SteppingDown,
        /** The old primary has stepped down; waits for a replica that has reached the end of its log. */
        AwaitingLastEntries,
        Promoting,
        Confirming,
        /** Resumes the paused replicas; the outcome of the attempt is already known. */
        Resuming,
        Finished,
    };

    Orders beginFencing(TimePoint now);
    /** A primary that does not answer makes the wait for the replicas' answers no shorter. */
    std::size_t countUnreachableReplicas() const;
    Orders tryChooseReplica(TimePoint now);
    Orders promote(TimePoint now);
    Orders fail(const std::string& reason, TimePoint now);
    Orders resumeOthers(TimePoint now);
    Orders ordersToResume() const;
    /** Repeats the pause orders for replicas that must receive no log entries until the chosen one is the primary. */
    Orders ordersToRepeatPauses(TimePoint now);
    void recordRepeatedPause(const EndpointId&, const EndpointReplicationStatus&);
    Orders awaitCatchUp(TimePoint now);
    /** True if every replica but the chosen one is paused. */
    bool areOthersPaused() const;
    Orders probePlatform(TimePoint now);
    Orders beginStepDown(TimePoint now);
    /** The listed primary answered as a replica and is not known to have led: continues by pausing it and the others.
     */
    Orders onOutdatedRole(TimePoint now);
    bool isListedPrimary(const EndpointId&) const;
    /** The listed primary answered a query as a replica: its log is paused and compared like the others. */
    Orders onListedPrimaryIsReplica(const EndpointId&, const EndpointReplicationStatus&, TimePoint now);
    /** Continues without the old primary's consent, by pausing replicas. */
    Orders onStepDownFailed(StepDownResult, TimePoint now);
    Orders awaitLastEntries(TimePoint now);
    Orders queryAll(TimePoint now);
    Orders queryReplicas(TimePoint now);
    /** Promotes another endpoint after the platform refused the chosen one; the old primary has stepped down. */
    Orders chooseAnother(TimePoint now);
    /** Promotes the old primary, which holds everything, because no replica reached the end of its log. */
    Orders returnToOldPrimary(TimePoint now);
    /** Repeats the promote call, unless the choice has become unsafe since. */
    Orders repeatCall(TimePoint now);
    /** Ends the attempt; what it has ordered may still take effect. */
    Orders leaveToRecovery(const std::string& reason);
    void enter(Phase, TimePoint now);
    /** Time after which the attempt fails because the chosen endpoint does not lead. */
    Duration confirmLimit() const;
    /** True for a recovery that promotes the endpoint which leads already. */
    bool confirmsPrimary() const { return reason_ == PromotionReason::Recovery && primaryAnswers_; }
    const PromotionMember* primary() const;
    /** True when no endpoint serves writes. The attempt then fails if an endpoint reports that it is the primary. */
    bool replacesFailedPrimary() const
    {
        return reason_ == PromotionReason::PrimaryFailed || reason_ == PromotionReason::PrimaryStalled;
    }
    /** True if enough logs are compared to include every acknowledged commit. */
    bool hasEnoughLogs(const std::map<EndpointId, LogPosition>& compared) const;
    /** Ids of the log holders of which a run is not among the compared ones. */
    std::set<EndpointId> idsNotIn(const std::map<EndpointId, LogPosition>& compared) const;
    /** True if the log of the missing holder is among the compared ones, under the id with which it came back. */
    bool isComparedAsSuccessor(const LogHolder&, const std::map<EndpointId, LogPosition>& compared) const;
    /** The endpoint is listed, so that it can be asked. */
    void noteListed(const PromotionMember&);
    /** The endpoint started again without its log; what it answered before does not count. */
    void forgetRun(PromotionMember&, Milliseconds startedAt);
    const PromotionMember* mostAdvanced(const std::map<EndpointId, LogPosition>&) const;

    std::vector<PromotionMember> members_;
    /** Log holders that are not among the members; nullopt if they are not known. */
    std::optional<std::vector<LogHolder>> missingHolders_ = std::vector<LogHolder>();
    LogPosition confirmedPosition_;
    std::size_t synchronousReplicas_;
    /** Term of the pause orders; must be above every term known in the group. */
    Term pauseTerm_;
    PromotionReason reason_;
    PromotionSettings settings_;
    Phase phase_ = Phase::QueryingStatus;
    TimePoint phaseStart_;
    TimePoint lastOrder_;
    TimePoint lastPause_;
    TimePoint startedAt_;
    bool primaryAnswers_ = false;
    /** Newest term in which an endpoint answered that it is the primary, if primaryAnswers_. */
    Term answeredPrimaryTerm_ = 0;
    bool isChosenByCount_ = false;
    bool lacksLogs_ = false;
    /** The calls that promote the chosen endpoint. */
    PromotionCalls calls_;
    /** Positions from status queries, which can still advance. */
    std::map<EndpointId, LogPosition> reportedPositions_;
    /** Replicas that have confirmed a pause order; they are resumed at the end. */
    std::set<EndpointId> confirmedPauses_;
    /** Positions of paused replicas, which cannot advance. */
    std::map<EndpointId, LogPosition> pausedPositions_;
    std::set<EndpointId> unreachable_;
    /** Endpoints that the platform refused to promote. */
    std::set<EndpointId> refused_;
    /** Replicas that were ordered to pause and have not answered; they may be paused. */
    std::set<EndpointId> unansweredPauses_;
    /** Replicas that have not confirmed the resume order yet. */
    std::set<EndpointId> unconfirmedResumes_;
    LogPosition acknowledgedPosition_;
    /** End of the leaving primary's log after all other replicas had been paused. */
    std::optional<LogPosition> handOverPosition_;
    std::optional<LogPosition> steppedDownPosition_;
    /** Term that the old primary reported when it stepped down. */
    Term steppedDownTerm_ = 0;
    /** False after the old primary answered that it does not know the order, or could not be reached. */
    bool canStepDown_ = true;
    /** The platform has accepted the call that probes it. */
    bool isProbeAccepted_ = false;
    TimePoint lastStepDown_;
    TimePoint comparedSince_;
    /** Term in which the listed primary is known to have led. */
    std::optional<Term> primaryTerm_;
    EndpointId chosen_;
    Term leadingTerm_ = 0;
    std::string failure_;
    bool needsRecovery_ = false;
    bool areCallsResolved_ = false;
    bool wasPauseBroken_ = false;
};

} // namespace almondlever
