#pragma once

#include "almondlever/common/Time.h"
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
};

/** Result of the platform's promote call. */
enum class PromotionResult {
    Accepted,
    /** The fencing token of the call is outdated, or the endpoint is not running. */
    Refused,
    /** No answer; the call may still take effect. */
    Unknown,
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
    /** Delay before the promote call is repeated with the same fencing token. */
    Milliseconds promoteRetryInterval { 250 };
    /** The attempt fails when the chosen endpoint is not the primary by then. */
    Milliseconds confirmTimeout { 6000 };
    /** Replicas that were not resumed by then are left to a recovery. */
    Milliseconds resumeTimeout { 2000 };
    Milliseconds resumeRetryInterval { 300 };
    /**
     * Interval at which the pause orders are repeated until the chosen endpoint is the primary. A replica's restart
     * ends its pause, and so does a delayed resume order of an earlier change.
     */
    Milliseconds pauseRepeatInterval { 100 };
};

/**
 * One attempt to change the primary of a group without losing an acknowledged commit.
 *
 * A commit is acknowledged once the primary and `synchronousReplicas` replicas hold it. Pausing replication prevents
 * the acknowledgement of further commits that the chosen replica would lack. Of any `members - synchronousReplicas`
 * logs at least one holds every acknowledged commit, so the attempt waits for that many answers and promotes the most
 * advanced log.
 *
 * A primary that is leaving continues to serve until the chosen replica takes over. All other replicas are paused
 * meanwhile, so that every commit must be received by the chosen one. Paused replicas are resumed once it is the
 * primary. A promote order without an answer may take effect late; it is repeated until its outcome is known, and the
 * other replicas stay paused until then. Performs no I/O.
 */
class GroupPromotion {
public:
    struct Order {
        enum class Kind { QueryStatus, Pause, Resume, Promote };
        Kind kind = Kind::QueryStatus;
        EndpointId endpoint;
        /** Only for Pause. */
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

    Orders start(TimePoint now);
    /** Result of QueryStatus, Pause or Resume; nullopt when the endpoint was unreachable or refused. */
    Orders onStatus(const EndpointId&, Order::Kind, const std::optional<EndpointReplicationStatus>&, TimePoint now);
    Orders onPromotionResult(PromotionResult, TimePoint now);
    Orders onTick(TimePoint now);

    bool isFinished() const { return phase_ == Phase::Finished; }
    bool hasSucceeded() const { return isFinished() && failure_.empty(); }
    /** True when a promote order may still take effect, or replicas may still be paused, after the attempt ended. */
    bool needsRecovery() const { return needsRecovery_; }
    const EndpointId& chosen() const { return chosen_; }
    const std::string& failure() const { return failure_; }
    /** True when a paused replica received commits during the promotion, so that acknowledged commits may be lost. */
    bool wasPauseBroken() const { return wasPauseBroken_; }
    LogPosition chosenPosition() const;

private:
    enum class Phase {
        /** Queries whether the primary answers and which positions the replicas have reached. */
        QueryingStatus,
        /** Pauses replicas. */
        Fencing,
        /** Waits until the chosen replica has everything that the paused ones hold. */
        CatchingUp,
        Promoting,
        Confirming,
        /** Resumes the paused replicas; the outcome of the attempt is already known. */
        Resuming,
        Finished,
    };

    Orders beginFencing(TimePoint now);
    Orders tryChooseReplica(TimePoint now);
    Orders promote(TimePoint now);
    Orders fail(const std::string& reason, TimePoint now);
    Orders resumeOthers(TimePoint now);
    Orders ordersToResume() const;
    /** Repeats the pause orders for replicas that must receive no log entries until the chosen one is the primary. */
    Orders ordersToRepeatPauses(TimePoint now);
    void recordRepeatedPause(const EndpointId&, const EndpointReplicationStatus&);
    Orders awaitCatchUp(TimePoint now);
    void enter(Phase, TimePoint now);
    const PromotionMember* primary() const;
    /** True when no endpoint serves writes. The attempt then fails if an endpoint reports that it is the primary. */
    bool replacesFailedPrimary() const
    {
        return reason_ == PromotionReason::PrimaryFailed || reason_ == PromotionReason::PrimaryStalled;
    }
    std::size_t requiredAnswers() const;
    const PromotionMember* mostAdvanced(const std::map<EndpointId, LogPosition>&) const;

    std::vector<PromotionMember> members_;
    std::size_t synchronousReplicas_;
    /** Term of the pause orders; must be above every term known in the group. */
    Term pauseTerm_;
    PromotionReason reason_;
    PromotionSettings settings_;
    Phase phase_ = Phase::QueryingStatus;
    TimePoint phaseStart_;
    TimePoint lastOrder_;
    TimePoint lastPause_;
    bool primaryAnswers_ = false;
    /** A promote call is awaiting its answer. */
    bool isPromoteCallPending_ = false;
    /** Positions from status queries, which can still advance. */
    std::map<EndpointId, LogPosition> reportedPositions_;
    /** Positions of paused replicas, which cannot advance. */
    std::map<EndpointId, LogPosition> pausedPositions_;
    std::set<EndpointId> unreachable_;
    /** Replicas that have not confirmed the resume order yet. */
    std::set<EndpointId> unconfirmedResumes_;
    LogPosition acknowledgedPosition_;
    /** End of the leaving primary's log after all other replicas had been paused. */
    std::optional<LogPosition> handOverPosition_;
    EndpointId chosen_;
    std::string failure_;
    bool needsRecovery_ = false;
    bool wasPauseBroken_ = false;
};

} // namespace almondlever
