#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/failover/GroupPromotion.h"
#include "almondlever/failover/PromotionService.h"
#include "almondlever/front/PrimaryDoubts.h"
#include "almondlever/pooling/StatementDispatcher.h"
#include "almondlever/store/PromotionClaim.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace almondlever {

/** When a daemon starts to change a primary. */
struct PromotionDriverSettings {
    std::string holder;
    PromotionSettings promotion;
    /** Delay between daemons of consecutive order, so that usually only the first one asks for the claim. */
    Milliseconds orderDelay { 80 };
    /** Interval at which groups without callers are looked at. */
    Milliseconds idleCheck { 250 };
    /** A claim that took longer came on an opinion of others that is outdated: a cut may have ended in between. */
    Milliseconds longestClaim { 400 };
    /** Pause after a failed attempt. */
    Milliseconds retryPause { 500 };
};

/**
 * Decides when this daemon changes the primary of a group, takes the claim and carries the orders of GroupPromotion
 * out.
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

    /** Reads the list of endpoints anew; tells whether the store answered. */
    using MembersRefresh = std::function<void(std::function<void(bool isFresh)>)>;

    /** Called after a claim was taken and before the members of the group are relied on. */
    void setMembersRefresh(MembersRefresh refresh) { refreshMembers_ = std::move(refresh); }
    /** Without it the doubts of this daemon alone are acted on. */
    void setDoubts(PrimaryDoubts* doubts) { doubts_ = doubts; }
    void setGroups(const std::map<GroupId, GroupRule>& groups) { groups_ = groups; }
    /** The daemons that keep connections to each group; only they change its primary. */
    void setOwners(std::map<GroupId, std::set<std::string>> owners) { owners_ = std::move(owners); }
    /** What the store says of claims and of unfinished changes. */
    void onClaim(const GroupId&, bool isHeld, TimePoint now);
    /**
     * The store was restored from an older copy. Claims and records of unfinished changes may be gone, so that calls of
     * other daemons may still take effect: what this daemon changes is given up, and nothing begins for a while.
     */
    void onStoreEra(std::uint64_t era, TimePoint now);
    void onChangeRecord(const GroupId&, bool isOpen, TimePoint now);
    void onTick(TimePoint now);
    /** Starts no further change; running ones go on. */
    void stop() { isStopping_ = true; }
    bool isIdle() const { return changes_.empty(); }

private:
    struct Change;

    /** What is known of a group between changes. */
    struct Watch {
        bool isClaimed = false;
        bool isOpen = false;
        std::optional<TimePoint> reasonSince;
        PromotionReason reason = PromotionReason::PrimaryFailed;
        TimePoint notBefore {};
        TimePoint checkedAt {};
    };

    std::optional<PromotionReason> reasonFor(const GroupId&, const Watch&, TimePoint now) const;
    /** Delay by the daemon's place among the owners; differs by group so that work spreads. */
    Duration orderDelay(const GroupId&) const;
    bool isOwner(const GroupId&) const;
    /** Other owners share the belief that the primary fails, or cannot tell. */
    bool isConfirmed(const GroupId&, PromotionReason, TimePoint now);
    void begin(const GroupId&, PromotionReason, TimePoint now);
    void onClaimed(const GroupId&, const StoreResult<std::uint64_t>&);
    void giveClaimBack(const GroupId&, const std::string& outcome, const std::string& detail);
    /** Asks the others once more when the claim took long; starts the change or gives the claim back. */
    void judgeAgain(const GroupId&, TimePoint now);
    void startChange(const GroupId&);
    void carryOut(const GroupId&, const GroupPromotion::Orders&, TimePoint now);
    void sendOrder(const GroupId&, const GroupPromotion::Order&);
    void promote(const GroupId&, const EndpointId&, TimePoint now);
    void finishIfDone(const GroupId&, TimePoint now);

    EndpointDirectory& directory_;
    StatementDispatcher& dispatcher_;
    MetadataStore& store_;
    PromotionService& service_;
    TimerService& timers_;
    PromotionDriverSettings settings_;
    MembersRefresh refreshMembers_;
    PrimaryDoubts* doubts_ = nullptr;
    std::map<GroupId, GroupRule> groups_;
    std::map<GroupId, std::set<std::string>> owners_;
    std::map<GroupId, Watch> watches_;
    std::map<GroupId, std::unique_ptr<Change>> changes_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::uint64_t attempts_ = 0;
    bool isStopping_ = false;
};

} // namespace almondlever
