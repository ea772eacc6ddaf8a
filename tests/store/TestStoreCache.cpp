#include "almondlever/store/StoreCache.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

StoreItem makeItem(const std::string& key, std::uint64_t revision, bool isDeleted = false)
{
    StoreItem item;
    item.key = key;
    item.revision = revision;
    item.isDeleted = isDeleted;
    return item;
}

} // namespace

// Guards against a daemon that keeps a key which was deleted between two of its queries.
Test(StoreCache, reportsDeletions)
{
    StoreCache cache;
    cache.applySnapshot({ makeItem("a", 1), makeItem("b", 2) }, 5);
    cache.applyChanges({ makeItem("a", 7, true) }, 7);
    cr_assert(!cache.needsSnapshot(5));
    const auto changes = cache.changesSince(5);
    cr_assert_eq(changes.size(), 1U);
    cr_assert(changes[0].isDeleted);
    cr_assert_eq(cache.all().size(), 1U);
}

// Guards against changes that miss deletions which are no longer kept.
Test(StoreCache, needsASnapshotWhenDeletionsWereDropped)
{
    StoreCache cache;
    cache.applySnapshot({}, 5);
    cr_assert(cache.needsSnapshot(4), "deletions before the snapshot are unknown");
    for (std::uint64_t i = 0; i <= StoreCache::maxDeletions; ++i)
        cache.applyChanges({ makeItem("k", 10 + i, true) }, 10 + i);
    cr_assert(cache.needsSnapshot(9));
    cr_assert(!cache.needsSnapshot(10));
}
