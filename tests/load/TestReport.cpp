#include "HistoryBuilder.h"
#include "load/Report.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::load;
using namespace almondlever::load::test;

// Guards against a gap that is measured too short: a write that was under way at the fault does not end the gap.
Test(Report, measuresWriteGapAroundFault)
{
    HistoryBuilder history;
    history.write("clerk", "a", "a1", { 1, 2 });
    Operation& underWay = history.write("clerk", "a", "a2", { 1, 3 });
    const Microseconds fault = underWay.sentAt + Microseconds(100);
    Operation& after = history.write("clerk", "a", "a3", { 2, 5 });
    after.sentAt = fault + Microseconds(200'000);
    after.answeredAt = fault + Microseconds(900'000);
    const Microseconds lastBefore = history.history.operations[0].answeredAt;
    const Microseconds underWayEnd = history.history.operations[1].answeredAt;
    const WriteGap gap = measureWriteGap(history.history.operations, { "kill", fault, "", "" }, "lots");
    cr_assert(gap.hasRecovered);
    cr_assert(gap.lastBeforeToFirstAfter == fault + Microseconds(900'000) - lastBefore);
    cr_assert(gap.gap == fault + Microseconds(900'000) - underWayEnd);
    cr_assert(gap.termBefore == 1 && gap.termAfter == 2);
}

// Guards against deadlines that are counted from the last repeat, which would hide the wait before it.
Test(Report, countsDeadlineFromFirstAttempt)
{
    Workload workload;
    workload.capacityPerSecond = 10;
    CallerLoad caller;
    caller.name = "customs";
    caller.rank = "border";
    caller.deadline = Milliseconds(100);
    caller.floor = 0.5;
    workload.callers.push_back(caller);
    workload.phases.push_back({ "steady", Milliseconds(1000), {}, {} });

    HistoryBuilder history;
    history.failedWrite("clerk", "a", "a1", Outcome::NotRun);
    Operation& repeat = history.write("clerk", "a", "a1", { 1, 2 });
    repeat.firstAttempt = 1;
    repeat.sentAt = Microseconds(150'000);
    repeat.answeredAt = Microseconds(151'000);
    history.write("clerk", "a", "a2", { 1, 3 });
    for (Operation& operation : history.history.operations) {
        operation.rank = "border";
        operation.phase = "steady";
    }
    LoadRunResult run;
    run.history = history.history;
    run.unsentArrivals[{ "steady", "customs" }] = 2;
    const RankService service = buildReport(workload, "r", run, {}).services.front();
    cr_assert(service.offered == 2 && service.attempts == 3 && service.answered == 2);
    cr_assert(service.insideDeadline == 1 && service.refused == 1 && service.notSent == 2);
    cr_assert(service.insideDeadlineShare() == 0.25);
    cr_assert(service.shareOfFloor() == 0.5);
}

// Guards against counters of a restarted server being taken for negative work.
Test(UsageRecorder, countsAcrossRestart)
{
    EndpointFigures figures;
    figures.isRunning = true;
    figures.slots = 4;
    figures.slotsInUse = 3;
    figures.statementsRun = 100;
    figures.connectionsPeak = 9;
    UsageRecorder recorder;
    recorder.add("steady", { { "lots-a", figures } });
    figures.statementsRun = 5;
    figures.slotsInUse = 1;
    figures.connectionsPeak = 2;
    recorder.add("steady", { { "lots-a", figures } });
    cr_assert(recorder.endpoints().at("lots-a").statementsRun == 105);
    cr_assert(recorder.endpoints().at("lots-a").last.connectionsPeak == 9);
    cr_assert(recorder.phases().at("steady").busyShare() == 0.5);
}
