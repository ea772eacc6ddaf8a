#include "almondlever/admission/RetryBackoff.h"
#include "almondlever/admission/RetryBudget.h"

#include <criterion/criterion.h>

#include <set>

using namespace almondlever;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint start = TimePoint(1h);

} // namespace

// Guards against retries multiplying an outage: every request asks for a retry, a tenth may have one.
Test(RetryBudget, allowsTenthOfRequests)
{
    RetryBudget budget;
    int retries = 0;
    TimePoint now = start;
    for (int request = 0; request < 5000; ++request) {
        now += 1ms;
        budget.addRequest(now);
        retries += budget.tryRetry(now) ? 1 : 0;
    }
    cr_assert(retries <= 500 && retries >= 490, "%d retries", retries);
}

// Guards against a quiet daemon that may never retry.
Test(RetryBudget, keepsReserveForQuietDaemon)
{
    RetryBudget budget;
    budget.addRequest(start);
    int retries = 0;
    while (budget.tryRetry(start))
        ++retries;
    cr_assert(retries == 3);
}

// Guards against requests outside the window allowing a burst of retries now.
Test(RetryBudget, ignoresRequestsOutsideWindow)
{
    RetryBudget budget;
    for (int request = 0; request < 1000; ++request)
        budget.addRequest(start);
    int retries = 0;
    while (budget.tryRetry(start + 11s))
        ++retries;
    cr_assert(retries == 3);
}

// Guards against synchronised retries and against delays above the bound.
Test(RetryBackoff, spreadsDelaysBelowDoublingBound)
{
    RetryBackoff backoff(42, 20ms, 100ms);
    std::set<Duration> delays;
    for (int sample = 0; sample < 100; ++sample) {
        cr_assert(backoff.delayBefore(1) <= 20ms);
        cr_assert(backoff.delayBefore(2) <= 40ms);
        const Duration late = backoff.delayBefore(20);
        cr_assert(late <= 100ms);
        delays.insert(late);
    }
    cr_assert(delays.size() > 90);
}

// Guards against runs that cannot be repeated from their seed.
Test(RetryBackoff, repeatsDelaysForSameSeed)
{
    RetryBackoff first(42);
    RetryBackoff second(42);
    for (std::size_t attempt = 1; attempt < 20; ++attempt)
        cr_assert(first.delayBefore(attempt) == second.delayBefore(attempt));
}
