#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/failover/GroupPromotion.h"
#include "almondlever/failover/PromotionService.h"
#include "almondlever/front/LogHolderKeeper.h"
#include "almondlever/front/StepDownRelay.h"
#include "almondlever/front/SuspicionConfirmer.h"
#include "almondlever/front/WriteHolds.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/store/PromotionClaim.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/** Delays and limits of primary changes. */
struct PromotionDriverSettings {
    std::string holder;
    PromotionSettings promotion;
    /** Delay between consecutive owners in a group's order, so that usually only the first one requests the claim. */
    Milliseconds staggerDelay { 80 };
    /** Interval at which groups without callers are checked. */
    Milliseconds idleCheckInterval { 250 };
    /**
     * When acquiring a claim took longer, the other owners are asked again about the primary: a network partition may
     * have ended in the meantime.
     */
    Milliseconds reconfirmAfter { 400 };
    /** Pause after a failed attempt. */
    Milliseconds retryPause { 500 };
    /**
     * Pause after an attempt that lacked logs, unless another endpoint answers earlier: each attempt pauses replicas
     * and calls the store several times.
     */
    Milliseconds missingLogsPause { 3000 };
    /**
     * Daemons that have not answered by then are not waited for before another endpoint is called: they have seen the
     * claim in the store, whose changes they read at least every 750 ms, or stand still for long enough to hold writes
     * when they go on, or are gone.
     */
    Milliseconds holdTimeout { 1000 };
    /** An owner recovers a group whose writes are held back for this long without a claim or an open record. */
    Milliseconds orphanedHoldLimit { 3000 };
    LogHolderSettings logHolders;
};

/**
 * Decides when this daemon changes the primary of a group, acquires the promotion claim and executes the orders of
 * GroupPromotion.
 *
 * @see GroupPromotion, PromotionClaim
 */
class PromotionDriver {
public:
    PromotionDriver(EndpointDirectory&, StatementDispatcher&, MetadataStore&, PromotionService&, TimerService&,
        const PromotionDriverSettings&);
    ~PromotionDriver();
    PromotionDriver(const PromotionDriver&) = delete;
    PromotionDriver& operator=(const PromotionDriver&) = delete;

    /** Reloads the list of endpoints; the callback receives whether the store answered. */
    using MembersRefresh = std::function<void(std::function<void(bool isFresh)>)>;

    /** Sets the function that is called after a claim was acquired and before the group's members are used. */
    void setMembersRefresh(MembersRefresh refresh) { refreshMembers_ = std::move(refresh); }
    /** Without a confirmer, this daemon acts on its own suspicion. */
    void setSuspicionConfirmer(SuspicionConfirmer* confirmer) { suspicionConfirmer_ = confirmer; }
    /** Without a relay, only this daemon orders a primary to step down. */
    void setStepDownRelay(StepDownRelay* relay) { stepDownRelay_ = relay; }
    void setGroups(const std::map<GroupId, GroupRule>& groups) { groups_ = groups; }
    /** The daemons that keep connections to each group; only they change its primary. */
    void setOwners(std::map<GroupId, std::set<std::string>> owners);
    /** To be called when the store shows that the claim of a group is held or has ended. */
    void onClaim(
        const GroupId&, bool isHeld, TimePoint now, ClaimedWrites = ClaimedWrites::Unknown, std::uint64_t revision = 0);
    /**
     * To be called when the store was restored from an older copy. Claims and records of unfinished changes may be
     * lost, and promotions ordered by other daemons may still take effect: this daemon abandons its changes and starts
     * none for a while.
     */
    void onStoreEra(std::uint64_t era, TimePoint now);
    /** To be called when the store shows whether the last change of a group's primary is unfinished. */
    void onChangeRecord(const GroupId&, bool isChangeOpen, TimePoint now, std::uint64_t revision = 0);
    /** True if an earlier revision of the group's change record was reported. */
    bool isNewerRecord(const GroupId& group, std::uint64_t revision) const { return holds_.isNewer(group, revision); }
    /** To be called when a complete answer of the store has no such record. */
    void onMissingChangeRecord(const GroupId& group) { holds_.noteRecord(group, false, 0); }
    /** To be called after the above when all keys of one answer of the store have been reported. */
    void onKeysReported(TimePoint now) { holds_.apply(now); }
    /** The daemon with the claim of this fencing token asks to hold writes back, or no longer needs it. */
    void onHoldRequest(const GroupId&, std::uint64_t fence, bool isHeld, TimePoint now);
    /** To be called when the store shows the record of a group's log holders. */
    void onLogHolders(const GroupId& group, const StoreItem& item) { logHolders_.noteRecord(group, item); }
    void onTick(TimePoint now);
    /** Starts no further changes; running ones continue. */
    void stop() { isStopping_ = true; }
    bool isIdle() const { return changes_.empty(); }
    /** True until the store has the ends of this daemon's changes; other daemons hold writes back until then. */
    bool isReleasing() const { return !releasing_.empty(); }

private:
    struct Change;
    /** Interval at which a call waits for the answers of the daemons that hold writes back. */
    static constexpr Milliseconds holdCheckInterval { 20 };

    /** State of a group that is kept between changes. */
    struct GroupState {
        bool isClaimed = false;
        bool isChangeOpen = false;
        /** This daemon's own attempt left the change open, so that it knows of the calls that were made. */
        bool isOwnChangeOpen = false;
        std::optional<TimePoint> reasonSince;
        PromotionReason reason = PromotionReason::PrimaryFailed;
        TimePoint notBefore {};
        TimePoint checkedAt {};
        /** Endpoints that this daemon reached when an attempt lacked logs. */
        std::optional<std::set<EndpointId>> reachedWithoutEnoughLogs;
        TimePoint lackedLogsAt {};
        /** Log holders that were not listed when a change was recovered, and that it may have paused. */
        std::set<EndpointId> pausedElsewhere;
    };

