#include "almondlever/forwarding/OwnerHealth.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

} // namespace

// Guards against treating an owner as unresponsive because one statement takes as long as its time-out.
Test(OwnerHealth, ownerOfALongStatementStaysUsable)
{
    OwnerHealth health;
    health.recordSent(at(0));
    cr_assert_not(health.isProbeDue(at(50)));
    cr_assert(health.isProbeDue(at(100)));
    health.recordProbe(at(100));
    health.recordMessage(at(125));
    cr_assert_not(health.checkProbeTimeout(at(900)));
    cr_assert(health.isUsable());
    cr_assert(health.isProbeDue(at(900)), "the statement is still running, so the owner is probed again");
}

// Guards against forwarding to a dead owner until the loss of its channel is detected.
Test(OwnerHealth, ownerIsUnusableAfterAnUnansweredProbe)
{
    OwnerHealth health;
    health.recordSent(at(0));
    health.recordProbe(at(100));
    cr_assert_not(health.checkProbeTimeout(at(300)));
    cr_assert(health.checkProbeTimeout(at(350)));
    cr_assert_not(health.isUsable());
    cr_assert_not(health.checkProbeTimeout(at(400)), "the change must be reported only once");
}

// Guards against probing a dead owner at every tick, and against never probing it again.
Test(OwnerHealth, unresponsiveOwnerIsProbedWithBackoff)
{
    OwnerHealth health;
    health.recordFailure(at(0));
    int probes = 0;
    for (int time = 0; time < 20000; time += 25) {
        health.checkProbeTimeout(at(time));
        if (!health.isProbeDue(at(time)))
            continue;
        ++probes;
        health.recordProbe(at(time));
    }
    cr_assert_leq(probes, 9);
    cr_assert_geq(probes, 5);
    health.recordMessage(at(20000));
    cr_assert(health.isUsable());
}

// Guards against treating all owners as unresponsive after this process itself was suspended.
Test(OwnerHealth, suspensionOfThisProcessIsNotHeldAgainstTheOwner)
{
    OwnerHealth health;
    health.recordSent(at(0));
    health.recordProbe(at(100));
    health.restartTimeouts(at(4000));
    cr_assert_not(health.checkProbeTimeout(at(4000)));
    cr_assert(health.checkProbeTimeout(at(4250)));
}

// Guards against probes while nothing is forwarded.
Test(OwnerHealth, idleOwnerIsNotProbed)
{
    OwnerHealth health;
    cr_assert_not(health.isProbeDue(at(1000)));
    health.recordSent(at(1000));
    health.recordEnded();
    cr_assert_not(health.isProbeDue(at(5000)));
}
