#include "almondlever/pooling/WriteProgress.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

} // namespace

// Guards against treating a few lost answers as a primary that cannot replicate.
Test(WriteProgress, fewUnansweredWritesAreNoStall)
{
    WriteProgress watch;
    watch.noteUnanswered(at(0));
    watch.noteUnanswered(at(100));
    cr_assert(!watch.isFailing());
    cr_assert(!watch.stalledSince(at(10'000)));
}

// Guards against measuring a stall from the write that timed out last.
Test(WriteProgress, stallCountsFromTheFirstWriteWithoutAnswer)
{
    WriteProgress watch;
    for (int sentAt : { 200, 0, 400 })
        watch.noteUnanswered(at(sentAt));
    cr_assert(watch.isFailing());
    cr_assert(!watch.stalledSince(at(2900)));
    cr_assert(watch.stalledSince(at(3000)) == at(0));
    watch.noteAcknowledged({ 1, 5 });
    cr_assert(!watch.isFailing());
}

// Guards against repeated failovers while none of them ends the stall.
Test(WriteProgress, waitsLongerAfterAChangeThatDidNotHelp)
{
    WriteProgress watch;
    for (int sentAt : { 0, 10, 20 })
        watch.noteUnanswered(at(sentAt));
    watch.noteNewPrimary();
    for (int sentAt : { 4000, 4010, 4020 })
        watch.noteUnanswered(at(sentAt));
    cr_assert(!watch.stalledSince(at(8000)));
    cr_assert(watch.stalledSince(at(10'000)));
}

// Guards against requiring positions of the former primary that were rolled back.
Test(WriteProgress, positionsBelongToOnePrimary)
{
    WriteProgress watch;
    watch.noteAcknowledged({ 1, 5 });
    watch.noteReplicaPosition({ 1, 4 });
    cr_assert(watch.acknowledged() == LogPosition({ 1, 5 }));
    watch.noteNewPrimary();
    cr_assert(watch.acknowledged() == LogPosition());
}
