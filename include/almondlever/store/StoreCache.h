#pragma once

#include "almondlever/store/MetadataStore.h"

#include <map>
#include <string>
#include <vector>

namespace almondlever {

/** Caches the keys with one prefix, to pass them on to other daemons. */
class StoreCache {
public:
    /** Number of deletions kept; a daemon whose revision is older than the kept ones receives all keys. */
    static constexpr std::size_t maxDeletions = 256;

    void applySnapshot(const std::vector<StoreItem>&, std::uint64_t revision);
    void applyChanges(const std::vector<StoreItem>&, std::uint64_t revision);

    std::uint64_t revision() const { return revision_; }
    /** Returns true if changesSince() this revision would miss deletions. */
    bool needsSnapshot(std::uint64_t since) const { return since < completeSince_; }
    std::vector<StoreItem> all() const;
    /** Returns the keys changed after a revision, including deletions. */
    std::vector<StoreItem> changesSince(std::uint64_t since) const;

private:
    std::map<std::string, StoreItem> items_;
    /** Deleted keys by revision. */
    std::map<std::uint64_t, StoreItem> deletions_;
    std::uint64_t revision_ = 0;
    /** All deletions after this revision are kept. */
    std::uint64_t completeSince_ = 0;
};

} // namespace almondlever
