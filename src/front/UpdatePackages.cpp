#include "almondlever/front/UpdatePackages.h"

#include "almondlever/observability/DecisionLog.h"
#include "almondlever/wire/StoreItemPacking.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace almondlever {

namespace {

    std::uint64_t hashBytes(const std::string& bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

    std::uint64_t hashItems(const std::vector<StoreItem>& items)
    {
        std::string hashes;
        for (const StoreItem& item : items)
            hashes += item.key + ' ' + std::to_string(item.revision) + (item.isDeleted ? " deleted " : " ")
                + std::to_string(hashBytes(item.value)) + '\n';
        return hashBytes(hashes);
    }

} // namespace

PackedItems UpdatePackages::pack(const std::vector<StoreItem>& items)
{
    const std::uint64_t itemsHash = hashItems(items);
    const auto known = std::find_if(packages_.begin(), packages_.end(),
        [itemsHash](const Package& package) { return package.itemsHash == itemsHash; });
    if (known != packages_.end()) {
        packages_.splice(packages_.begin(), packages_, known);
    } else {
        std::string bytes = packStoreItems(items);
        const std::uint64_t id = hashBytes(bytes);
        keptBytes_ += bytes.size();
        packages_.push_front({ itemsHash, id, std::move(bytes) });
        while (keptBytes_ > maximumBytes && packages_.size() > 1) {
            keptBytes_ -= packages_.back().bytes.size();
            packages_.pop_back();
        }
        logInfo("store_update_packed",
            { { "package", std::to_string(id) }, { "items", std::to_string(items.size()) },
                { "bytes", std::to_string(packages_.front().bytes.size()) } });
    }
    const Package& package = packages_.front();
    return { package.id, package.bytes.size() };
}

std::string UpdatePackages::readPart(std::uint64_t package, std::uint64_t offset)
{
    const auto found = std::find_if(
        packages_.begin(), packages_.end(), [package](const Package& candidate) { return candidate.id == package; });
    if (found == packages_.end() || offset >= found->bytes.size())
        return {};
    packages_.splice(packages_.begin(), packages_, found);
    return found->bytes.substr(offset, partBytes);
}

} // namespace almondlever
