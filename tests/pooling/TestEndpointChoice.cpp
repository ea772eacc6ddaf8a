#include "almondlever/pooling/EndpointChoice.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

ReadCandidate makeCandidate(std::size_t index, int latency, std::size_t running)
{
    ReadCandidate candidate;
    candidate.index = index;
    candidate.hasFreeLink = true;
    candidate.latency = Milliseconds(latency);
    candidate.running = running;
    candidate.position = { 1, 100 };
    return candidate;
}

} // namespace

// Guards against reads that cross regions while the near replica is idle, and against piling up on it while it is busy.
Test(EndpointChoice, nearEndpointWinsWhileItIsNotBusier)
{
    cr_assert_eq(*chooseForRead({ makeCandidate(0, 30, 0), makeCandidate(1, 55, 0) }, {}), 0U);
    cr_assert_eq(*chooseForRead({ makeCandidate(0, 30, 3), makeCandidate(1, 55, 0) }, {}), 1U);
    cr_assert_eq(*chooseForRead({ makeCandidate(0, 30, 1), makeCandidate(1, 55, 0) }, {}), 0U, "it has several slots");
}

// Pattern: reads of one failure domain burst. Guards against reads that cross regions while the near endpoint has free
// slots.
Test(EndpointChoice, endpointWithMoreSlotsIsBusyLater)
{
    auto near = makeCandidate(0, 30, 3);
    near.slots = 5;
    auto far = makeCandidate(1, 55, 0);
    far.slots = 5;
    cr_assert_eq(*chooseForRead({ near, far }, {}), 0U);
    near.running = 5;
    cr_assert_eq(*chooseForRead({ near, far }, {}), 1U);
}

// Guards against reads that take the primary's slots, which writes need, while a replica is equally near.
Test(EndpointChoice, replicaGoesBeforeAnEqualPrimary)
{
    auto primary = makeCandidate(0, 30, 0);
    primary.isPrimary = true;
    cr_assert_eq(*chooseForRead({ primary, makeCandidate(1, 30, 0) }, {}), 1U);
    cr_assert_eq(*chooseForRead({ primary, makeCandidate(1, 90, 0) }, {}), 0U);
}

// Guards against asking a replica again that was behind a moment ago, which costs a round trip for nothing.
Test(EndpointChoice, laggingReplicaIsPassedOver)
{
    auto lagging = makeCandidate(0, 30, 0);
    lagging.wasLaggingLately = true;
    cr_assert_eq(*chooseForRead({ lagging, makeCandidate(1, 90, 0) }, { 1, 150 }), 1U);
    cr_assert_eq(*chooseForRead({ lagging, makeCandidate(1, 90, 0) }, { 1, 50 }), 0U, "it has this position");
    cr_assert(!chooseForRead({ lagging }, { 1, 150 }));
}

// Guards against choosing an endpoint that cannot take the statement now.
Test(EndpointChoice, needsAFreeLink)
{
    auto full = makeCandidate(0, 30, 3);
    full.hasFreeLink = false;
    cr_assert(!chooseForRead({ full }, {}));
    cr_assert(!chooseForRead({}, {}));
}
