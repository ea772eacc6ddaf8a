#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/store/MetadataStore.h"

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace almondlever {

/**
 * Serves the watches of several prefixes from one watch of all keys, so that a daemon that follows the store makes one
 * call in place of one for each prefix. Other calls are passed on unchanged.
 *
 * Endpoints write their entries several times a second, so that a watch returns at once; calls are therefore spaced by
 * an interval. Each answer of the store, with or without changes, completes the watches of all prefixes, which learn
 * from it that the store answers.
 *
 * Events are kept until each prefix has taken them. A watch that continues from a revision whose events are not kept
 * any more fails with HistoryGone, as at the store. If the store rejects a watch of all keys, each prefix is watched by
 * itself from then on. Not thread-safe.
 *
 * @see PrefixFollower
 */
class SharedWatchStore final : public MetadataStore {
public:
    /** Minimum time between the starts of two calls; bounds the delay of a change. */
    static constexpr Milliseconds callInterval { 750 };
    /** Number of events that are kept for watches that have not taken them. */
    static constexpr std::size_t maximumEvents = 1024;
    /** After this long without a call the store may have dropped the history behind the last one. */
    static constexpr Milliseconds longestPause { 5000 };

    SharedWatchStore(MetadataStore&, TimerService&, Metrics&);
    ~SharedWatchStore() override;
    SharedWatchStore(const SharedWatchStore&) = delete;
    SharedWatchStore& operator=(const SharedWatchStore&) = delete;

    /** Shares watches from now on; without it every call is passed on. */
    void enable() { isSharing_ = true; }

    void readRange(
        const std::string& prefix, const std::string& afterKey, std::function<void(StoreResult<StorePage>)>) override;
    void watch(const std::string& prefix, std::uint64_t afterRevision, Milliseconds wait,
        std::function<void(StoreResult<StorePage>)>) override;
    void transact(const StoreTransaction&, std::function<void(StoreResult<std::uint64_t>)>) override;
    void grantLease(Milliseconds duration, std::function<void(StoreResult<StoreLease>)>) override;
    void renewLease(const LeaseId&, std::function<void(StoreResult<Done>)>) override;

private:
    struct Waiting {
        std::string prefix;
        std::uint64_t afterRevision = 0;
        Milliseconds wait { 0 };
        std::function<void(StoreResult<StorePage>)> callback;
    };
    /** Revision and key of an event; a transaction changes several keys at one revision. */
    using EventId = std::pair<std::uint64_t, std::string>;

    /**
     * Makes all events of the prefix after the revision available, if necessary by continuing from an earlier revision.
     * Returns false if some of them were dropped.
     */
    bool cover(const std::string& prefix, std::uint64_t afterRevision);
    void scheduleCall();
    void call();
    void onAnswer(std::uint64_t calledFrom, StoreResult<StorePage>);
    void keepEvents(const std::vector<StoreItem>&);
    void forgetEvents();
    /** Watches each waiting prefix by itself, because the store does not watch all keys. */
    void stopSharing(const StoreFailure&);
    StorePage pageFor(const Waiting&, std::uint64_t asOf) const;

    MetadataStore& store_;
    TimerService& timers_;
    Metrics& metrics_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
    bool isSharing_ = false;
    bool isCalling_ = false;
    bool isScheduled_ = false;
    TimePoint calledAt_ {};
    std::vector<Waiting> waiting_;
    /** Revision that the next call continues from; nullopt while nothing is watched. */
    std::optional<std::uint64_t> position_;
    std::map<EventId, StoreItem> events_;
    /** Revision of the latest event that was dropped to make room. */
    std::uint64_t droppedUpTo_ = 0;
    /** As droppedUpTo_, by prefix, for the prefixes that have been watched. */
    std::map<std::string, std::uint64_t> watched_;
};

} // namespace almondlever
