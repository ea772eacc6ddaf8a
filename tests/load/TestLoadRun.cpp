#include "FakeDaemon.h"
#include "load/HistoryChecker.h"
#include "load/LoadRun.h"

#include <criterion/criterion.h>
#include <set>

using namespace almondlever;
using namespace almondlever::load;
using namespace almondlever::load::test;

namespace {

const char* const workloadText = R"(
deployment: sample
seed: 20261204
threads: 2
client_latency: 1ms
settle_time: 0s
databases: {lots: [lots-a], grades: [grades-a]}
callers:
  - {name: clerks, rank: urgent, deadline: 2s, read_your_writes: true, databases: [lots, grades], rate: 200, reads: 40%,
     keyed_writes: 50%, transactions: 10%, rolled_back: 10%, abandoned: 5%, roams: 50%, shared_keys: 20%, sessions: 4}
  - {name: buyers, rank: low, deadline: 2s, databases: [lots, grades], rate: 200, shared_keys: 30%}
phases:
  - {name: steady, duration: 1500ms}
)";

LoadRunResult runAgainst(const std::vector<HttpAddress>& daemons, const std::string& text = workloadText)
{
    const Workload workload = parseWorkload(text, "sample.yaml").value();
    HistoryWriter writer("");
    return runLoad(workload, { daemons, { daemons.back() }, {}, "run" }, writer);
}

std::set<ViolationKind> findViolations(PlantedFault fault)
{
    const FakeDaemon daemon(fault);
    const LoadRunResult run = runAgainst({ daemon.address() });
    std::set<ViolationKind> kinds;
    for (const Violation& violation : HistoryChecker(run.history).check().violations)
        kinds.insert(violation.kind);
    return kinds;
}

} // namespace

// Guards against a load program that reports faults of its own making, or that sends nothing.
Test(LoadRun, findsNothingAtFaultlessDaemon)
{
    const FakeDaemon daemon(PlantedFault::None);
    const LoadRunResult run = runAgainst({ daemon.address() });
    const CheckResult check = HistoryChecker(run.history).check();
    for (const Violation& violation : check.violations)
        cr_log_warn("%s: %s", toText(violation.kind), violation.detail.c_str());
    cr_assert(check.violations.empty());
    cr_assert(check.counts.acknowledgedWrites > 50);
    cr_assert(check.counts.committedTransactions > 5);
    cr_assert(check.counts.sessionReads > 200);
    cr_assert(check.counts.keysReadBack == check.counts.keysWritten);
    cr_assert(check.counts.logsCompared == 2);
}

// Guards against a load whose mix gives the checker no chance to see a fault of the system.
Test(LoadRun, findsPlantedFaults)
{
    cr_assert(findViolations(PlantedFault::LoseWrite).count(ViolationKind::LostWrite) == 1);
    cr_assert(findViolations(PlantedFault::CrossAnswer).count(ViolationKind::CrossedAnswer) == 1);
    cr_assert(findViolations(PlantedFault::FalseNotRun).count(ViolationKind::FalseNotRun) == 1);
    cr_assert(findViolations(PlantedFault::DoubleWrite).count(ViolationKind::DoubledWrite) == 1);
    cr_assert(findViolations(PlantedFault::HalveTransaction).count(ViolationKind::TransactionPartlyVisible) == 1);
}

// Guards against a run that never ends, or stops short, when a daemon is down: its callers go on through the other one.
Test(LoadRun, goesOnWhenDaemonIsDown)
{
    const FakeDaemon daemon(PlantedFault::None);
    HttpAddress closed;
    {
        const FakeDaemon gone(PlantedFault::None);
        closed = gone.address();
    }
    const LoadRunResult run = runAgainst({ closed, daemon.address() });
    const CheckResult check = HistoryChecker(run.history).check();
    cr_assert(check.violations.empty());
    cr_assert(check.counts.keysReadBack == check.counts.keysWritten);
}

// Guards against faults that are silently left out of a run.
Test(LoadRun, recordsFaultThatCannotBeCarriedOut)
{
    const FakeDaemon daemon(PlantedFault::None);
    const LoadRunResult run = runAgainst(
        { daemon.address() }, std::string(workloadText) + "faults:\n  - {at: 500ms, signal: SIGKILL, process: vm-9}\n");
    cr_assert(run.history.faults.size() == 1);
    cr_assert(!run.history.faults.front().error.empty());
}
