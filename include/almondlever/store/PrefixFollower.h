#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/store/MetadataStore.h"

#include <memory>
#include <optional>

namespace almondlever {

/** Receives the keys and changes that a PrefixFollower reads. */
class PrefixObserver {
public:
    virtual ~PrefixObserver() = default;

    /** Receives all existing keys with the prefix. */
    virtual void onStoreSnapshot(
        const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision, TimePoint now)
        = 0;
    /** Receives changes in their order, up to a revision of the store. */
    virtual void onStoreChanges(
        const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision, TimePoint now)
        = 0;
    /** Called when the store answers again after failures, before the snapshot or changes. */
    virtual void onStoreReturned(const std::string& prefix, TimePoint now) = 0;
    /** Called for the first failed call after a successful one. */
    virtual void onStoreLost(const std::string& prefix, const StoreFailure&, TimePoint now) = 0;
};

/**
 * Follows the keys under a prefix: reads all pages, then waits for changes from the revision of the first page, and
 * reads all keys again when the store has dropped the history in between.
 */
class PrefixFollower {
public:
    /**
     * Long-poll timeout of one call. The store never answers calls of VMs that it rejects; such a call must end before
     * the platform considers the VM connected again (5 s).
     */
    static constexpr Milliseconds longPollTimeout { 4000 };
    /** Delays between calls after failures; they double up to the longest one. */
    struct RetryDelays {
        Milliseconds initial { 50 };
        Milliseconds maximum { 400 };
    };

    /** After changes the next call is delayed by `batchDelay`, so that a burst of changes costs few calls. */
    PrefixFollower(MetadataStore&, TimerService&, std::string prefix, Milliseconds batchDelay, PrefixObserver&);
    ~PrefixFollower();
    PrefixFollower(const PrefixFollower&) = delete;
    PrefixFollower& operator=(const PrefixFollower&) = delete;

    void start() { readAll(); }
    /**
     * Like start(), for a daemon that will soon receive the changes from its peers: until the given time it reads all
     * keys again at an interval instead of waiting for changes, which would cost one call for each change.
     */
    void start(Milliseconds interval, TimePoint pollUntil);
    /**
     * Like start(), for a daemon whose peers probably send it everything soon: reads only if the follower has not been
     * paused within the delay.
     */
    void startLater(Duration delay);
    /** Makes no further calls until resume(); updates come from a peer through applyUpdate() instead. */
    void pause() { isPaused_ = true; }
    /** Ends a pause: reads all keys again and follows the store itself, with a probe delay only if the store answers
     * the probe. */
    void resume();
    /** Reads all keys now, in parallel with a pending watch; the observer receives them before the callback. */
    void refresh(std::function<void(bool isFresh)> callback);
    /**
     * Reads all keys once, in parallel with a pending watch, and passes them on if they differ from the known ones. A
     * watch without changes proves nothing, since the store may delay its answer or miss changes.
     *
     * @see provenAt
     */
    void verify();
    bool isPaused() const { return isPaused_; }
    /** Applies an update from a peer, all keys or the changes since reportedRevision(), unless it is older than what is
     * known. The revisions are those of the peer. */
    void applyUpdate(
        const std::vector<StoreItem>&, std::uint64_t revision, std::uint64_t reportedRevision, bool isSnapshot);
    /** Sets the long-poll timeout; shorter on daemons that others depend on. */
    void setPollTimeout(Milliseconds timeout) { pollTimeout_ = timeout; }
    void setRetryDelays(const RetryDelays& delays) { retryDelays_ = delays; }
    /**
     * While the store answers neither this follower nor the other one, only the other one retries; this one reads as
     * soon as the other one gets an answer. The other one must outlive this one.
     */
    void setProbe(const PrefixFollower& other) { probe_ = &other; }
    /**
     * Time after the first answer to the probe until this follower calls the store again, so that peers, whose probes
     * are answered at the same time, can send the changes first. Zero on a daemon that others depend on.
     */
    void setProbeDelay(Milliseconds delay) { probeDelay_ = delay; }
    /** The last call failed. */
    bool isLost() const { return isLost_; }
    /** Revision of the store's newest answer, with or without changes; 0 before the first one. Tells which of two
     * daemons is behind. */
    std::uint64_t revision() const { return revision_; }
    /** All changes up to this revision are known; 0 before the first read. */
    std::uint64_t reportedRevision() const { return reportedRevision_; }
    const std::string& prefix() const { return prefix_; }
    /** Time of the last successful call; nullopt if there was none or a call has failed since. */
    std::optional<TimePoint> confirmedAt() const { return isLost_ ? std::nullopt : confirmedAt_; }
    /**
     * A time at which the store held no key that is unknown here: when the newest successful read was sent. Later than
     * this nothing is proven, also if the answer was delayed or this process was suspended. nullopt before any read.
     */
    std::optional<TimePoint> provenAt() const { return provenAt_; }

private:
    /** Passes on all keys as they were at a revision, unless later changes are known: the store and a peer may have
     * answered in either order. */
    void applySnapshot(const std::vector<StoreItem>&, std::uint64_t revision);
    /** Passes on the changes that are not known yet. */
    void applyChanges(const std::vector<StoreItem>&);
    void readPage(const std::string& afterKey);
    void onVerification(const StoreResult<StorePage>&, TimePoint sentAt);
    void refreshPage(const std::shared_ptr<std::vector<StoreItem>>& collected, std::uint64_t firstRevision,
        std::function<void(bool isFresh)> callback);
    void onPage(StoreResult<StorePage>);
    void waitForChanges();
    void onChanges(StoreResult<StorePage>);
    void handleSuccess();
    void handleFailure(const StoreFailure&);
    void scheduleRetry();
    /** True if calls are left to the probe for now. */
    bool waitsForProbe() const;
    void readAll();

    MetadataStore& store_;
    TimerService& timers_;
    std::string prefix_;
    Milliseconds batchDelay_;
    PrefixObserver& observer_;
    /** Callbacks hold a weak pointer to it, to detect that the follower was destroyed. */
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::vector<StoreItem> collected_;
    std::optional<std::uint64_t> firstPageRevision_;
    std::uint64_t revision_ = 0;
    /**
     * Revision that the next watch continues from: that of the last read or reported change. An empty answer does not
     * move it, since the store may have failed to report changes; if their history was dropped, the watch fails and all
     * keys are read again.
     */
    std::uint64_t reportedRevision_ = 0;
    bool isLost_ = false;
    bool isPaused_ = false;
    /** A call or a delay is pending, so that resume() must not start a second chain of calls. */
    bool isActive_ = false;
    /** Short at first, since other daemons may turn out to depend on this one. */
    Milliseconds pollTimeout_ { 1500 };
    std::optional<TimePoint> confirmedAt_;
    std::optional<TimePoint> provenAt_;
    /** Time at which the first page of the current read was requested. */
    TimePoint readStartedAt_ {};
    bool isVerifying_ = false;
    /** Short at first, since this daemon has no peer to query yet. */
    RetryDelays retryDelays_;
    const PrefixFollower* probe_ = nullptr;
    Milliseconds probeDelay_ { 0 };
    /** Time of the first answer after a failure or a pause; nullopt until there is one. */
    std::optional<TimePoint> answeredSince_;
    Milliseconds retryDelay_ { 0 };
    Milliseconds rereadInterval_ { 0 };
    TimePoint pollUntil_ {};
};

} // namespace almondlever
