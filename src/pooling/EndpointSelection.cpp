#include "almondlever/pooling/EndpointSelection.h"

namespace almondlever {

namespace {

    /** Penalty of the primary: only it can run writes, so reads prefer replicas that are no busier. */
    constexpr double primaryPenalty = 1.5;

    /** Slots assumed when an endpoint does not report them: the smallest number in use. */
    constexpr std::size_t defaultSlots = 3;

    double expectedResponseTime(const ReadCandidate& candidate)
    {
        const std::size_t slots = candidate.slots > 0 ? candidate.slots : defaultSlots;
        const double queue = 1 + static_cast<double>(candidate.running) / static_cast<double>(slots);
        const double statement = std::chrono::duration<double>(candidate.latency).count() * queue;
        const double opening = std::chrono::duration<double>(candidate.openingTime).count();
        return statement * (candidate.isPrimary ? primaryPenalty : 1) + opening;
    }

} // namespace

bool isPossible(const ReadCandidate& candidate, const LogPosition& minimum)
{
    const bool isProbablyBehind = candidate.wasLaggingLately && candidate.position < minimum;
    return !isProbablyBehind || candidate.isPrimary;
}

std::optional<std::size_t> selectReadEndpoint(const std::vector<ReadCandidate>& candidates, const LogPosition& minimum)
{
    const ReadCandidate* best = nullptr;
    for (const ReadCandidate& candidate : candidates) {
        if (!candidate.hasFreeConnection)
            continue;
        if (!isPossible(candidate, minimum))
            continue;
        if (!best || expectedResponseTime(candidate) < expectedResponseTime(*best))
            best = &candidate;
    }
    return best ? std::optional<std::size_t>(best->index) : std::nullopt;
}

} // namespace almondlever
