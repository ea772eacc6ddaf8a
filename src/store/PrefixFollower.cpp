#include "almondlever/store/PrefixFollower.h"

#include "almondlever/common/StoreEra.h"

#include <algorithm>
#include <iterator>

namespace almondlever {

const char* toText(StoreFailure::Kind kind)
{
    switch (kind) {
    case StoreFailure::Kind::NoAnswer:
        return "no_answer";
    case StoreFailure::Kind::Unavailable:
        return "unavailable";
    case StoreFailure::Kind::HistoryGone:
        return "history_gone";
    case StoreFailure::Kind::Conflict:
        return "conflict";
    case StoreFailure::Kind::LeaseGone:
        return "lease_gone";
    case StoreFailure::Kind::Rejected:
        break;
    }
    return "rejected";
}

PrefixFollower::PrefixFollower(
    MetadataStore& store, TimerService& timers, std::string prefix, Milliseconds batchDelay, PrefixObserver& observer)
    : store_(store)
    , timers_(timers)
    , prefix_(std::move(prefix))
    , batchDelay_(batchDelay)
    , observer_(observer)
{
}

PrefixFollower::~PrefixFollower() = default;

void PrefixFollower::start(Milliseconds interval, TimePoint pollUntil)
{
    rereadInterval_ = interval;
    pollUntil_ = pollUntil;
    readAll();
}

void PrefixFollower::startLater(Duration delay)
{
    isActive_ = true;
    timers_.callAfter(delay, [this, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        if (!alive.expired())
            readAll();
    });
}

void PrefixFollower::resume()
{
    if (!isPaused_)
        return;
    isPaused_ = false;
    answeredSince_.reset();
    if (isActive_)
        return;
    isActive_ = true;
    if (probe_ && probeDelay_ > Milliseconds(0))
        return scheduleRetry();
    readAll();
}

void PrefixFollower::applyUpdate(
    const std::vector<StoreItem>& items, std::uint64_t revision, std::uint64_t reportedRevision, bool isSnapshot)
{
    if (revision < revision_)
        return;
    revision_ = revision;
    if (isSnapshot)
        return applySnapshot(items, reportedRevision);
    applyChanges(items);
    reportedRevision_ = std::max(reportedRevision_, reportedRevision);
}

void PrefixFollower::readAll()
{
    isActive_ = !isPaused_;
    if (isPaused_)
        return;
    collected_.clear();
    firstPageRevision_.reset();
    readStartedAt_ = timers_.now();
    readPage("");
}

void PrefixFollower::verify()
{
    if (isVerifying_)
        return;
    isVerifying_ = true;
    store_.readRange(prefix_, "",
        [this, sentAt = timers_.now(), alive = std::weak_ptr<int>(alive_)](const StoreResult<StorePage>& result) {
            if (!alive.expired())
                onVerification(result, sentAt);
        });
}

void PrefixFollower::onVerification(const StoreResult<StorePage>& result, TimePoint sentAt)
{
    isVerifying_ = false;
    // A restore of the store and keys on further pages are left to readAll().
    if (!result || result.value().isTruncated || storeEra::eraOf(result.value().asOf) != storeEra::eraOf(revision_))
        return;
    const StorePage& page = result.value();
    const bool isChanged = std::any_of(page.items.begin(), page.items.end(),
        [this](const StoreItem& item) { return item.revision > reportedRevision_; });
    if (isChanged)
        applySnapshot(page.items, page.asOf);
    provenAt_ = std::max(provenAt_.value_or(sentAt), sentAt);
}

void PrefixFollower::applySnapshot(const std::vector<StoreItem>& items, std::uint64_t revision)
{
    if (revision < reportedRevision_)
        return;
    reportedRevision_ = revision;
    revision_ = std::max(revision_, revision);
    observer_.onStoreSnapshot(prefix_, items, revision, timers_.now());
}

void PrefixFollower::applyChanges(const std::vector<StoreItem>& items)
{
    std::vector<StoreItem> changes;
    std::copy_if(items.begin(), items.end(), std::back_inserter(changes),
        [this](const StoreItem& item) { return item.revision > reportedRevision_; });
    if (changes.empty())
        return;
    for (const StoreItem& item : changes)
        reportedRevision_ = std::max(reportedRevision_, item.revision);
    observer_.onStoreChanges(prefix_, changes, revision_, timers_.now());
}

void PrefixFollower::readPage(const std::string& afterKey)
{
    store_.readRange(prefix_, afterKey, [this, alive = std::weak_ptr<int>(alive_)](StoreResult<StorePage> result) {
        if (!alive.expired())
            onPage(std::move(result));
    });
}

void PrefixFollower::refresh(std::function<void(bool isFresh)> callback)
{
    refreshPage(std::make_shared<std::vector<StoreItem>>(), 0, std::move(callback));
}

void PrefixFollower::refreshPage(const std::shared_ptr<std::vector<StoreItem>>& collected, std::uint64_t firstRevision,
    std::function<void(bool isFresh)> callback)
{
    store_.readRange(prefix_, collected->empty() ? "" : collected->back().key,
        [this, collected, firstRevision, callback = std::move(callback), alive = std::weak_ptr<int>(alive_)](
            StoreResult<StorePage> result) {
            if (alive.expired())
                return;
            if (!result)
                return callback(false);
            StorePage& page = result.value();
            const std::uint64_t revision = firstRevision == 0 ? page.asOf : firstRevision;
            if (storeEra::eraOf(revision) != storeEra::eraOf(page.asOf))
                return callback(false);
            std::move(page.items.begin(), page.items.end(), std::back_inserter(*collected));
            if (page.isTruncated && !collected->empty())
                return refreshPage(collected, revision, callback);
            applySnapshot(*collected, revision);
            callback(true);
        });
}

void PrefixFollower::onPage(StoreResult<StorePage> result)
{
    if (!result)
        return handleFailure(result.error());
    handleSuccess();
    StorePage& page = result.value();
    // The pages are not a consistent snapshot; the watch reports the changes made after the first page.
    if (!firstPageRevision_)
        firstPageRevision_ = page.asOf;
    // Keys from pages read before a restore of the store may no longer exist.
    if (storeEra::eraOf(*firstPageRevision_) != storeEra::eraOf(page.asOf))
        return readAll();
    std::move(page.items.begin(), page.items.end(), std::back_inserter(collected_));
    if (page.isTruncated && !collected_.empty())
        return readPage(collected_.back().key);
    const std::vector<StoreItem> items = std::move(collected_);
    collected_.clear();
    applySnapshot(items, *firstPageRevision_);
    provenAt_ = std::max(provenAt_.value_or(readStartedAt_), readStartedAt_);
    const TimePoint now = timers_.now();
    if (now >= pollUntil_)
        return waitForChanges();
    // The store may drop the history in the meantime without reporting it, so all keys are read again.
    timers_.callAfter(
        std::min<Duration>(rereadInterval_, pollUntil_ - now), [this, alive = std::weak_ptr<int>(alive_)](TimePoint) {
            if (!alive.expired())
                readAll();
        });
}

void PrefixFollower::waitForChanges()
{
    isActive_ = !isPaused_;
    if (isPaused_)
        return;
    store_.watch(prefix_, reportedRevision_, pollTimeout_,
        [this, alive = std::weak_ptr<int>(alive_)](StoreResult<StorePage> result) {
            if (!alive.expired())
                onChanges(std::move(result));
        });
}

void PrefixFollower::onChanges(StoreResult<StorePage> result)
{
    if (!result) {
        if (result.error().kind == StoreFailure::Kind::HistoryGone)
            return readAll();
        // The history may have been dropped together with the connection, which a new watch would not report.
        return handleFailure(result.error());
    }
    handleSuccess();
    const StorePage& page = result.value();
    revision_ = std::max(revision_, page.asOf);
    if (page.items.empty())
        return waitForChanges();
    applyChanges(page.items);
    // Changes come in bursts and calls are limited: the changes made during the delay need only one more call.
    timers_.callAfter(batchDelay_, [this, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        if (!alive.expired())
            waitForChanges();
    });
}

void PrefixFollower::handleSuccess()
{
    retryDelay_ = Milliseconds(0);
    confirmedAt_ = timers_.now();
    if (!answeredSince_)
        answeredSince_ = confirmedAt_;
    if (!isLost_)
        return;
    isLost_ = false;
    observer_.onStoreReturned(prefix_, timers_.now());
}

void PrefixFollower::handleFailure(const StoreFailure& failure)
{
    answeredSince_.reset();
    if (!isLost_) {
        isLost_ = true;
        observer_.onStoreLost(prefix_, failure, timers_.now());
    }
    retryDelay_ = std::clamp(retryDelay_ * 2, retryDelays_.initial, retryDelays_.maximum);
    scheduleRetry();
}

bool PrefixFollower::waitsForProbe() const
{
    if (!probe_ || probe_->isPaused() || isPaused_)
        return false;
    if (probeDelay_ == Milliseconds(0))
        return probe_->isLost();
    return !probe_->answeredSince_ || timers_.now() - *probe_->answeredSince_ < probeDelay_;
}

void PrefixFollower::scheduleRetry()
{
    timers_.callAfter(retryDelay_, [this, alive = std::weak_ptr<int>(alive_)](TimePoint) {
        if (alive.expired())
            return;
        if (!waitsForProbe())
            return readAll();
        retryDelay_ = retryDelays_.initial;
        scheduleRetry();
    });
}

} // namespace almondlever
