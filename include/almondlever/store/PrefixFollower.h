#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/store/MetadataStore.h"

#include <memory>
#include <optional>

namespace almondlever {

/** Hears what a PrefixFollower learns. */
class PrefixObserver {
public:
    virtual ~PrefixObserver() = default;

    /** All keys with the prefix; others do not exist. */
    virtual void onStoreSnapshot(
        const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision, TimePoint now)
        = 0;
    /** Changes in their order, up to a revision of the store. */
    virtual void onStoreChanges(
        const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision, TimePoint now)
        = 0;
    /** The store answered again after failures. Comes before the snapshot or changes. */
    virtual void onStoreReturned(const std::string& prefix, TimePoint now) = 0;
    /** The first failed call after successful ones. */
    virtual void onStoreLost(const std::string& prefix, const StoreFailure&, TimePoint now) = 0;
};

/**
 * Keeps up with the keys under a prefix: reads all pages, then waits for changes from the revision of the first page,
 * and reads all again when the store has dropped the history in between.
 */
class PrefixFollower {
public:
    /**
     * Longest wait of one call. A call that the store never answers, as it does to VMs that it turns away, must end
     * before the platform counts such a VM as connected again (5 s).
     */
    static constexpr Milliseconds watchWait { 4000 };
    /** Pauses between calls after failures; they double up to the longest. */
    struct Pauses {
        Milliseconds first { 50 };
        Milliseconds longest { 400 };
    };

    /** After changes the next call waits for the gather time, so that a burst of changes costs few calls. */
    PrefixFollower(MetadataStore&, TimerService&, std::string prefix, Milliseconds gatherTime, PrefixObserver&);
    ~PrefixFollower();
    PrefixFollower(const PrefixFollower&) = delete;
    PrefixFollower& operator=(const PrefixFollower&) = delete;

    void start() { readAll(); }
    /**
     * As start(), for a daemon whose peers will tell it the changes soon: until a time it reads all keys anew in an
     * interval instead of waiting for changes, which costs a call of its own with each change.
     */
    void start(Milliseconds interval, TimePoint untilPeersTell);
    /** Makes no further calls until resume(); what a peer knows is taken instead. */
    void pause() { isPaused_ = true; }
    /** Reads all again and goes on by itself. */
    void resume();
    /** Reads all keys at once, beside the calls that wait; the observer gets them before the callback. */
    void refresh(std::function<void(bool isFresh)> callback);
    bool isPaused() const { return isPaused_; }
    /** Takes what a peer knows: all keys, or changes since revision(). */
    void takeNews(const std::vector<StoreItem>&, std::uint64_t revision, bool isSnapshot);
    /** Waits of this daemon's calls; shorter on daemons that others rely on. */
    void setWait(Milliseconds wait) { wait_ = wait; }
    void setPauses(const Pauses& pauses) { pauses_ = pauses; }
    /**
     * While the store answers neither this follower nor the other one, only the other one tries; this one reads as soon
     * as that one was answered. The other one must outlive this one.
     */
    void setProbe(const PrefixFollower& other) { probe_ = &other; }
    /** The last call had no answer. */
    bool isLost() const { return isLost_; }
    /** Every change up to this revision of the store is known; 0 before the first answer. */
    std::uint64_t revision() const { return revision_; }
    const std::string& prefix() const { return prefix_; }
    /** When the store last answered a call of this follower; nullopt when it failed since or never did. */
    std::optional<TimePoint> confirmedAt() const { return isLost_ ? std::nullopt : confirmedAt_; }

private:
    void readPage(const std::string& afterKey);
    void refreshPage(const std::shared_ptr<std::vector<StoreItem>>& collected, std::uint64_t firstRevision,
        std::function<void(bool isFresh)> callback);
    void onPage(StoreResult<StorePage>);
    void waitForChanges();
    void onChanges(StoreResult<StorePage>);
    void noteSuccess();
    void retryAfter(const StoreFailure&);
    void scheduleRetry();
    void readAll();

    MetadataStore& store_;
    TimerService& timers_;
    std::string prefix_;
    Milliseconds gatherTime_;
    PrefixObserver& observer_;
    /** Callbacks of a destroyed follower find it expired. */
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    std::vector<StoreItem> collected_;
    std::optional<std::uint64_t> firstPageRevision_;
    std::uint64_t revision_ = 0;
    bool isLost_ = false;
    bool isPaused_ = false;
    /** A call or a pause is under way, so that resume() must not start another chain. */
    bool isActive_ = false;
    /** Short at first, since this daemon may turn out to be one that others rely on. */
    Milliseconds wait_ { 1500 };
    std::optional<TimePoint> confirmedAt_;
    /** Short at first, since this daemon has nobody else to ask yet. */
    Pauses pauses_;
    const PrefixFollower* probe_ = nullptr;
    Milliseconds pause_ { 0 };
    Milliseconds rereadInterval_ { 0 };
    TimePoint untilPeersTell_ {};
};

} // namespace almondlever
