#include "almondlever/pooling/SharedWindow.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };

} // namespace

// Guards against a daemon that fills the queue of a shared endpoint.
Test(SharedWindow, shrinksWhileAnswersTakeLonger)
{
    SharedWindow window;
    window.setMaximum(4);
    for (int i = 0; i < 50; ++i)
        window.noteAnswer(Milliseconds(40), 4, start);
    cr_assert_geq(window.size(), 3.5);
    for (int i = 0; i < 100; ++i)
        window.noteAnswer(Milliseconds(200), 4, start);
    cr_assert_lt(window.size(), 1.0);
    cr_assert_geq(window.size(), SharedWindow::minimum);
}

// Guards against a window that stays small after a burst.
Test(SharedWindow, growsAgainWhenAnswersAreFast)
{
    SharedWindow window;
    window.setMaximum(4);
    for (int i = 0; i < 20; ++i)
        window.noteAnswer(Milliseconds(40), 4, start);
    for (int i = 0; i < 100; ++i)
        window.noteAnswer(Milliseconds(200), 4, start);
    for (int i = 0; i < 100; ++i)
        window.noteAnswer(Milliseconds(40), static_cast<std::size_t>(window.size()) + 1, start);
    cr_assert_geq(window.size(), 3.5);
}

// Guards against counting several refusals of one full queue separately, and against ignoring them.
Test(SharedWindow, refusalsHalveTheWindowOncePerInterval)
{
    SharedWindow window;
    window.setMaximum(4);
    window.noteRefusal(start);
    window.noteRefusal(start + Milliseconds(10));
    cr_assert_float_eq(window.size(), 2.0, 0.01);
    window.noteRefusal(start + SharedWindow::refusalInterval);
    cr_assert_float_eq(window.size(), 1.0, 0.01);
}

// Guards against urgent statements waiting for less urgent ones of the same daemon.
Test(SharedWindow, urgentMayExceedByOne)
{
    SharedWindow window;
    window.setMaximum(1);
    cr_assert(window.allows(0, false, start));
    cr_assert(!window.allows(1, false, start));
    cr_assert(window.allows(1, true, start));
    cr_assert(!window.allows(2, true, start));
}

// Guards against many daemons that overload a few slots with one statement each.
Test(SharedWindow, pausesBelowOneStatement)
{
    SharedWindow window;
    window.setMaximum(1);
    for (int i = 0; i < 20; ++i)
        window.noteAnswer(Milliseconds(40), 1, start);
    for (int i = 0; i < 60; ++i)
        window.noteAnswer(Milliseconds(200), 0, start);
    cr_assert_lt(window.size(), 1.0);
    cr_assert(!window.allows(0, false, start + Milliseconds(50)));
    cr_assert(window.allows(0, false, start + Milliseconds(1000)));
    cr_assert(window.allows(0, true, start + Milliseconds(50)));
}
