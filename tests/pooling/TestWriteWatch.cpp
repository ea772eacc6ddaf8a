#include "almondlever/pooling/WriteWatch.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

} // namespace

// Guards against taking lost answers for a primary that cannot replicate.
Test(WriteWatch, fewUnansweredWritesAreNoStall)
{
    WriteWatch watch;
    watch.noteUnanswered(at(0));
    watch.noteUnanswered(at(100));
    cr_assert(!watch.isFailing());
    cr_assert(!watch.stalledSince(at(10'000)));
}

// Guards against a stall that is dated by the write that timed out last.
Test(WriteWatch, stallCountsFromTheFirstWriteWithoutAnswer)
{
    WriteWatch watch;
    for (int sentAt : { 200, 0, 400 })
        watch.noteUnanswered(at(sentAt));
    cr_assert(watch.isFailing());
    cr_assert(!watch.stalledSince(at(2900)));
    cr_assert(watch.stalledSince(at(3000)) == at(0));
    watch.noteAcknowledged({ 1, 5 });
    cr_assert(!watch.isFailing());
}

// Guards against changing the primary again and again while no change helps.
Test(WriteWatch, waitsLongerAfterAChangeThatDidNotHelp)
{
    WriteWatch watch;
    for (int sentAt : { 0, 10, 20 })
        watch.noteUnanswered(at(sentAt));
    watch.noteNewPrimary();
    for (int sentAt : { 4000, 4010, 4020 })
        watch.noteUnanswered(at(sentAt));
    cr_assert(!watch.stalledSince(at(8000)));
    cr_assert(watch.stalledSince(at(10'000)));
}

// Guards against holding a new primary to positions of the former one that were rolled back.
Test(WriteWatch, positionsBelongToOnePrimary)
{
    WriteWatch watch;
    watch.noteAcknowledged({ 1, 5 });
    watch.noteHeldByReplica({ 1, 4 });
    cr_assert(watch.acknowledged() == LogPosition({ 1, 5 }));
    watch.noteNewPrimary();
    cr_assert(watch.acknowledged() == LogPosition());
}
