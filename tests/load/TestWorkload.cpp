#include "load/ArrivalSchedule.h"
#include "load/Workload.h"

#include <algorithm>
#include <cmath>
#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::load;

namespace {

const char* const sampleText = R"(
deployment: sample
seed: 7
client_latency: 3ms
capacity: 100
flood_factor: 10
databases:
  lots: [lots-a, lots-b]
callers:
  - {name: clerks, rank: urgent, deadline: 1s, floor: 60%, read_your_writes: true, databases: [lots], rate: 20, reads: 70%}
  - {name: buyers, rank: low, deadline: 3s, databases: [lots], rate: 50}
phases:
  - {name: steady, duration: 10s}
  - {name: flood, duration: 5s, flood: [buyers], rates: {clerks: 0}}
faults:
  - {at: 4s, action: partition, endpoint: "primary-of:lots", ms: 5, on: true}
  - {at: 5s, signal: SIGKILL, process: vm-1, measures: lots}
)";

std::vector<Duration> drawArrivals(const Workload& workload, const std::string& caller, std::uint64_t seed)
{
    std::vector<Duration> moments;
    for (ArrivalSchedule schedule(workload, *workload.findCaller(caller), seed, 1); schedule.next(); schedule.advance())
        moments.push_back(*schedule.next());
    return moments;
}

} // namespace

// Guards against values that are read in another unit than written.
Test(Workload, readsUnits)
{
    const auto loaded = parseWorkload(sampleText, "sample.yaml");
    cr_assert(loaded.hasValue());
    const Workload& workload = loaded.value();
    cr_assert(workload.duration() == std::chrono::seconds(15));
    cr_assert(workload.clientLatency == Milliseconds(3));
    cr_assert(workload.findCaller("clerks")->deadline == std::chrono::seconds(1));
    cr_assert(workload.findCaller("clerks")->floor == 0.6);
    cr_assert(workload.rateIn(workload.phases[1], *workload.findCaller("buyers")) == 1000);
    cr_assert(workload.phaseAt(std::chrono::seconds(10)).name == std::string("flood"));
    cr_assert(workload.faults[0].actionJson
        == std::string(R"({"action":"partition","endpoint":"primary-of:lots","ms":5,"on":true})"));
    cr_assert(workload.faults[1].signal == std::string("SIGKILL"));
}

// Guards against findings that come one at a time, and against misspelt keys that are silently left out.
Test(Workload, reportsAllFindings)
{
    const auto loaded
        = parseWorkload("deployment: x\ncallers:\n  - {name: a, rank: r, databases: [d], raet: 5, reads: 7}\n"
                        "phases:\n  - {name: p, duration: 5, flood: [b]}\n",
            "wrong.yaml");
    cr_assert(!loaded.hasValue());
    cr_assert(loaded.error().size() == 6, "%zu", loaded.error().size());
    cr_assert(loaded.error().front().line == 3);
}

// Guards against a run that cannot be repeated from its seed.
Test(ArrivalSchedule, dependsOnSeedAlone)
{
    const Workload workload = parseWorkload(sampleText, "sample.yaml").value();
    cr_assert(drawArrivals(workload, "buyers", 5) == drawArrivals(workload, "buyers", 5));
    cr_assert(drawArrivals(workload, "buyers", 5) != drawArrivals(workload, "buyers", 6));
}

// Guards against a flood that is weaker than it claims: rates must hold in each phase, within four standard deviations.
Test(ArrivalSchedule, followsRatesOfPhases)
{
    const Workload workload = parseWorkload(sampleText, "sample.yaml").value();
    const auto buyers = drawArrivals(workload, "buyers", 5);
    const auto steady = std::count_if(
        buyers.begin(), buyers.end(), [](Duration moment) { return moment < std::chrono::seconds(10); });
    const double flood = static_cast<double>(buyers.size()) - static_cast<double>(steady);
    cr_assert(std::abs(static_cast<double>(steady) - 500) < 4 * std::sqrt(500.0));
    cr_assert(std::abs(flood - 5000) < 4 * std::sqrt(5000.0));
    const auto clerks = drawArrivals(workload, "clerks", 5);
    cr_assert(!clerks.empty() && clerks.back() < std::chrono::seconds(10));
}
