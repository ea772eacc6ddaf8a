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

// Guards against a daemon that keeps a key which was deleted while it did not ask.
Test(StoreCache, tellsDeletions)
{
    StoreCache cache;
    cache.takeSnapshot({ makeItem("a", 1), makeItem("b", 2) }, 5);
    cache.takeChanges({ makeItem("a", 7, true) }, 7);
    cr_assert(!cache.needsSnapshot(5));
    const auto changes = cache.changesSince(5);
    cr_assert_eq(changes.size(), 1U);
    cr_assert(changes[0].isDeleted);
    cr_assert_eq(cache.all().size(), 1U);
}

// Guards against changes that leave deletions out because those are not remembered any more.
Test(StoreCache, asksForASnapshotWhenDeletionsAreForgotten)
{
    StoreCache cache;
    cache.takeSnapshot({}, 5);
    cr_assert(cache.needsSnapshot(4), "what was deleted before the snapshot is unknown");
    for (std::uint64_t i = 0; i <= StoreCache::rememberedDeletions; ++i)
        cache.takeChanges({ makeItem("k", 10 + i, true) }, 10 + i);
    cr_assert(cache.needsSnapshot(9));
    cr_assert(!cache.needsSnapshot(10));
}
