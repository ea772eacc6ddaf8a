#include "almondlever/front/StopSequence.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

} // namespace

// Guards against closing sessions while the load balancer would still send their callers back, and all at one moment.
Test(StopSequence, closesSessionsAfterTheBalancerHasNoticed)
{
    StopSequence stop { StopSettings() };
    stop.begin(start);
    cr_assert(stop.isStopping());
    cr_assert_float_eq(stop.shareToClose(at(2000)), 0, 0.001);
    const double half = stop.shareToClose(at(2900));
    cr_assert(half > 0.2 && half < 0.8);
    cr_assert_float_eq(stop.shareToClose(at(3600)), 1, 0.001);
}

// Guards against ending transactions before half of the grace period is over, and against being killed at its end.
Test(StopSequence, transactionsHaveHalfOfTheGracePeriod)
{
    StopSequence stop { StopSettings() };
    stop.begin(start);
    cr_assert(!stop.mustEndTransactions(at(2990)));
    cr_assert(stop.mustEndTransactions(at(3200)));
    cr_assert(!stop.mustAnswerStatements(at(5100)));
    cr_assert(stop.mustAnswerStatements(at(5250)));
    cr_assert(!stop.mustExit(at(5250)), "answers need time to be sent");
    cr_assert(stop.mustExit(at(5700)));
}

// Guards against a second signal that restarts the sequence.
Test(StopSequence, secondSignalChangesNothing)
{
    StopSequence stop { StopSettings() };
    stop.begin(start);
    stop.begin(at(3000));
    cr_assert(stop.mustExit(at(5700)));
}
