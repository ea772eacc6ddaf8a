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

/** Why a group gets another primary. */
enum class PromotionReason {
    /** The primary does not answer. */
    PrimaryFailed,
    /** The primary answers but acknowledges no write, because it cannot replicate. */
    PrimaryStalled,
    /** The primary will stop soon and still answers. */
    PrimaryLeaving,
    /** A daemon died during a promotion; replicas may be paused and its call may still be carried out. */
    Recovery,
};

/** "primary_failed", "primary_stalled", "primary_leaving" or "recovery". */
const char* toText(PromotionReason);

/** An endpoint of the group as the promotion starts. */
struct PromotionMember {
    EndpointId id;
    bool isPrimary = false;
    bool isLeaving = false;
};

/** Answer of the platform to a call that names a new primary. */
enum class PromotionAnswer {
    Accepted,
    /** The call has an outdated fence, or the endpoint does not run. */
    Refused,
    /** No answer; the call may still be carried out. */
    Unknown,
};

/** Times of a promotion. */
struct PromotionSettings {
    /** An endpoint that has not answered by then counts as unreachable while others answered. */
    Milliseconds answerPatience { 250 };
    /** The attempt fails when too few endpoints have answered by then. */
    Milliseconds fencePatience { 1200 };
    /** The attempt fails when the chosen replica lacks commits for longer. */
    Milliseconds catchUpPatience { 1500 };
    Milliseconds statusInterval { 60 };
    /** Pause before the call to the platform is repeated under the same fence. */
    Milliseconds repeatInterval { 250 };
    /** The attempt fails when the chosen endpoint does not lead by then. */
    Milliseconds leadPatience { 6000 };
    /** A replica that was not resumed by then is left to a recovery. */
    Milliseconds resumePatience { 2000 };
    Milliseconds resumeInterval { 300 };
    /**
     * Interval at which replicas are paused anew until the chosen one leads: a restart ends a pause, and so does an
     * order to resume of an earlier change that is carried out late.
     */
    Milliseconds pauseInterval { 100 };
};

/**
 * One attempt to give a group another primary without losing an acknowledged commit.
 *
 * A commit is acknowledged once the primary and `synchronousReplicas` replicas hold it. Pausing replicas stops further
 * acknowledgements that the chosen replica does not see; among `members - synchronousReplicas` logs at least one holds
 * every acknowledged commit, so the attempt waits for that many answers and takes the most advanced log.
 *
 * When the primary only leaves, all other replicas are paused and it goes on to serve until the chosen one takes over:
 * every commit in between needs the chosen one's receipt. Paused replicas are resumed once it leads. An order to
 * promote whose answer is missing is repeated until the outcome is known, with the others still paused: it may be
 * carried out late. Does no input or output.
 */
class GroupPromotion {
public:
    struct Order {
        enum class Kind { QueryStatus, Pause, Resume, Promote };
        Kind kind = Kind::QueryStatus;
        EndpointId endpoint;
        /** Pause. */
        Term term = 0;
    };
    using Orders = std::vector<Order>;

    GroupPromotion(std::vector<PromotionMember>, std::size_t synchronousReplicas, Term newestTerm, PromotionReason,
        const PromotionSettings&);

    /**
     * A position that callers were told of, or that a replica held beside the primary. Members come and go, and the
     * copy of a commit goes with them; whoever lacks this position is not promoted, however many answered.
     */
    void noteAcknowledged(const LogPosition& position) { acknowledged_ = std::max(acknowledged_, position); }

    Orders start(TimePoint now);
    /** Answer to QueryStatus, Pause or Resume; nullopt when the endpoint could not be reached or refused. */
    Orders onStatus(const EndpointId&, Order::Kind, const std::optional<EndpointReplicationStatus>&, TimePoint now);
    Orders onPromotionAnswer(PromotionAnswer, TimePoint now);
    Orders onTick(TimePoint now);

    bool isFinished() const { return phase_ == Phase::Finished; }
    bool hasSucceeded() const { return isFinished() && failure_.empty(); }
    /** True when an order to promote may still be carried out although the attempt ended. */
    bool needsRecovery() const { return needsRecovery_; }
    const EndpointId& chosen() const { return chosen_; }
    const std::string& failure() const { return failure_; }
    /** A replica that had been paused received while the call was under way, so that commits may be lost. */
    bool wasPauseBroken() const { return wasPauseBroken_; }
    LogPosition chosenPosition() const;

private:
    enum class Phase {
        /** Asks whether the primary answers, and what the replicas hold. */
        Asking,
        /** Pauses replicas. */
        Fencing,
        /** Waits until the chosen replica has what the paused ones hold. */
        CatchingUp,
        Promoting,
        Confirming,
        /** Resumes the replicas that were paused; the outcome is known already. */
        Resuming,
        Finished,
    };

    Orders beginFencing(TimePoint now);
    Orders tryChoose(TimePoint now);
    Orders promote(TimePoint now);
    Orders fail(const std::string& reason, TimePoint now);
    Orders resumeOthers(TimePoint now);
    Orders ordersToResume() const;
    /** Pauses the replicas again that must not receive before the chosen one leads. */
    Orders ordersToPauseAnew(TimePoint now);
    void notePausedAnew(const EndpointId&, const EndpointReplicationStatus&);
    Orders chooseTarget(TimePoint now);
    void enter(Phase, TimePoint now);
    const PromotionMember* primary() const;
    /** The group has nobody who serves writes, so that an endpoint which leads makes the attempt needless. */
    bool replacesFailedPrimary() const
    {
        return reason_ == PromotionReason::PrimaryFailed || reason_ == PromotionReason::PrimaryStalled;
    }
    std::size_t neededAnswers() const;
    const PromotionMember* mostAdvanced(const std::map<EndpointId, LogPosition>&) const;

    std::vector<PromotionMember> members_;
    std::size_t synchronousReplicas_;
    Term pauseTerm_;
    PromotionReason reason_;
    PromotionSettings settings_;
    Phase phase_ = Phase::Asking;
    TimePoint phaseStart_;
    TimePoint lastOrder_;
    TimePoint lastPause_;
    bool primaryAnswers_ = false;
    /** The call to the platform is under way. */
    bool isPromoting_ = false;
    /** Positions told by status queries, while replicas still receive. */
    std::map<EndpointId, LogPosition> asked_;
    /** Positions of paused replicas, which cannot change any more. */
    std::map<EndpointId, LogPosition> paused_;
    std::set<EndpointId> unreachable_;
    /** Replicas whose answer to the order to resume is awaited. */
    std::set<EndpointId> resuming_;
    LogPosition acknowledged_;
    /** Where the log of a leaving primary ended when all others had been paused. */
    std::optional<LogPosition> handOverPosition_;
    EndpointId chosen_;
    std::string failure_;
    bool needsRecovery_ = false;
    bool wasPauseBroken_ = false;
};

} // namespace almondlever
