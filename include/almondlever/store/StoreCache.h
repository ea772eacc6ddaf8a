#pragma once

#include "almondlever/store/MetadataStore.h"

#include <map>
#include <string>
#include <vector>

namespace almondlever {

/** The keys with one prefix as they were last read, to be passed on to other daemons. */
class StoreCache {
public:
    /** Deletions that are remembered; a daemon that knows less than the oldest one gets all keys. */
    static constexpr std::size_t rememberedDeletions = 256;

    void takeSnapshot(const std::vector<StoreItem>&, std::uint64_t revision);
    void takeChanges(const std::vector<StoreItem>&, std::uint64_t revision);

    std::uint64_t revision() const { return revision_; }
    /** True when changesSince() of this revision would leave deletions out. */
    bool needsSnapshot(std::uint64_t since) const { return since < completeSince_; }
    std::vector<StoreItem> all() const;
    /** Keys changed after a revision, deletions included. */
    std::vector<StoreItem> changesSince(std::uint64_t since) const;

private:
    std::map<std::string, StoreItem> items_;
    /** By revision. */
    std::map<std::uint64_t, StoreItem> deletions_;
    std::uint64_t revision_ = 0;
    /** All deletions after this revision are remembered. */
    std::uint64_t completeSince_ = 0;
};

} // namespace almondlever
