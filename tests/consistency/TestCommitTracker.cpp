#include "almondlever/consistency/CommitTracker.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const EndpointId a("a");
const EndpointId b("b");
const EndpointId c("c");
const TimePoint start {};
const TimePoint deadline = start + Milliseconds(500);

CommitTracker makeTracker() { return CommitTracker({ a, b, c }); }

bool isOnly(const std::vector<Confirmation>& ended, Confirmation::Verdict verdict)
{
    return ended.size() == 1 && ended[0].id == 1 && ended[0].verdict == verdict;
}

} // namespace

// Guards against acknowledging a write that only the primary holds.
Test(CommitTracker, primaryAloneIsNoMajority)
{
    auto tracker = makeTracker();
    cr_assert(tracker.awaitPosition(1, a, { 3, 7 }, deadline, start).empty());
    cr_assert(tracker.onReport({ b, 3, { 3, 6 }, start }, start).empty());
    cr_assert(tracker.wantedFrom(b) == LogPosition({ 3, 7 }));
    cr_assert(!tracker.wantedFrom(a));
    cr_assert(isOnly(tracker.onReport({ b, 3, { 3, 7 }, start }, start), Confirmation::Verdict::Confirmed));
    cr_assert(tracker.confirmedPosition() == LogPosition({ 3, 7 }));
    cr_assert(tracker.waitingCount() == 0);
}

// Guards against counting a server that has already promised a later term, whose new primary may lack the write.
Test(CommitTracker, laterPromiseDoesNotCount)
{
    auto tracker = makeTracker();
    tracker.awaitPosition(1, a, { 3, 7 }, deadline, start);
    cr_assert(tracker.onReport({ b, 4, { 3, 7 }, start }, start).empty());
    cr_assert(isOnly(tracker.onReport({ c, 4, { 3, 7 }, start }, start), Confirmation::Verdict::Superseded));
}

// Guards against comparing log ends across terms: a log that ends in an older term lacks the position, even if its
// index is higher.
Test(CommitTracker, endOfOtherTermDoesNotCount)
{
    auto tracker = makeTracker();
    tracker.awaitPosition(1, a, { 3, 7 }, deadline, start);
    cr_assert(tracker.onReport({ b, 3, { 2, 9 }, start }, start).empty());
    cr_assert(tracker.onReport({ c, 4, { 4, 9 }, start }, start).empty());
    cr_assert(isOnly(tracker.onTick(deadline), Confirmation::Verdict::TimedOut));
}

// Guards against a delayed report of an older promise that hides that the server promised a later term.
Test(CommitTracker, lateReportDoesNotLowerThePromise)
{
    auto tracker = makeTracker();
    tracker.onReport({ b, 4, { 3, 9 }, start }, start);
    tracker.awaitPosition(1, a, { 3, 7 }, deadline, start);
    cr_assert(tracker.onReport({ b, 3, { 3, 9 }, start }, start).empty());
    cr_assert(tracker.waitingCount() == 1);
}

// Guards against counting duplicate reports of one server, or reports from outside the group, towards a majority.
Test(CommitTracker, duplicateAndForeignReportsAreNoMajority)
{
    auto tracker = makeTracker();
    tracker.awaitPosition(1, b, { 3, 7 }, deadline, start);
    cr_assert(tracker.onReport({ b, 3, { 3, 8 }, start }, start).empty());
    cr_assert(tracker.onReport({ b, 3, { 3, 8 }, start }, start).empty());
    cr_assert(tracker.onReport({ EndpointId("x"), 3, { 3, 8 }, start }, start).empty());
}

// Guards against a read from a superseded primary: answers to earlier requests must not confirm its leadership.
Test(CommitTracker, leadershipNeedsFreshReports)
{
    auto tracker = makeTracker();
    const TimePoint arrived = start + Milliseconds(100);
    tracker.onReport({ a, 3, { 3, 7 }, start }, start);
    tracker.onReport({ b, 3, { 3, 7 }, start }, start);
    cr_assert(tracker.awaitLeadership(1, a, 3, arrived, deadline, arrived).empty());
    cr_assert(tracker.needsFreshReport(a) && tracker.needsFreshReport(c));
    tracker.awaitPosition(2, a, { 3, 8 }, deadline, arrived);
    cr_assert(tracker.onReport({ a, 3, { 3, 7 }, arrived }, arrived).empty());
    cr_assert(!tracker.needsFreshReport(a));
    cr_assert(tracker.onReport({ c, 4, { 3, 7 }, arrived }, arrived).empty());
    cr_assert(isOnly(tracker.onReport({ b, 3, { 3, 7 }, arrived }, arrived), Confirmation::Verdict::Confirmed));
}

// Guards against a repeated write that the new primary answers from its log and that is never confirmed.
Test(CommitTracker, repeatOfOlderTermIsConfirmedByMarkerEntry)
{
    auto tracker = makeTracker();
    cr_assert(tracker.awaitPosition(1, a, { 5, 0 }, deadline, start).empty());
    cr_assert(tracker.onReport({ b, 5, { 3, 9 }, start }, start).empty());
    cr_assert(isOnly(tracker.onReport({ b, 5, { 5, 10 }, start }, start), Confirmation::Verdict::Confirmed));
}
