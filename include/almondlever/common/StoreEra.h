#pragma once

#include <cstdint>

namespace almondlever {

/**
 * Revisions of the platform's store that stay ordered when the store comes back from an older copy.
 *
 * A store that was restored gives revisions out again, and counts its restores as eras. The adapter puts the era above
 * each revision, so that whatever compares revisions, watches after one, or uses one as a fencing token goes on as
 * before: every revision of a later era is greater. Revisions have 40 bits, and 13 bits of eras keep a fencing token
 * exact in JSON.
 */
namespace storeEra {
    constexpr unsigned numberBits = 40;
    constexpr std::uint64_t numberMask = (std::uint64_t { 1 } << numberBits) - 1;
    constexpr std::uint64_t maximumEra = (std::uint64_t { 1 } << 13U) - 1;

    constexpr std::uint64_t combine(std::uint64_t era, std::uint64_t number)
    {
        return (era << numberBits) | (number & numberMask);
    }
    constexpr std::uint64_t eraOf(std::uint64_t combined) { return combined >> numberBits; }
    constexpr std::uint64_t numberOf(std::uint64_t combined) { return combined & numberMask; }
}

} // namespace almondlever
