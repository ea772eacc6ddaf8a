#pragma once

#include "FakeTimerService.h"
#include "almondlever/common/StoreEra.h"
#include "almondlever/store/MetadataStore.h"

#include <map>
#include <string>
#include <vector>

namespace almondlever {

/** The platform's store in virtual time, with leases, waiting watches, a dropped history and faults. */
class FakeMetadataStore final : public MetadataStore {
public:
    explicit FakeMetadataStore(FakeTimerService& timers)
        : timers_(timers)
    {
    }

    /** Every call fails as if it was refused. */
    bool isDown = false;
    /** Reads and watches get no answer and time out, as on a VM that the store does not answer. */
    bool isSilent = false;
    /** Calls that change something are carried out, but their answers are lost. */
    bool losesAnswers = false;
    /** Transactions are lost on their way: they are not carried out and time out. */
    bool losesTransactions = false;
    Milliseconds delay { 4 };
    /** Ranges of this prefix take longer; empty when none does. */
    std::string slowPrefix;
    Milliseconds slowDelay { 0 };
    /** A watch of all keys is an invalid call. */
    bool rejectsWatchesOfAllKeys = false;
    /** Watches report no changes and end empty, with the store's present revision. */
    bool watchesReportNothing = false;
    std::size_t pageSize = 500;
    std::size_t calls = 0;
    std::size_t rangeCalls = 0;
    std::size_t watchCalls = 0;

    void put(const std::string& key, const std::string& value, std::uint64_t lease = 0)
    {
        StoreItem item;
        item.key = key;
        item.value = value;
        item.revision = ++revision_;
        item.lease = lease;
        items_[key] = item;
        history_.push_back(item);
        answerWatches();
    }

    void erase(const std::string& key)
    {
        if (items_.erase(key) == 0)
            return;
        StoreItem item;
        item.key = key;
        item.revision = ++revision_;
        item.isDeleted = true;
        history_.push_back(item);
        answerWatches();
    }

    bool has(const std::string& key) const { return items_.count(key) > 0; }
    std::string valueOf(const std::string& key) const { return has(key) ? items_.at(key).value : ""; }
    std::uint64_t revision() const { return revision_; }
    /** Revision of a key as clients state it; 0 if there is none. */
    std::uint64_t revisionOf(const std::string& key) const
    {
        return has(key) ? storeEra::combine(era_, items_.at(key).revision) : 0;
    }
    void dropHistory()
    {
        history_.clear();
        oldest_ = revision_;
    }
    /** Ends waiting watches as a broken connection does. */
    void cutWatches()
    {
        const auto watches = std::move(watches_);
        watches_.clear();
        for (const auto& [number, watch] : watches)
            watch.callback(StoreFailure { StoreFailure::Kind::NoAnswer, "connection lost" });
    }

    /** Remembers what the store holds now, for restoreCopy(). */
    void takeCopy() { copy_ = { items_, revision_, lastLease_ }; }
    /** Comes back from the copy in a new era: later writes and all leases are gone, numbers are given out again. */
    void restoreCopy()
    {
        items_.clear();
        for (const auto& [key, item] : copy_.items) {
            if (item.lease == 0)
                items_[key] = item;
        }
        leases_.clear();
        revision_ = copy_.revision;
        lastLease_ = copy_.lastLease;
        ++era_;
        dropHistory();
        cutWatches();
    }
    std::uint64_t era() const { return era_; }

    void readRange(const std::string& prefix, const std::string& afterKey,
        std::function<void(StoreResult<StorePage>)> callback) override
    {
        ++rangeCalls;
        later(
            [this, prefix, afterKey, callback] {
                if (isDown)
                    return callback(unavailable());
                if (isSilent)
                    return timeOut(callback, callTimeout);
                StorePage page;
                page.asOf = storeEra::combine(era_, revision_);
                for (const auto& [key, item] : items_) {
                    if (key.rfind(prefix, 0) != 0 || key <= afterKey)
                        continue;
                    if (page.items.size() == pageSize) {
                        page.isTruncated = true;
                        break;
                    }
                    page.items.push_back(stamped(item));
                }
                callback(page);
            },
            !slowPrefix.empty() && prefix == slowPrefix ? slowDelay : Milliseconds(0));
    }

    void watch(const std::string& prefix, std::uint64_t afterRevision, Milliseconds wait,
        std::function<void(StoreResult<StorePage>)> callback) override
    {
        ++watchCalls;
        later([this, prefix, afterRevision, wait, callback] {
            if (isDown)
                return callback(unavailable());
            if (isSilent)
                return timeOut(callback, wait + watchTimeoutMargin);
            if (rejectsWatchesOfAllKeys && prefix.empty())
                return callback(StoreFailure { StoreFailure::Kind::Rejected, "status 400" });
            const bool isOfEra = storeEra::eraOf(afterRevision) == era_;
            if (!isOfEra || storeEra::numberOf(afterRevision) < oldest_)
                return callback(StoreFailure { StoreFailure::Kind::HistoryGone, "status 410" });
            const std::size_t number = ++lastWatch_;
            watches_[number] = { prefix, storeEra::numberOf(afterRevision), callback };
            timers_.callAfter(wait, [this, number](TimePoint) {
                const auto found = watches_.find(number);
                if (found == watches_.end())
                    return;
                const auto expired = std::move(found->second.callback);
                watches_.erase(found);
                if (isSilent)
                    return timeOut(expired, watchTimeoutMargin);
                StorePage page;
                page.asOf = storeEra::combine(era_, revision_);
                expired(page);
            });
            answerWatches();
        });
    }

