#include "almondlever/forwarding/OwnerHealth.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start = TimePoint {} + std::chrono::hours(1);

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

} // namespace

// Guards against taking an owner for dead because one statement takes as long as its time-out.
Test(OwnerHealth, longStatementIsNoSilence)
{
    OwnerHealth health;
    health.noteSent(at(0));
    cr_assert_not(health.isQuestionDue(at(50)));
    cr_assert(health.isQuestionDue(at(100)));
    health.noteAsked(at(100));
    health.noteHeard(at(125));
    cr_assert_not(health.becomesSilent(at(900)));
    cr_assert(health.isUsable());
    cr_assert(health.isQuestionDue(at(900)), "the statement still runs, so the owner is asked again");
}

// Guards against forwarding to a dead owner until its channel is found to be dead.
Test(OwnerHealth, unansweredQuestionIsSilence)
{
    OwnerHealth health;
    health.noteSent(at(0));
    health.noteAsked(at(100));
    cr_assert_not(health.becomesSilent(at(300)));
    cr_assert(health.becomesSilent(at(350)));
    cr_assert_not(health.isUsable());
    cr_assert_not(health.becomesSilent(at(400)), "it is told once");
}

// Guards against questions to a dead owner at every tick, and against never asking it again.
Test(OwnerHealth, silentOwnerIsAskedMoreAndMoreSeldom)
{
    OwnerHealth health;
    health.noteLost(at(0));
    int questions = 0;
    for (int time = 0; time < 20000; time += 25) {
        health.becomesSilent(at(time));
        if (!health.isQuestionDue(at(time)))
            continue;
        ++questions;
        health.noteAsked(at(time));
    }
    cr_assert_leq(questions, 9);
    cr_assert_geq(questions, 5);
    health.noteHeard(at(20000));
    cr_assert(health.isUsable());
}

// Guards against giving up every owner after this process itself was suspended.
Test(OwnerHealth, ownStallIsNoSilenceOfTheOwner)
{
    OwnerHealth health;
    health.noteSent(at(0));
    health.noteAsked(at(100));
    health.forgiveSilence(at(4000));
    cr_assert_not(health.becomesSilent(at(4000)));
    cr_assert(health.becomesSilent(at(4250)));
}

// Guards against questions while nothing is forwarded.
Test(OwnerHealth, idleOwnerIsNotAsked)
{
    OwnerHealth health;
    cr_assert_not(health.isQuestionDue(at(1000)));
    health.noteSent(at(1000));
    health.noteEnded();
    cr_assert_not(health.isQuestionDue(at(5000)));
}
