#include "almondlever/admission/ConcurrencyLimiter.h"

#include <criterion/criterion.h>

#include <cmath>
#include <random>

using namespace almondlever;
using namespace std::chrono_literals;

namespace {

using Kind = ConcurrencyLimiter::Kind;

constexpr TimePoint start = TimePoint(1h);

Duration lognormal(std::mt19937_64& generator, double medianSeconds, double sigma)
{
    std::lognormal_distribution<double> distribution(std::log(medianSeconds), sigma);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(distribution(generator)));
}

TimePoint failUntilOpen(ConcurrencyLimiter& limiter, TimePoint now)
{
    for (int failure = 0; failure < 5; ++failure)
        limiter.addFailure(now);
    return now;
}

} // namespace

// Guards against a flood shrinking a healthy endpoint: long tails and a change of mix are not slowness.
Test(ConcurrencyLimiter, keepsDeclaredSlotsUnderSteadyServiceTimes)
{
    std::mt19937_64 generator(20261204);
    ConcurrencyLimiter limiter(5);
    TimePoint now = start;
    for (int sample = 0; sample < 50'000; ++sample) {
        const bool isFlood = sample > 20'000 && sample < 40'000;
        const bool isWrite = !isFlood && sample % 2 == 0;
        now += 1ms;
        limiter.addSuccess(isWrite ? Kind::Write : Kind::Read, lognormal(generator, isWrite ? 0.040 : 0.005, 0.8), now);
        cr_assert(limiter.slots(now) == 5, "limit fell at sample %d", sample);
    }
}

// Guards against a slow endpoint keeping all its work, and against it staying reduced after it recovers.
Test(ConcurrencyLimiter, shrinksForSlowEndpointAndGrowsBack)
{
    std::mt19937_64 generator(7);
    ConcurrencyLimiter limiter(5);
    TimePoint now = start;
    const auto feed = [&](int samples, double median) {
        for (int sample = 0; sample < samples; ++sample)
            limiter.addSuccess(Kind::Read, lognormal(generator, median, 0.5), now += 5ms);
    };
    feed(500, 0.01);
    feed(64, 0.08);
    cr_assert(limiter.slots(now) <= 3, "limit is %zu", limiter.slots(now));
    feed(100, 0.08);
    cr_assert(limiter.slots(now) >= 1);
    feed(300, 0.01);
    cr_assert(limiter.slots(now) == 5);
}

// Guards against a failing endpoint getting work, and against all of it coming back at once.
Test(ConcurrencyLimiter, opensOnFailuresAndReturnsGradually)
{
    ConcurrencyLimiter limiter(8);
    TimePoint now = failUntilOpen(limiter, start);
    cr_assert(limiter.slots(now) == 0);
    now += limiter.untilProbe(now);
    cr_assert(limiter.state(now) == ConcurrencyLimiter::State::Probing);
    cr_assert(limiter.slots(now) == 1);
    std::size_t previous = 1;
    int successes = 0;
    while (limiter.state(now) != ConcurrencyLimiter::State::Closed) {
        limiter.addSuccess(Kind::Read, 10ms, now);
        cr_assert(limiter.slots(now) <= 2 * previous);
        previous = limiter.slots(now);
        cr_assert(++successes < 100);
    }
    cr_assert(successes >= 8);
    cr_assert(limiter.slots(now) == 8);
}

// Guards against hammering a dead endpoint with probes, and against waiting without bound.
Test(ConcurrencyLimiter, waitsLongerAfterEachFailedProbeUpToBound)
{
    ConcurrencyLimiter limiter(3);
    TimePoint now = failUntilOpen(limiter, start);
    Duration previous = limiter.untilProbe(now);
    for (int probe = 0; probe < 10; ++probe) {
        now += limiter.untilProbe(now);
        limiter.addFailure(now);
        cr_assert(limiter.untilProbe(now) >= previous);
        previous = limiter.untilProbe(now);
    }
    cr_assert(previous <= 10s);
}

// Guards against late answers to old statements closing the circuit.
Test(ConcurrencyLimiter, ignoresLateAnswersWhileOpen)
{
    ConcurrencyLimiter limiter(3);
    const TimePoint now = failUntilOpen(limiter, start);
    limiter.addSuccess(Kind::Read, 10ms, now + 1ms);
    cr_assert(limiter.slots(now + 1ms) == 0);
}

// Guards against an endpoint that fails half of its statements never being taken out.
Test(ConcurrencyLimiter, opensWhenHalfOfStatementsFail)
{
    ConcurrencyLimiter limiter(3);
    for (int result = 0; result < 40 && limiter.slots(start) > 0; ++result) {
        if (result % 2)
            limiter.addFailure(start);
        else
            limiter.addSuccess(Kind::Read, 10ms, start);
    }
    cr_assert(limiter.slots(start) == 0);
}

// Guards against more statements than the inventory declares after it changes.
Test(ConcurrencyLimiter, followsDeclaredSlots)
{
    ConcurrencyLimiter limiter(5);
    limiter.setDeclaredSlots(2);
    cr_assert(limiter.slots(start) == 2);
    limiter.setDeclaredSlots(7);
    cr_assert(limiter.slots(start) == 7);
}
