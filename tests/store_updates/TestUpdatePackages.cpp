#include "almondlever/front/UpdatePackages.h"

#include <criterion/criterion.h>
#include <random>

using namespace almondlever;

namespace {

/** One key with a value that cannot be compressed. */
std::vector<StoreItem> makeItems(std::size_t bytes, unsigned seed)
{
    std::mt19937 random(seed);
    StoreItem item;
    item.key = "op/config";
    item.revision = seed;
    for (std::size_t position = 0; position < bytes; ++position)
        item.value += static_cast<char>(random());
    return { item };
}

} // namespace

// Many daemons start at once while members join, so that each of them downloads another state. Guards against packages
// that are dropped while they are downloaded, each by the next one, until no download ends.
Test(UpdatePackages, concurrentDownloadsEnd)
{
    constexpr unsigned daemons = 48;
    UpdatePackages packages;
    std::vector<PackedItems> offers;
    for (unsigned daemon = 0; daemon < daemons; ++daemon)
        offers.push_back(packages.pack(makeItems(3 * UpdatePackages::partBytes, daemon)));
    for (std::size_t offset = 0; offset < offers[0].bytes; offset += UpdatePackages::partBytes) {
        for (const PackedItems& offer : offers)
            cr_assert(!packages.readPart(offer.id, offset).empty(), "offset %zu", offset);
    }
}

// Guards against memory that grows with the number of large updates, and against a package that is never kept.
Test(UpdatePackages, memoryIsLimited)
{
    UpdatePackages packages;
    const std::size_t bytes = UpdatePackages::maximumBytes / 4;
    const PackedItems first = packages.pack(makeItems(bytes, 0));
    for (unsigned update = 1; update < 6; ++update)
        packages.pack(makeItems(bytes, update));
    cr_assert(packages.readPart(first.id, 0).empty());
    const PackedItems huge = packages.pack(makeItems(UpdatePackages::maximumBytes + 1, 6));
    cr_assert(!packages.readPart(huge.id, 0).empty());
}
