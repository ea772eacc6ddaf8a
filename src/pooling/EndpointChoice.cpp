#include "almondlever/pooling/EndpointChoice.h"

namespace almondlever {

namespace {

    /** Weight of the primary against replicas: it alone can run writes, so reads prefer replicas that are not busier.
     */
    constexpr double primaryWeight = 1.5;

    /** Slots of an endpoint that does not say how many it has: the fewest that are in use. */
    constexpr std::size_t usualSlots = 3;

    double expectedTime(const ReadCandidate& candidate)
    {
        const std::size_t slots = candidate.slots > 0 ? candidate.slots : usualSlots;
        const double queue = 1 + static_cast<double>(candidate.running) / static_cast<double>(slots);
        return std::chrono::duration<double>(candidate.latency).count() * queue
            * (candidate.isPrimary ? primaryWeight : 1);
    }

} // namespace

std::optional<std::size_t> chooseForRead(const std::vector<ReadCandidate>& candidates, const LogPosition& minimum)
{
    const ReadCandidate* best = nullptr;
    for (const ReadCandidate& candidate : candidates) {
        if (!candidate.hasFreeLink)
            continue;
        const bool isProbablyBehind = candidate.wasLaggingLately && candidate.position < minimum;
        if (isProbablyBehind && !candidate.isPrimary)
            continue;
        if (!best || expectedTime(candidate) < expectedTime(*best))
            best = &candidate;
    }
    return best ? std::optional<std::size_t>(best->index) : std::nullopt;
}

} // namespace almondlever
