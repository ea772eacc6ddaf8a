#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/TimerService.h"
#include "almondlever/sessions/Routing.h"
#include "almondlever/store/MetadataStore.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace almondlever {

/** Keys that the product writes to the platform's store. */
namespace storeKeys {
    inline const std::string root = "almondlever/";
    inline const std::string members = root + "members/";
    /** Random shared secret by which daemons authenticate each other; written by the first one. */
    inline const std::string clusterKey = root + "cluster-key";
    /** Key with a lease, held by the daemon that changes a group's primary. */
    inline const std::string claims = root + "claims/";
    /**
     * Record of whether the last change of a group's primary was finished, and which endpoint led then in which term.
     * Has no lease: it outlives its writer.
     */
    inline const std::string changes = root + "changes/";
    /** Record of the endpoints whose logs may contain acknowledged commits of a group (LogHolders). Has no lease. */
    inline const std::string logHolders = root + "log-holders/";

    /** Last word of the value of a claim under which every daemon holds the group's writes back. */
    inline const std::string claimHolds = "hold";
    /** Last word of the value of a claim under which the primary serves until it has stepped down. */
    inline const std::string claimServes = "serve";

    inline const std::string changeOpen = "open";
    /** First word of the record of a finished change. */
    inline const std::string changeDone = "done";
}

/** The endpoint that led a group when a change of its primary was finished, and the term. */
struct RecordedLeader {
    EndpointId id;
    Term term = 0;

    /** Value of a finished change's record; without a leader as versions before this record wrote it. */
    static std::string encode(const std::optional<RecordedLeader>&);
    /** nullopt if the record names no leader. */
    static std::optional<RecordedLeader> decode(const std::string&);
};

/** What the value of a claim says about the group's writes. */
enum class ClaimedWrites {
    /** A daemon of a version that does not say so wrote the claim. */
    Unknown,
    /** The primary serves until it has confirmed that it stepped down; no other endpoint is called before. */
    Served,
    /** Every daemon holds writes back until the change has ended. */
    Held,
};

/**
 * The exclusive right of one daemon to change the primary of a group for a while.
 *
 * The claim is a key with a lease that is created only if it does not exist, so that two daemons never hold it together
 * while the lease is valid. The revision of its creation is the fencing token: it increases with every claim, also
 * across restores of the store. A restore ends the claim, since the store may grant it to another daemon at once.
 */
class PromotionClaim {
public:
    /** A holder that dies blocks others for at most this long; several renewals fit into it. */
    static constexpr Milliseconds leaseDuration { 2500 };
    static constexpr Milliseconds renewInterval { 700 };
    static constexpr Milliseconds releaseRetryInterval { 250 };
    /** The holder stops acting when its last successful renewal was sent longer ago than this. The rest of the lease
     * allows for its requests that are still in transit. */
    static constexpr Milliseconds maxRenewalAge { 1800 };

    using ClaimCallback = std::function<void(StoreResult<std::uint64_t>)>;

    PromotionClaim(MetadataStore&, TimerService&, GroupId, std::string holder);
    ~PromotionClaim();
    PromotionClaim(const PromotionClaim&) = delete;
    PromotionClaim& operator=(const PromotionClaim&) = delete;

    /**
     * Requests the lease, which can be under way while the change record is read. The number distinguishes this attempt
     * from earlier ones of the same daemon.
     */
    void prepare(std::uint64_t attempt);
    /**
     * The callback receives the fencing token. The claim is not acquired if the change record has another revision than
     * the given one, which is 0 if there was no record: another daemon has changed the primary since it was read.
     * `holdsWrites`: every daemon that sees the claim holds the group's writes back until the change has ended.
     */
    void acquire(std::uint64_t recordRevision, ClaimCallback, bool holdsWrites = false);
    /**
     * Releases the claim; marks the change as done, or leaves it open for a recovery. Repeated until the store answers:
     * daemons hold writes back while the record is open. A lease that has ended meanwhile is no obstacle as long as no
     * later claim was made.
     */
    void release(bool isDone, const std::optional<RecordedLeader>& leader = std::nullopt);
    /** True while the release is to be repeated; the claim must be kept until then. */
    bool isReleasing() const { return isReleasing_; }
    /** True if this claim asks the daemons to hold writes back. */
    bool holdsWrites() const { return writesUnder(value_) == ClaimedWrites::Held; }
    /** Writes the claim again so that it asks the daemons to hold writes back; repeated until the store answers. */
    void holdWrites();
    /** False while holdWrites() has not been carried out. */
    bool isHoldWritten() const { return isHoldWritten_; }
    static ClaimedWrites writesUnder(const std::string& claimValue);
    /** Returns false once the claim may have ended. */
    bool isHeld(TimePoint now) const;
    std::uint64_t fence() const { return fence_; }
    /** To be called when the store is in a new era; a claim of an earlier era is no longer held. */
    void noteEra(std::uint64_t era);

private:
    /** Writes the claim once both the lease is granted and the claim is wanted. */
    void writeClaim();
    void onClaimed(const StoreResult<std::uint64_t>&);
    void readBack();
    void finish(StoreResult<std::uint64_t>);
    void scheduleRenewal();
    std::string valueWith(const std::string& mark) const;
    void writeHold();
    void writeRelease(const StoreTransaction&);
    std::string claimKey() const { return storeKeys::claims + group_.text(); }

    MetadataStore& store_;
    TimerService& timers_;
    GroupId group_;
    std::string holder_;
    std::uint64_t attempt_ = 0;
    std::string value_;
    ClaimCallback callback_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    /** Result of the request for the lease; nullopt while it is under way. */
    std::optional<StoreResult<StoreLease>> leaseResult_;
    LeaseId lease_;
    std::uint64_t recordRevision_ = 0;
    std::uint64_t fence_ = 0;
    /** Time at which the latest successful renewal was sent. */
    TimePoint renewedAt_;
    TimePoint leaseRequestedAt_;
    bool isReleased_ = false;
    bool isReleasing_ = false;
    bool isHoldWritten_ = true;
    /** The lease is gone, or belongs to an earlier era of the store. */
    bool isLeaseInvalid_ = false;
};

} // namespace almondlever
