#pragma once

#include <cstdint>

namespace almondlever {

/**
 * Revisions of the platform's store that stay ordered when the store is restored from an older backup.
 *
 * A restored store issues the same revision numbers again and counts its restores as eras. The adapter stores the era
 * in the bits above the revision, so that every revision of a later era is greater and code that compares revisions,
 * watches from a revision or uses one as a fencing token needs no special case. Revisions have 40 bits, and 13 bits of
 * eras keep a fencing token exact in JSON.
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
