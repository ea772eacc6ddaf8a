#include "CapacitySimulation.h"

#include <criterion/criterion.h>

using namespace almondlever;
using std::chrono::seconds;

namespace {

double shareOf(const CapacitySimulation& simulation, std::size_t endpoint)
{
    double all = 0;
    for (const SimulatedEndpoint& other : simulation.endpoints)
        all += static_cast<double>(other.given);
    return all > 0 ? static_cast<double>(simulation.endpoints[endpoint].given) / all : 0;
}

void resetShares(CapacitySimulation& simulation)
{
    for (SimulatedEndpoint& endpoint : simulation.endpoints)
        endpoint.given = 0;
}

} // namespace

// Endpoints of speeds 1, 2 and 4 under 162 reads a second. Guards against shares that ignore the speed, and against a
// slow endpoint that gets more than its part of the group's capacity.
Test(CapacityUnderLoad, unevenEndpoints)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.endpoints[1].slowness = 2;
    simulation.endpoints[2].slowness = 4;
    simulation.advance(seconds(10));
    resetShares(simulation);
    simulation.advance(seconds(30));
    cr_assert_gt(shareOf(simulation, 0), shareOf(simulation, 1));
    cr_assert_gt(shareOf(simulation, 1), shareOf(simulation, 2));
    cr_assert_leq(shareOf(simulation, 2), 1.0 / 7);
}

// The figures of docs/design/endpoint-capacity.md. Guards against a selection that is slower than the alternatives for
// uneven endpoints near their capacity.
Test(CapacityUnderLoad, expectedCompletionComparedWithTheAlternatives)
{
    std::array<double, 3> means {};
    for (std::uint64_t seed = 0; seed < 6; ++seed) {
        for (const Selection selection : { Selection::ExpectedCompletion, Selection::TwoChoices, Selection::Present }) {
            CapacitySimulation simulation(selection, seed);
            simulation.readsPerSecond = 28;
            simulation.endpoints[1].slowness = 2;
            simulation.endpoints[2].slowness = 4;
            simulation.advance(seconds(10));
            means[static_cast<std::size_t>(selection)] += simulation.advance(seconds(30)).mean();
        }
    }
    cr_assert_lt(means[0], means[1], "%.3f %.3f", means[0], means[1]);
    cr_assert_lt(means[0], means[2], "%.3f %.3f", means[0], means[2]);
}

// An endpoint becomes ten times slower at a third of its load, and recovers after 20 s. Guards against reads that stay
// on it, against windows that keep their size, and against an endpoint that is never used again.
Test(CapacityUnderLoad, endpointThatSlowsDownBeforeItIsFullAndRecovers)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.advance(seconds(20));
    const double windowBefore = simulation.capacityOf(0).endpoint(EndpointId("a")).window();
    simulation.endpoints[0].slowness = 10;
    simulation.advance(seconds(10));
    cr_assert_lt(simulation.capacityOf(0).endpoint(EndpointId("a")).window(), windowBefore);
    resetShares(simulation);
    simulation.advance(seconds(10));
    cr_assert_leq(shareOf(simulation, 0), 0.1);
    simulation.endpoints[0].slowness = 1;
    simulation.advance(seconds(20));
    resetShares(simulation);
    simulation.advance(seconds(20));
    cr_assert_geq(shareOf(simulation, 0), 0.2);
}

// An endpoint loses 30 % of its statements while its health checks pass. Guards against reads that are sent to it all
// the same: without ejection a tenth of them fails.
Test(CapacityUnderLoad, endpointThatFailsAShareWhileItsHealthChecksPass)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.advance(seconds(20));
    simulation.endpoints[0].failureShare = 0.3;
    const auto outcome = simulation.advance(seconds(20));
    cr_assert_leq(static_cast<double>(outcome.failed), 0.03 * static_cast<double>(outcome.reads));
    cr_assert_geq(simulation.countChanges(CapacityChange::Kind::Ejected, "a"), 9U);
    cr_assert_eq(simulation.countChanges(CapacityChange::Kind::Ejected, "b"), 0U);
    simulation.endpoints[0].failureShare = 0;
    simulation.advance(seconds(20));
    resetShares(simulation);
    simulation.advance(seconds(10));
    cr_assert_geq(shareOf(simulation, 0), 0.2);
}