    /** Endpoints of the group to which this daemon has a connection. */
    std::set<EndpointId> reachedEndpoints(const GroupId&) const;
    /** True while another attempt would lack logs like the latest one. */
    bool lacksLogs(const GroupId&, const GroupState&, TimePoint now) const;
    void noteMissingLogs(const GroupId&, const GroupPromotion&, TimePoint now);
    /** Remembers the holders that a recovery could not resume. */
    void notePausedElsewhere(const GroupId&, GroupState&, const GroupPromotion&) const;
    void clearMissingLogs(const GroupId&, GroupState&);
    std::optional<PromotionReason> reasonFor(const GroupId&, const GroupState&, TimePoint now) const;
    /** Number of owners before this daemon; the order differs by group, which spreads the work. */
    std::size_t rankOf(const GroupId&) const;
    bool isOwner(const GroupId&) const;
    /** Returns true if the other owners confirm that the primary fails, or do not know. */
    bool isConfirmed(const GroupId&, PromotionReason, TimePoint now);
    void begin(const GroupId&, PromotionReason, TimePoint now);
    /** True if no commit may be acknowledged to callers during the change, wherever the primary is reached. */
    bool mustHoldWrites(const GroupId&, PromotionReason, bool isRecordOpen, std::uint64_t recordRevision) const;
    void onClaimed(const GroupId&, const StoreResult<std::uint64_t>&);
    /** Continues the change once the group's members and log holders have been read under the claim. */
    void onRead(const GroupId&, const std::string& failure);
    void releaseClaim(const GroupId&, const std::string& outcome, const std::string& detail);
    /** Asks the other owners again if acquiring the claim took long, then starts the change or releases the claim. */
    void reconfirm(const GroupId&, TimePoint now);
    void startChange(const GroupId&);
    void executeOrders(const GroupId&, const GroupPromotion::Orders&, TimePoint now);
    std::vector<PromotionMember> membersOf(const GroupId&) const;
    /** Term in which a primary led, by the record of the last change or, without one, by its own answers. */
    std::optional<Term> primaryTermOf(const Change&, const EndpointEntry& primary) const;
    /** Log holders of the group without an entry; nullopt without a record of them. */
    std::optional<std::vector<LogHolder>> missingHoldersOf(const GroupId&, const std::optional<LogHolders>&) const;
    /** `fence`: token of the claim under which the order is given. */
    void sendOrder(const GroupId&, const GroupPromotion::Order&, std::uint64_t fence);
    /** True while the change that began under this fencing token is running. */
    bool isCurrentChange(const GroupId&, std::uint64_t fence) const;
    /** Logs an answer to an order of an earlier change. */
    static void logOutdatedOrder(const GroupId&, const EndpointId&, std::uint64_t fence);
    /** Orders the primary to step down, directly and through other owners. */
    void orderStepDown(const GroupId&, const GroupPromotion::Order&);
    /** `source`: "direct" or "relayed". A source that is not awaited counts only if the primary answered. */
    void onStepDownReport(const GroupId&, const GroupPromotion::Order&, const std::string& source,
        const StepDownReport&, TimePoint orderedAt, TimePoint now);
    /** Calls the platform, after the members have been read again if the endpoint was chosen by comparing logs. */
    void promote(const GroupId&, const EndpointId&, TimePoint now);
    /** Asks all daemons to hold writes back, without an order for the primary. */
    void requestHold(const GroupId&, TimePoint now);
    /** Makes every daemon hold writes back, if the claim has not done so. */
    void beginHold(const GroupId&, Change&, TimePoint now);
    /** Notes the time from which every daemon holds writes back, or has been given the time to. */
    void updateHold(const GroupId&, Change&, TimePoint now);
    void closeHold(const GroupId&, Change&, TimePoint now);
    /** Ends the hold once the outcome of every call is known; replicas may still have to be resumed. */
    void closeHoldIfResolved(const GroupId&, TimePoint now);
    void noteLeader(const GroupId&, const GroupPromotion&, TimePoint now);
    void onChoiceVerified(const GroupId&, const EndpointId&, bool isFresh, TimePoint now);
    void callPlatform(const GroupId&, const EndpointId&, TimePoint now);
    void finishIfDone(const GroupId&, TimePoint now);

    EndpointDirectory& directory_;
    StatementDispatcher& dispatcher_;
    MetadataStore& store_;
    PromotionService& service_;
    TimerService& timers_;
    PromotionDriverSettings settings_;
    LogHolderKeeper logHolders_;
    WriteHolds holds_;
    MembersRefresh refreshMembers_;
    SuspicionConfirmer* suspicionConfirmer_ = nullptr;
    StepDownRelay* stepDownRelay_ = nullptr;
    std::map<GroupId, GroupRule> groups_;
    std::map<GroupId, std::set<std::string>> owners_;
    std::map<GroupId, GroupState> groupStates_;
    std::map<GroupId, std::unique_ptr<Change>> changes_;
    /** Ended changes whose claims are being released. */
    std::vector<std::shared_ptr<Change>> releasing_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::uint64_t attempts_ = 0;
    bool isStopping_ = false;
};

} // namespace almondlever
