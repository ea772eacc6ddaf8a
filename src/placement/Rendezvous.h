#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/membership/MembershipView.h"

// Inlined, because a full placement of the fleet that the system is designed for computes six million scores of 16
// bytes.
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondlever {

/** Hash of a name; the same in every process and release, because all daemons must compute the same placement. */
std::uint64_t hashName(const std::string&);

/** Rendezvous score of a daemon for a key; the daemon with the highest score wins. */
inline std::uint64_t rendezvousScore(std::uint64_t keyHash, std::uint64_t daemonHash)
{
    const std::uint64_t pair[] = { keyHash, daemonHash };
    return XXH3_64bits(pair, sizeof(pair));
}

/** True when the left daemon wins; equal scores are decided by the id. */
inline bool wins(std::uint64_t leftScore, const VmId& leftId, std::uint64_t rightScore, const VmId& rightId)
{
    return leftScore != rightScore ? leftScore > rightScore : leftId < rightId;
}

/**
 * Adds daemons that are not leaving to `chosen` until it has `count` daemons or none is left. Each is taken from a
 * failure domain with the fewest chosen daemons so far; among these the highest score for the key wins.
 */
void fillAcrossFailureDomains(
    std::vector<VmId>& chosen, std::size_t count, const std::string& key, const MembershipView&);

/**
 * Returns `count` daemons, or all that are not leaving, chosen like fillAcrossFailureDomains(). VMs with at least half
 * of the largest capacity come first.
 */
std::vector<VmId> chooseStrong(const std::vector<LiveDaemon>& candidates, std::size_t count, const std::string& key);

} // namespace almondlever
