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
    virtual void onStoreSnapshot(const std::string& prefix, const std::vector<StoreItem>&, TimePoint now) = 0;
    /** Changes in their order. */
    virtual void onStoreChanges(const std::string& prefix, const std::vector<StoreItem>&, TimePoint now) = 0;
    /** The store answered again after failures. Comes before the snapshot or changes. */
    virtual void onStoreReturned(const std::string& prefix, TimePoint now) = 0;
    /** The first failed call after successful ones. */
    virtual void onStoreLost(const std::string& prefix, const StoreFailure&, TimePoint now) = 0;
};

/**
 * Keeps up with the keys under a prefix: reads all pages, then waits for changes from the revision of the first page, and
 * reads all again when the store has dropped the history in between.
 */
class PrefixFollower {
public:
    /**
     * Longest wait of one call. A call that the store never answers, as it does to VMs that it turns away, must end
     * before the platform counts such a VM as connected again (5 s).
     */
    static constexpr Milliseconds watchWait { 4000 };
    /** Pause after a failure; doubles up to the longest. */
    static constexpr Milliseconds firstPause { 50 };
    static constexpr Milliseconds longestPause { 400 };

    /** After changes the next call waits for the gather time, so that a burst of changes costs few calls. */
    PrefixFollower(MetadataStore&, TimerService&, std::string prefix, Milliseconds gatherTime, PrefixObserver&);
    ~PrefixFollower();
    PrefixFollower(const PrefixFollower&) = delete;
    PrefixFollower& operator=(const PrefixFollower&) = delete;

    void start();

private:
    void readPage(const std::string& afterKey);
    void onPage(StoreResult<StorePage>);
    void waitForChanges();
    void onChanges(StoreResult<StorePage>);
    void noteSuccess();
    void retryAfter(const StoreFailure&);
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
    Milliseconds pause_ { 0 };
};

} // namespace almondlever
