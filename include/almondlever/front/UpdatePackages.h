#pragma once

#include "almondlever/wire/Messages.h"

#include <list>
#include <string>
#include <vector>

namespace almondlever {

/** Packages of large updates that other daemons download in parts. Keeps those used last. */
class UpdatePackages {
public:
    /** Largest part: small enough that statements and probes on the same channel wait for milliseconds only. */
    static constexpr std::size_t partBytes = 32 * 1024;
    /** Limit of the kept packages, which daemons still download while newer updates are packed; the newest one is kept
     * whatever its size. */
    static constexpr std::size_t maximumBytes = std::size_t { 8 } * 1024 * 1024;

    /** Packs items; those that were packed before are not packed again while their package is kept. */
    PackedItems pack(const std::vector<StoreItem>&);
    /** Returns the bytes from an offset on, up to partBytes; none if the package is not kept. */
    std::string readPart(std::uint64_t package, std::uint64_t offset);

private:
    struct Package {
        /** Hash of the items before they were packed. */
        std::uint64_t itemsHash = 0;
        std::uint64_t id = 0;
        std::string bytes;
    };

    /** The one used last comes first. */
    std::list<Package> packages_;
    std::size_t keptBytes_ = 0;
};

} // namespace almondlever
