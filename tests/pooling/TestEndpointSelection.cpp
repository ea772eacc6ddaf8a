#include "almondlever/pooling/EndpointSelection.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

ReadCandidate makeCandidate(std::size_t index, int latency, std::size_t running)
{
    ReadCandidate candidate;
    candidate.index = index;
    candidate.hasFreeConnection = true;
    candidate.latency = Milliseconds(latency);
    candidate.running = running;
    candidate.position = { 1, 100 };
    return candidate;
}

} // namespace

// Guards against cross-region reads while the nearby replica is idle, and against overloading it while it is busy.
Test(EndpointSelection, nearEndpointWinsWhileItIsNotBusier)
{
    cr_assert_eq(*selectReadEndpoint({ makeCandidate(0, 30, 0), makeCandidate(1, 55, 0) }, {}), 0U);
    cr_assert_eq(*selectReadEndpoint({ makeCandidate(0, 30, 3), makeCandidate(1, 55, 0) }, {}), 1U);
    cr_assert_eq(
        *selectReadEndpoint({ makeCandidate(0, 30, 1), makeCandidate(1, 55, 0) }, {}), 0U, "it has several slots");
}

// Scenario: a burst of reads in one failure domain.
// Guards against cross-region reads while the nearby endpoint has free slots.
Test(EndpointSelection, endpointWithMoreSlotsTakesMoreReads)
{
    auto near = makeCandidate(0, 30, 3);
    near.slots = 5;
    auto far = makeCandidate(1, 55, 0);
    far.slots = 5;
    cr_assert_eq(*selectReadEndpoint({ near, far }, {}), 0U);
    near.running = 5;
    cr_assert_eq(*selectReadEndpoint({ near, far }, {}), 1U);
}

// Guards against reads that use the primary's slots, which writes need, while a replica is equally near.
Test(EndpointSelection, replicaIsPreferredToAnEquallyNearPrimary)
{
    auto primary = makeCandidate(0, 30, 0);
    primary.isPrimary = true;
    cr_assert_eq(*selectReadEndpoint({ primary, makeCandidate(1, 30, 0) }, {}), 1U);
    cr_assert_eq(*selectReadEndpoint({ primary, makeCandidate(1, 90, 0) }, {}), 0U);
}

// Guards against a wasted round trip to a replica that was lagging shortly before.
Test(EndpointSelection, laggingReplicaIsSkipped)
{
    auto lagging = makeCandidate(0, 30, 0);
    lagging.wasLaggingLately = true;
    cr_assert_eq(*selectReadEndpoint({ lagging, makeCandidate(1, 90, 0) }, { 1, 150 }), 1U);
    cr_assert_eq(*selectReadEndpoint({ lagging, makeCandidate(1, 90, 0) }, { 1, 50 }), 0U, "it has this position");
    cr_assert(!selectReadEndpoint({ lagging }, { 1, 150 }));
}

// Guards against selecting an endpoint without a free connection.
Test(EndpointSelection, requiresAFreeConnection)
{
    auto full = makeCandidate(0, 30, 3);
    full.hasFreeConnection = false;
    cr_assert(!selectReadEndpoint({ full }, {}));
    cr_assert(!selectReadEndpoint({}, {}));
}
