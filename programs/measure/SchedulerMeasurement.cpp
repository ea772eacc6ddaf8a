#include "SchedulerMeasurement.h"

#include "ArrivalTrace.h"
#include "BaselineScheduler.h"
#include "SchedulerReplay.h"

#include <algorithm>
#include <numeric>

namespace almondlever::measure {

namespace {

    using nlohmann::json;

    /** Targets of docs/design.md, section 1.2. */
    constexpr double urgentInsideTarget = 0.999;
    constexpr double keptTarget = 0.95;
    constexpr double busyTarget = 0.95;

    double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

    double ratio(double part, double whole) { return whole > 0 ? part / whole : 1; }

    double percentileMilliseconds(std::vector<Duration> waits, double share)
    {
        if (waits.empty())
            return 0;
        const auto index = static_cast<std::size_t>(share * static_cast<double>(waits.size() - 1));
        const auto place = waits.begin() + static_cast<std::ptrdiff_t>(index);
        std::nth_element(waits.begin(), place, waits.end());
        return toSeconds(*place) * 1000;
    }

    /** Max-min fair division of the total among demands: nobody gets more than asked, the rest is shared alike. */
    std::vector<double> divideFairly(const std::vector<double>& demands, double total)
    {
        std::vector<std::size_t> order(demands.size());
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(),
            [&](std::size_t left, std::size_t right) { return demands[left] < demands[right]; });
        std::vector<double> shares(demands.size());
        std::size_t remaining = demands.size();
        for (const std::size_t index : order) {
            shares[index] = std::min(demands[index], total / static_cast<double>(remaining));
            total -= shares[index];
            --remaining;
        }
        return shares;
    }

    /** Jain's index over what each caller got in relation to its max-min fair share; 1 is perfectly fair. */
    double fairness(const RankRecord& record)
    {
        std::vector<double> demands;
        double total = 0;
        for (std::size_t caller = 0; caller < record.callerOffered.size(); ++caller) {
            demands.push_back(toSeconds(record.callerOffered[caller]));
            total += toSeconds(record.callerServed[caller]);
        }
        const std::vector<double> fair = divideFairly(demands, total);
        double sum = 0;
        double squares = 0;
        for (std::size_t caller = 0; caller < fair.size(); ++caller) {
            const double satisfaction = ratio(toSeconds(record.callerServed[caller]), fair[caller]);
            sum += satisfaction;
            squares += satisfaction * satisfaction;
        }
        return squares > 0 ? sum * sum / (static_cast<double>(fair.size()) * squares) : 0;
    }

    double insideShare(const RankRecord& record)
    {
        return ratio(static_cast<double>(record.insideDeadline), static_cast<double>(record.offered));
    }

    double slotShare(const PhaseRecord& phase, Duration slotTime, std::size_t slots)
    {
        return toSeconds(slotTime) / (toSeconds(phase.length) * static_cast<double>(slots));
    }

    double busyShare(const PhaseRecord& phase, std::size_t slots)
    {
        Duration total { 0 };
        for (const RankRecord& rank : phase.ranks)
            total += rank.slotTime;
        return slotShare(phase, total, slots);
    }

    json describePhase(const PhaseRecord& phase, const RankRecord& record, std::size_t slots)
    {
        return { { "offered", record.offered }, { "inside_deadline_share", insideShare(record) },
            { "inside_deadline_per_second", static_cast<double>(record.insideDeadline) / toSeconds(phase.length) },
            { "late", record.late }, { "refused_on_arrival_not_run", record.refusedOnArrival },
            { "removed_from_queue_not_run", record.removedFromQueue },
            { "slot_share", slotShare(phase, record.slotTime, slots) },
            { "useful_slot_share", slotShare(phase, record.usefulSlotTime, slots) },
            { "wait_p99_ms", percentileMilliseconds(record.waits, 0.99) }, { "caller_jain_index", fairness(record) } };
    }

    /** A rank keeps its floor when its useful slot time reaches the floor, or its demand if that is less. */
    double floorKept(const ReplayRecord& record, std::size_t rank, const DeploymentLoad& deployment)
    {
        const PhaseRecord& flood = record.flood;
        const auto& offered = flood.ranks[rank].callerOffered;
        const Duration demand = std::accumulate(offered.begin(), offered.end(), Duration(0));
        const double owed = std::min(deployment.ranks[rank].rule.floor, slotShare(flood, demand, deployment.slots));
        return ratio(slotShare(flood, flood.ranks[rank].usefulSlotTime, deployment.slots), owed);
    }

