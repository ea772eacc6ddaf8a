#include "mocks/DispatcherFixture.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace almondlever;

namespace {

DispatcherSettings learning()
{
    DispatcherSettings settings;
    settings.learnsCapacity = true;
    return settings;
}

/** Sends a read every 60 ms for the time; returns how many of them ran at the endpoint. */
std::size_t readFor(DispatcherFixture& fixture, Milliseconds time, const EndpointId& endpoint)
{
    const std::size_t before = fixture.endpoints.runs().size();
    FakeCaller caller(fixture, "jobs");
    for (Milliseconds passed { 0 }; passed < time; passed += Milliseconds(60)) {
        caller.read("r");
        fixture.advance(Milliseconds(60));
    }
    const auto& runs = fixture.endpoints.runs();
    return static_cast<std::size_t>(std::count_if(runs.begin() + static_cast<std::ptrdiff_t>(before), runs.end(),
        [&endpoint](const RunStatement& run) { return run.endpoint == endpoint && run.text == "READ x"; }));
}

} // namespace

// A replica resets the connections of its statements while it accepts new ones. Guards against reads that are sent to
// it again and again, and against an endpoint that is not used again after its recovery.
Test(LearnedCapacity, endpointThatResetsConnectionsIsEjectedAndReturns)
{
    DispatcherFixture fixture(learning());
    readFor(fixture, Milliseconds(3000), fixture.b);
    fixture.endpoints.server(fixture.c).work = Milliseconds(80);
    fixture.endpoints.server(fixture.b).lostAnswers = 1000;
    readFor(fixture, Milliseconds(4000), fixture.b);
    cr_assert_geq(fixture.metrics.counter("almondlever_endpoint_capacity_changes_total",
                      "endpoint=\"b\",change=\"endpoint_ejected\",reason=\"own_failures\""),
        1U);
    // 33 reads; the first step of a return may get one in eight.
    cr_assert_leq(readFor(fixture, Milliseconds(2000), fixture.b), 4U);
    fixture.endpoints.server(fixture.b).lostAnswers = 0;
    readFor(fixture, Milliseconds(20000), fixture.b);
    cr_assert_geq(readFor(fixture, Milliseconds(3000), fixture.b), 10U);
}

// Guards against writes that are held back because the reads of the primary fail: only the primary can run them.
Test(LearnedCapacity, ejectedPrimaryStillRunsWrites)
{
    DispatcherFixture fixture(learning());
    GroupReportParticipant* reports = fixture.dispatcher.capacityReports();
    cr_assert_not_null(reports);
    GroupReport report;
    report.group = fixture.group;
    report.period = Milliseconds(4000);
    EndpointReport entry;
    entry.endpoint = fixture.a;
    entry.failures = 20;
    report.endpoints.push_back(entry);
    reports->onReport(VmId("vm-2"), report, fixture.timers.now());
    fixture.advance(Milliseconds(100));
    cr_assert_eq(fixture.metrics.counter("almondlever_endpoint_capacity_changes_total",
                     "endpoint=\"a\",change=\"endpoint_ejected\",reason=\"failures\""),
        1U);
    FakeCaller caller(fixture, "orders");
    caller.write("w1");
    fixture.advance(Milliseconds(200));
    cr_assert(caller.succeeded());
}

// Health results may be wrong both ways. Guards against an endpoint whose entry disappears from the store and that gets
// no reads although it answers, and against one that is leaving and gets some.
Test(LearnedCapacity, missingEntryOfAnAnsweringEndpointDoesNotStopItsReads)
{
    DispatcherFixture fixture(learning());
    fixture.endpoints.server(fixture.c).work = Milliseconds(80);
    readFor(fixture, Milliseconds(3000), fixture.b);
    fixture.directory.lapse(fixture.b, fixture.directory.find(fixture.b)->revision, fixture.timers.now());
    cr_assert_geq(readFor(fixture, Milliseconds(1200), fixture.b), 5U);
    EndpointEntry leaving = fixture.entryOf(fixture.b);
    leaving.isLeaving = true;
    fixture.directory.update(leaving, fixture.timers.now());
    fixture.dispatcher.onDirectoryChange(fixture.timers.now());
    cr_assert_eq(readFor(fixture, Milliseconds(1200), fixture.b), 0U);
}

// Guards against capacity that is learned where the settings do not ask for it.
Test(LearnedCapacity, isOffByDefault)
{
    DispatcherFixture fixture;
    cr_assert_null(fixture.dispatcher.capacityReports());
    fixture.endpoints.server(fixture.b).lostAnswers = 20;
    readFor(fixture, Milliseconds(3000), fixture.b);
    cr_assert(fixture.metrics.toPrometheusText().find("almondlever_endpoint_capacity") == std::string::npos);
}
