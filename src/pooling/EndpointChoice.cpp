#include "almondlever/pooling/EndpointChoice.h"

namespace almondlever {

namespace {

    /** Weight of the primary against replicas: it alone can run writes, so reads prefer replicas that are not busier.
     */
    constexpr double primaryWeight = 1.5;

    /**
     * Share of its own time that a statement is expected to wait for each one that this daemon already runs there. An
     * endpoint has 3 to 6 slots for all daemons, so it rarely waits for the whole of another.
     */
    constexpr double waitBehindOne = 0.5;

    double expectedTime(const ReadCandidate& candidate)
    {
        const double queue = 1 + waitBehindOne * static_cast<double>(candidate.running);
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
