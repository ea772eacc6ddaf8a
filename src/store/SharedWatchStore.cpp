#include "almondlever/store/SharedWatchStore.h"

#include "almondlever/common/StoreEra.h"
#include "almondlever/observability/DecisionLog.h"

#include <algorithm>

namespace almondlever {

namespace {

    bool hasPrefix(const std::string& key, const std::string& prefix) { return key.rfind(prefix, 0) == 0; }

    /** Every key has this prefix. */
    const char* const allKeys = "";

} // namespace

SharedWatchStore::SharedWatchStore(MetadataStore& store, TimerService& timers, Metrics& metrics)
    : store_(store)
    , timers_(timers)
    , metrics_(metrics)
{
}

SharedWatchStore::~SharedWatchStore() = default;

void SharedWatchStore::readRange(
    const std::string& prefix, const std::string& afterKey, std::function<void(StoreResult<StorePage>)> callback)
{
    store_.readRange(prefix, afterKey, std::move(callback));
}

void SharedWatchStore::transact(
    const StoreTransaction& transaction, std::function<void(StoreResult<std::uint64_t>)> callback)
{
    store_.transact(transaction, std::move(callback));
}

void SharedWatchStore::grantLease(Milliseconds duration, std::function<void(StoreResult<StoreLease>)> callback)
{
    store_.grantLease(duration, std::move(callback));
}

void SharedWatchStore::renewLease(const LeaseId& lease, std::function<void(StoreResult<Done>)> callback)
{
    store_.renewLease(lease, std::move(callback));
}

void SharedWatchStore::watch(const std::string& prefix, std::uint64_t afterRevision, Milliseconds wait,
    std::function<void(StoreResult<StorePage>)> callback)
{
    if (!isSharing_)
        return store_.watch(prefix, afterRevision, wait, std::move(callback));
    if (!cover(prefix, afterRevision)) {
        metrics_.count("almondlever_store_shared_watches_total", "result=\"history_gone\"");
        timers_.callAfter(Duration(0), [callback = std::move(callback)](TimePoint) {
            callback(StoreFailure { StoreFailure::Kind::HistoryGone, "events are not kept any more" });
        });
        return;
    }
    waiting_.push_back({ prefix, afterRevision, wait, std::move(callback) });
    scheduleCall();
}

bool SharedWatchStore::cover(const std::string& prefix, std::uint64_t afterRevision)
{
    if (position_ && storeEra::eraOf(afterRevision) < storeEra::eraOf(*position_))
        return false;
    const bool isNewEra = position_ && storeEra::eraOf(afterRevision) > storeEra::eraOf(*position_);
    const bool wasPaused = !isCalling_ && waiting_.empty() && timers_.now() - calledAt_ > longestPause;
    if (isNewEra || wasPaused)
        forgetEvents();
    const auto watched = watched_.find(prefix);
    // A prefix that was watched before has received every event up to its revision, however old that is.
    if (watched != watched_.end())
        return afterRevision >= watched->second;
    if (afterRevision < droppedUpTo_)
        return false;
    watched_[prefix] = 0;
    position_ = std::min(position_.value_or(afterRevision), afterRevision);
    return true;
}

void SharedWatchStore::scheduleCall()
{
    if (isCalling_ || isScheduled_)
        return;
    isScheduled_ = true;
    const Duration delay = std::max<Duration>(calledAt_ + callInterval - timers_.now(), Duration(0));
    timers_.callAfter(delay, [this, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        if (alive.expired())
            return;
        isScheduled_ = false;
        call();
    });
}

void SharedWatchStore::call()
{
    if (waiting_.empty() || !isSharing_)
        return;
    isCalling_ = true;
    calledAt_ = timers_.now();
    const auto shortest = std::min_element(waiting_.begin(), waiting_.end(),
        [](const Waiting& left, const Waiting& right) { return left.wait < right.wait; });
    const std::uint64_t from = position_.value_or(waiting_.front().afterRevision);
    store_.watch(
        allKeys, from, shortest->wait, [this, from, alive = std::weak_ptr<int>(alive_)](StoreResult<StorePage> result) {
            if (!alive.expired())
                onAnswer(from, std::move(result));
        });
}

void SharedWatchStore::onAnswer(std::uint64_t calledFrom, StoreResult<StorePage> result)
{
    isCalling_ = false;
    const bool isRejected = !result
        && (result.error().kind == StoreFailure::Kind::Rejected
            || result.error().kind == StoreFailure::Kind::LeaseGone);
    if (isRejected)
        return stopSharing(result.error());
    metrics_.count("almondlever_store_shared_watches_total", result ? "result=\"answered\"" : "result=\"failed\"");
    // A prefix that began to be watched during the call may need events from before it.
    const auto isUnanswered = [this, calledFrom, &result](const Waiting& watch) {
        return result && position_ && *position_ < calledFrom && watch.afterRevision < calledFrom;
    };
    const auto firstLeft = std::stable_partition(
        waiting_.begin(), waiting_.end(), [&](const Waiting& watch) { return !isUnanswered(watch); });
    std::vector<Waiting> answered(std::make_move_iterator(waiting_.begin()), std::make_move_iterator(firstLeft));
    waiting_.erase(waiting_.begin(), firstLeft);
    if (!result) {
        // Each prefix reads its keys anew and watches from there.
        forgetEvents();
        for (const Waiting& watch : answered)
            watch.callback(result.error());
        return;
    }
    if (!position_ || *position_ >= calledFrom)
        keepEvents(result.value().items);
    for (const Waiting& watch : answered)
        watch.callback(pageFor(watch, result.value().asOf));
    if (!waiting_.empty())
        scheduleCall();
}

StorePage SharedWatchStore::pageFor(const Waiting& watch, std::uint64_t asOf) const
{
    StorePage page;
    page.asOf = asOf;
    for (auto event = events_.upper_bound({ watch.afterRevision + 1, "" }); event != events_.end(); ++event) {
        if (hasPrefix(event->first.second, watch.prefix))
            page.items.push_back(event->second);
    }
    return page;
}

void SharedWatchStore::keepEvents(const std::vector<StoreItem>& events)
{
    for (const StoreItem& event : events) {
        events_[{ event.revision, event.key }] = event;
        // An empty answer does not move the position: the store may have failed to report changes.
        position_ = std::max(position_.value_or(event.revision), event.revision);
    }
    while (events_.size() > maximumEvents) {
        const auto& [revision, key] = events_.begin()->first;
        for (auto& [prefix, droppedRevision] : watched_) {
            if (hasPrefix(key, prefix))
                droppedRevision = revision;
        }
        droppedUpTo_ = revision;
        events_.erase(events_.begin());
    }
}

void SharedWatchStore::forgetEvents()
{
    events_.clear();
    watched_.clear();
    position_.reset();
    droppedUpTo_ = 0;
}

void SharedWatchStore::stopSharing(const StoreFailure& failure)
{
    logWarning("store_watch_not_shared", { { "failure", toText(failure.kind) }, { "detail", failure.detail } });
    isSharing_ = false;
    std::vector<Waiting> waiting;
    waiting.swap(waiting_);
    for (Waiting& watch : waiting)
        store_.watch(watch.prefix, watch.afterRevision, watch.wait, std::move(watch.callback));
}

} // namespace almondlever