    void transact(
        const StoreTransaction& transaction, std::function<void(StoreResult<std::uint64_t>)> callback) override
    {
        later([this, transaction, callback] {
            if (isDown)
                return callback(unavailable());
            if (losesTransactions)
                return timeOut(callback, callTimeout);
            for (const auto& expected : transaction.expected) {
                const auto found = items_.find(expected.key);
                const std::uint64_t current
                    = found == items_.end() ? 0 : storeEra::combine(era_, found->second.revision);
                if (current != expected.revision)
                    return callback(StoreFailure { StoreFailure::Kind::Conflict, "status 412" });
            }
            for (const auto& put : transaction.puts) {
                if (!put.lease.isNone() && !hasLease(put.lease))
                    return callback(StoreFailure { StoreFailure::Kind::LeaseGone, "status 404" });
            }
            const std::uint64_t revision = revision_ + 1;
            for (const auto& change : transaction.puts) {
                revision_ = revision - 1;
                put(change.key, change.value, change.lease.number);
            }
            for (const auto& key : transaction.deletes)
                erase(key);
            if (losesAnswers)
                return callback(StoreFailure { StoreFailure::Kind::NoAnswer, "timed out" });
            callback(storeEra::combine(era_, revision));
        });
    }

    void grantLease(Milliseconds duration, std::function<void(StoreResult<StoreLease>)> callback) override
    {
        later([this, duration, callback] {
            if (isDown)
                return callback(unavailable());
            const std::uint64_t lease = ++lastLease_;
            leases_[lease] = { duration, timers_.now() + duration };
            expireLater(lease);
            callback(StoreLease { { lease, era_ }, duration });
        });
    }

    void renewLease(const LeaseId& lease, std::function<void(StoreResult<Done>)> callback) override
    {
        later([this, lease, callback] {
            if (isDown)
                return callback(unavailable());
            if (!hasLease(lease))
                return callback(StoreFailure { StoreFailure::Kind::LeaseGone, "status 404" });
            Lease& renewed = leases_[lease.number];
            renewed.endsAt = timers_.now() + renewed.duration;
            expireLater(lease.number);
            callback(Done {});
        });
    }

private:
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;
        std::function<void(StoreResult<StorePage>)> callback;
    };
    struct Lease {
        Milliseconds duration { 0 };
        TimePoint endsAt;
    };

    struct Copy {
        std::map<std::string, StoreItem> items;
        std::uint64_t revision = 0;
        std::uint64_t lastLease = 0;
    };

    StoreItem stamped(StoreItem item) const
    {
        item.revision = storeEra::combine(era_, item.revision);
        return item;
    }
    bool hasLease(const LeaseId& lease) const { return lease.era == era_ && leases_.count(lease.number) > 0; }

    /** Time limits of HttpMetadataStore. */
    static constexpr Milliseconds callTimeout { 1500 };
    static constexpr Milliseconds watchTimeoutMargin { 800 };

    template <typename Callback> void timeOut(const Callback& callback, Milliseconds delay)
    {
        timers_.callAfter(delay, [callback](TimePoint) {
            callback(StoreFailure { StoreFailure::Kind::NoAnswer, "timed out" });
        });
    }

    static StoreFailure unavailable() { return { StoreFailure::Kind::Unavailable, "status 503" }; }

    template <typename Step> void later(Step step, Milliseconds extra = Milliseconds(0))
    {
        ++calls;
        timers_.callAfter(delay + extra, [step](TimePoint) { step(); });
    }

    void expireLater(std::uint64_t lease)
    {
        timers_.callAfter(leases_[lease].duration, [this, lease](TimePoint now) {
            const auto found = leases_.find(lease);
            if (found == leases_.end() || now < found->second.endsAt)
                return;
            leases_.erase(found);
            std::vector<std::string> keys;
            for (const auto& [key, item] : items_) {
                if (item.lease == lease)
                    keys.push_back(key);
            }
            for (const std::string& key : keys)
                erase(key);
        });
    }

    void answerWatches()
    {
        if (watchesReportNothing || isSilent)
            return;
        const auto watches = watches_;
        for (const auto& [number, watch] : watches) {
            StorePage page;
            page.asOf = storeEra::combine(era_, revision_);
            for (const StoreItem& item : history_) {
                if (item.revision > watch.after && item.key.rfind(watch.prefix, 0) == 0)
                    page.items.push_back(stamped(item));
            }
            if (page.items.empty())
                continue;
            watches_.erase(number);
            timers_.callAfter(Duration(0), [callback = watch.callback, page](TimePoint) { callback(page); });
        }
    }

    FakeTimerService& timers_;
    std::map<std::string, StoreItem> items_;
    std::vector<StoreItem> history_;
    std::map<std::size_t, Watch> watches_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 10;
    std::uint64_t oldest_ = 0;
    std::uint64_t lastLease_ = 0;
    std::size_t lastWatch_ = 0;
    std::uint64_t era_ = 0;
    Copy copy_;
};

} // namespace almondlever
