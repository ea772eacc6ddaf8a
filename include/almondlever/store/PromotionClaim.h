#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/sessions/Routing.h"
#include "almondlever/store/MetadataStore.h"

#include <functional>
#include <memory>
#include <string>

namespace almondlever {

/** Keys of the product in the platform's store. */
namespace storeKeys {
    inline const std::string root = "almondlever/";
    inline const std::string members = root + "members/";
    /** Random text that daemons prove to each other; made by the first one. */
    inline const std::string clusterKey = root + "cluster-key";
    /** Held with a lease by the daemon that changes a group's primary. */
    inline const std::string claims = root + "claims/";
    /** Tells whether the last change of a group's primary was finished. Outlives the daemon that makes it. */
    inline const std::string changes = root + "changes/";

    inline const std::string changeOpen = "open";
    inline const std::string changeDone = "done";
}

/**
 * The exclusive right of one daemon to change the primary of a group for a while.
 *
 * The claim is a key with a lease that is created only while it does not exist, so two daemons never hold it together
 * while the lease lives. The revision of its creation is the fencing token: it rises with every claim, over restores of
 * the store as well. A restore ends the claim, since the store may give it to another daemon at once.
 */
class PromotionClaim {
public:
    /** A holder that dies blocks others for at most this long; several renewals fit in. */
    static constexpr Milliseconds leaseDuration { 2500 };
    static constexpr Milliseconds renewInterval { 700 };
    /** The holder stops to act when the last renewal is older; the rest of the lease covers delays on the way. */
    static constexpr Milliseconds safeUse { 1800 };

    using ClaimCallback = std::function<void(StoreResult<std::uint64_t>)>;

    PromotionClaim(MetadataStore&, TimerService&, GroupId, std::string holder);
    ~PromotionClaim();
    PromotionClaim(const PromotionClaim&) = delete;
    PromotionClaim& operator=(const PromotionClaim&) = delete;

    /** Gives the fencing token. The number makes this attempt different from earlier ones of the same daemon. */
    void acquire(std::uint64_t attempt, ClaimCallback);
    /** Gives the claim up; the change is marked as done, or left open for a recovery. */
    void release(bool isDone);
    /** False once the claim may have ended. */
    bool isHeld(TimePoint now) const;
    std::uint64_t fence() const { return fence_; }
    /** The store answers from this era on; a claim of an earlier one is not held any more. */
    void noteEra(std::uint64_t era);

private:
    void onLease(const StoreResult<StoreLease>&);
    void onClaimed(const StoreResult<std::uint64_t>&);
    void readBack();
    void finish(StoreResult<std::uint64_t>);
    void scheduleRenewal();
    std::string claimKey() const { return storeKeys::claims + group_.text(); }

    MetadataStore& store_;
    TimerService& timers_;
    GroupId group_;
    std::string holder_;
    std::string value_;
    ClaimCallback callback_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    LeaseId lease_;
    std::uint64_t fence_ = 0;
    /** When the newest successful renewal was sent. */
    TimePoint renewedAt_;
    TimePoint askedAt_;
    bool isReleased_ = false;
    /** The claim was made in an earlier era of the store. */
    bool isOutdated_ = false;
};

} // namespace almondlever
