#include "almondlever/store/StoreCache.h"

#include <algorithm>

namespace almondlever {

void StoreCache::applySnapshot(const std::vector<StoreItem>& items, std::uint64_t revision)
{
    items_.clear();
    deletions_.clear();
    for (const StoreItem& item : items)
        items_[item.key] = item;
    revision_ = revision;
    // Deletions before the snapshot are unknown.
    completeSince_ = revision;
}

void StoreCache::applyChanges(const std::vector<StoreItem>& changes, std::uint64_t revision)
{
    for (const StoreItem& item : changes) {
        if (!item.isDeleted) {
            items_[item.key] = item;
            continue;
        }
        items_.erase(item.key);
        deletions_[item.revision] = item;
    }
    while (deletions_.size() > maxDeletions) {
        completeSince_ = std::max(completeSince_, deletions_.begin()->first);
        deletions_.erase(deletions_.begin());
    }
    revision_ = std::max(revision_, revision);
}

std::vector<StoreItem> StoreCache::all() const
{
    std::vector<StoreItem> items;
    for (const auto& [key, item] : items_)
        items.push_back(item);
    return items;
}

std::vector<StoreItem> StoreCache::changesSince(std::uint64_t since) const
{
    std::vector<StoreItem> changes;
    for (const auto& [key, item] : items_) {
        if (item.revision > since)
            changes.push_back(item);
    }
    for (auto it = deletions_.upper_bound(since); it != deletions_.end(); ++it)
        changes.push_back(it->second);
    std::sort(changes.begin(), changes.end(),
        [](const StoreItem& left, const StoreItem& right) { return left.revision < right.revision; });
    return changes;
}

} // namespace almondlever
