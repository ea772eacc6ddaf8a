#include "almondlever/consistency/PositionHistory.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };

TimePoint at(int milliseconds) { return start + Milliseconds(milliseconds); }

} // namespace

// Guards against a read at a position that was requested before the oldest commit that the read must see.
Test(PositionHistory, neverReturnsAnEarlierRequest)
{
    PositionHistory history;
    history.add(at(0), { 1, 10 });
    history.add(at(100), { 1, 20 });
    history.add(at(200), { 1, 30 });
    cr_assert(*history.oldestSince(at(0)) == LogPosition({ 1, 10 }));
    cr_assert(*history.oldestSince(at(1)) == LogPosition({ 1, 20 }));
    cr_assert(*history.oldestSince(at(200)) == LogPosition({ 1, 30 }));
    cr_assert(!history.oldestSince(at(201)));
}

// Guards against requiring a newer position from replicas than the rules demand, which lagging replicas would refuse.
Test(PositionHistory, keepsOldSamplesWhenAnswersAreFrequent)
{
    PositionHistory history;
    for (int i = 0; i <= 1000; ++i)
        history.add(at(i), { 1, static_cast<std::uint64_t>(i) });
    const auto found = history.oldestSince(at(500));
    cr_assert(found);
    cr_assert_geq(found->index, 500U);
    cr_assert_leq(found->index, 550U);
    cr_assert(*history.newestRequestTime() == at(1000));
}

// Guards against memory use that grows over the lifetime of the process.
Test(PositionHistory, dropsSamplesOlderThanSpan)
{
    PositionHistory history;
    history.add(at(0), { 1, 1 });
    history.add(at(100), { 1, 2 });
    history.add(at(20000), { 1, 3 });
    cr_assert(*history.oldestSince(at(0)) == LogPosition({ 1, 3 }));
}
