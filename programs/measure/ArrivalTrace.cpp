#include "ArrivalTrace.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace almondlever::measure {

namespace {

    using namespace std::chrono_literals;

    constexpr double floodFactor = 10;
    constexpr double sigma = 0.7;
    constexpr auto warmTime = 10s;
    /** Any moment after the clock's epoch. */
    constexpr TimePoint traceBegin = TimePoint(1h);

    RankLoad makeRank(const char* name, double floor, Milliseconds deadline, std::size_t callers, double load,
        Milliseconds meanSlotTime)
    {
        RankRule rule;
        rule.name = RankName(name);
        rule.floor = floor;
        rule.deadline = deadline;
        rule.queueRequests = 1000;
        rule.queueBytes = 1 << 20;
        return { rule, callers, load, meanSlotTime };
    }

    Duration fromSeconds(double seconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
    }

    /** One caller's requests, at a constant rate in a span of time. */
    struct Stream {
        std::size_t rank;
        std::size_t caller;
        double requestsPerSecond;
        double meanSlotSeconds;
        TimePoint begin;
        TimePoint end;
    };

    void append(std::vector<Arrival>& arrivals, const Stream& stream, std::mt19937_64& generator)
    {
        std::exponential_distribution<double> gap(stream.requestsPerSecond);
        std::lognormal_distribution<double> slotSeconds(std::log(stream.meanSlotSeconds) - sigma * sigma / 2, sigma);
        TimePoint time = stream.begin + fromSeconds(gap(generator));
        while (time < stream.end) {
            arrivals.push_back({ time, stream.rank, stream.caller, fromSeconds(slotSeconds(generator)) });
            time += fromSeconds(gap(generator));
        }
    }

} // namespace

std::vector<RankRule> DeploymentLoad::rules() const
{
    std::vector<RankRule> rules;
    for (const RankLoad& rank : ranks)
        rules.push_back(rank.rule);
    return rules;
}

std::vector<DeploymentLoad> deploymentLoads()
{
    return {
        { "kavango", 5,
            { makeRank("clerks", 0.3, 500ms, 4, 0.2, 20ms), makeRank("sheds", 0.25, 2000ms, 6, 0.25, 15ms),
                makeRank("buyers", 0.2, 1000ms, 20, 0.35, 10ms) } },
        { "limmidasmidjan", 3,
            { makeRank("order_desk", 0.3, 800ms, 4, 0.2, 30ms), makeRank("plotters", 0.25, 1500ms, 6, 0.25, 25ms),
                makeRank("proofs", 0.3, 1000ms, 20, 0.35, 20ms) } },
    };
}

bool FloodScenario::isFlooding(std::size_t rank, std::size_t ranks) const
{
    return (isUrgentFlooding && rank == 0) || (isLowestFlooding && rank + 1 == ranks);
}

std::vector<FloodScenario> floodScenarios()
{
    return { { "lowest", false, true }, { "urgent", true, false }, { "both", true, true } };
}

TracePhases makePhases(std::chrono::seconds phaseLength)
{
    const TimePoint warm = traceBegin + warmTime;
    return { warm, warm + phaseLength, warm + 2 * phaseLength };
}

std::vector<Arrival> makeTrace(
    const DeploymentLoad& deployment, const FloodScenario& scenario, const TracePhases& phases, std::uint64_t seed)
{
    std::mt19937_64 generator(seed);
    std::vector<Arrival> arrivals;
    for (std::size_t index = 0; index < deployment.ranks.size(); ++index) {
        const RankLoad& rank = deployment.ranks[index];
        const double slotSeconds = std::chrono::duration<double>(rank.meanSlotTime).count();
        const double capacity = static_cast<double>(deployment.slots) / slotSeconds;
        const double usual = capacity * rank.load / static_cast<double>(rank.callers);
        for (std::size_t caller = 0; caller < rank.callers; ++caller)
            append(arrivals, { index, caller, usual, slotSeconds, traceBegin, phases.floodEnd }, generator);
        if (scenario.isFlooding(index, deployment.ranks.size())) {
            const double extra = capacity * (floodFactor - rank.load);
            append(arrivals, { index, 0, extra, slotSeconds, phases.floodBegin, phases.floodEnd }, generator);
        }
    }
    std::stable_sort(arrivals.begin(), arrivals.end(),
        [](const Arrival& left, const Arrival& right) { return left.time < right.time; });
    return arrivals;
}

} // namespace almondlever::measure