    double serviceKept(const ReplayRecord& record, std::size_t rank)
    {
        const double before = static_cast<double>(record.before.ranks[rank].insideDeadline);
        const double during = static_cast<double>(record.flood.ranks[rank].insideDeadline);
        return ratio(during / toSeconds(record.flood.length), before / toSeconds(record.before.length));
    }

    json checkTargets(const ReplayRecord& record, const FloodScenario& scenario, const DeploymentLoad& deployment)
    {
        json targets;
        const double busy = busyShare(record.flood, deployment.slots);
        targets["slots_busy"] = { { "value", busy }, { "met", busy >= busyTarget } };
        if (!scenario.isUrgentFlooding) {
            const double urgent = insideShare(record.flood.ranks.front());
            targets["urgent_inside_deadline"] = { { "value", urgent }, { "met", urgent >= urgentInsideTarget } };
            const double middle = serviceKept(record, 1);
            targets["middle_service_kept"] = { { "value", middle }, { "met", middle >= keptTarget } };
            return targets;
        }
        for (std::size_t rank = 1; rank < deployment.ranks.size(); ++rank) {
            const double kept = floorKept(record, rank, deployment);
            targets[deployment.ranks[rank].rule.name.text() + "_floor_kept"]
                = { { "value", kept }, { "met", kept >= keptTarget } };
        }
        return targets;
    }

    json describe(const ReplayRecord& record, const FloodScenario& scenario, const DeploymentLoad& deployment)
    {
        json ranks = json::array();
        for (std::size_t rank = 0; rank < deployment.ranks.size(); ++rank) {
            ranks.push_back({ { "rank", deployment.ranks[rank].rule.name.text() },
                { "floor", deployment.ranks[rank].rule.floor }, { "service_kept", serviceKept(record, rank) },
                { "floor_kept", floorKept(record, rank, deployment) },
                { "before", describePhase(record.before, record.before.ranks[rank], deployment.slots) },
                { "flood", describePhase(record.flood, record.flood.ranks[rank], deployment.slots) } });
        }
        return { { "slots_busy_before", busyShare(record.before, deployment.slots) },
            { "slots_busy_flood", busyShare(record.flood, deployment.slots) },
            { "lost_or_repeated", record.lostOrRepeated }, { "ranks", ranks },
            { "targets", checkTargets(record, scenario, deployment) } };
    }

} // namespace

json measureSchedulers(std::uint64_t seed, std::chrono::seconds phaseLength)
{
    const TracePhases phases = makePhases(phaseLength);
    json results = json::array();
    for (const DeploymentLoad& deployment : deploymentLoads()) {
        for (const FloodScenario& scenario : floodScenarios()) {
            const std::vector<Arrival> arrivals = makeTrace(deployment, scenario, phases, seed);
            for (const std::string& name : schedulerNames()) {
                const auto scheduler = makeScheduler(name, deployment.rules(), deployment.slots);
                const auto begin = std::chrono::steady_clock::now();
                const ReplayRecord record = replay(*scheduler, deployment, arrivals, phases);
                const double seconds = toSeconds(std::chrono::steady_clock::now() - begin);
                json result = describe(record, scenario, deployment);
                result["deployment"] = deployment.name;
                result["flood"] = scenario.name;
                result["scheduler"] = name;
                result["arrivals"] = arrivals.size();
                result["replay_us_per_request"] = seconds * 1e6 / static_cast<double>(arrivals.size());
                results.push_back(std::move(result));
            }
        }
    }
    return { { "seed", seed }, { "phase_seconds", phaseLength.count() }, { "results", results } };
}

bool meetsTargets(const json& measured)
{
    const auto isMet = [](const json& target) { return target.at("met").get<bool>(); };
    for (const json& result : measured.at("results")) {
        if (result.at("scheduler") != "rank")
            continue;
        const json& targets = result.at("targets");
        if (result.at("lost_or_repeated") != 0 || !std::all_of(targets.begin(), targets.end(), isMet))
            return false;
    }
    return true;
}

} // namespace almondlever::measure