// As above without reports. Guards against a daemon that cannot decide from its own statements.
Test(CapacityUnderLoad, failingEndpointWithoutReportsOfOtherOwners)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.reports = false;
    simulation.advance(seconds(20));
    simulation.endpoints[0].failureShare = 0.3;
    const auto outcome = simulation.advance(seconds(20));
    cr_assert_leq(static_cast<double>(outcome.failed), 0.05 * static_cast<double>(outcome.reads));
}

// Guards against an endpoint that sheds half of its statements without a queue and keeps its share.
Test(CapacityUnderLoad, endpointThatShedsAShareWithoutAQueue)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.advance(seconds(20));
    simulation.endpoints[0].refusalShare = 0.5;
    simulation.advance(seconds(5));
    resetShares(simulation);
    simulation.advance(seconds(15));
    cr_assert_leq(shareOf(simulation, 0), 0.15);
}

// An endpoint fails in every other period of two seconds. Guards against readmitting it at once each time: the
// ejections must get longer, so that their number stays small.
Test(CapacityUnderLoad, endpointThatFlaps)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.advance(seconds(20));
    std::size_t failed = 0;
    std::size_t reads = 0;
    for (int period = 0; period < 20; ++period) {
        simulation.endpoints[0].failureShare = period % 2 == 0 ? 1 : 0;
        const auto outcome = simulation.advance(seconds(2));
        failed += outcome.failed;
        reads += outcome.reads;
    }
    cr_assert_leq(static_cast<double>(failed), 0.05 * static_cast<double>(reads));
    cr_assert_geq(simulation.capacityOf(0).endpoint(EndpointId("a")).ejectionTime().count(), 4000);
}

// All endpoints fail half of their statements, then only one can serve. Guards against an ejection that leaves no
// endpoint, also when the others fail later.
Test(CapacityUnderLoad, lastEndpointThatCanServeIsKept)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.advance(seconds(10));
    for (SimulatedEndpoint& endpoint : simulation.endpoints)
        endpoint.failureShare = 0.5;
    cr_assert_gt(simulation.advance(seconds(10)).latencies.size(), 0U);
    for (SimulatedEndpoint& endpoint : simulation.endpoints)
        endpoint.failureShare = endpoint.id.text() == "a" ? 0.9 : 0;
    simulation.advance(seconds(5));
    simulation.serving = { EndpointId("a") };
    resetShares(simulation);
    simulation.advance(seconds(5));
    cr_assert_gt(simulation.endpoints[0].given, 100U, "an ejected endpoint serves when no other can");
}

// Guards against overload of the others: two endpoints cannot carry 342 reads a second, so the failing one takes those
// for which they have no room.
Test(CapacityUnderLoad, ejectionWhileTheOthersAreFull)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.readsPerSecond = 38;
    simulation.advance(seconds(20));
    simulation.endpoints[0].failureShare = 0.3;
    simulation.advance(seconds(20));
    simulation.endpoints[0].failureShare = 0;
    simulation.advance(seconds(5));
    cr_assert_leq(simulation.advance(seconds(20)).mean(), 0.2);
}

// Guards against a restarted daemon that sends its share of a full window before it knows anything.
Test(CapacityUnderLoad, restartedDaemonBeginsWithLowConcurrency)
{
    CapacitySimulation simulation(Selection::ExpectedCompletion);
    simulation.advance(seconds(20));
    simulation.restart(0);
    EndpointCapacity& restarted = simulation.capacityOf(0).endpoint(EndpointId("a"));
    cr_assert(restarted.window() == 1);
    cr_assert(!restarted.expectedLatency({ StatementClass::Type::Read, 0 }, simulation.now));
    simulation.advance(seconds(10));
    cr_assert(restarted.expectedLatency({ StatementClass::Type::Read, 0 }, simulation.now).has_value());
}
