#include "almondlever/observability/DecisionLog.h"

#include <chrono>
#include <criterion/criterion.h>
#include <csignal>
#include <thread>
#include <unistd.h>

using namespace almondlever;

namespace {

const TimePoint start { std::chrono::hours(1) };

std::size_t countAdmitted(DecisionLog& log, std::size_t rank, TimePoint now, int tries)
{
    std::size_t admitted = 0;
    for (int i = 0; i < tries; ++i)
        admitted += log.admits(rank, now) ? 1 : 0;
    return admitted;
}

} // namespace

// Guards against a flood of any rank filling the log, and against lower ranks displacing the most urgent one.
Test(DecisionLog, volumeIsBounded)
{
    cr_assert_eq(configureLog({ "info", "/dev/null" }), "");
    DecisionLog log(20);
    cr_assert_eq(countAdmitted(log, 2, start, 1000), 20U);
    cr_assert_eq(countAdmitted(log, 0, start, 1000), 200U);
    cr_assert_eq(log.takeSuppressedCount(), 1780U);
    cr_assert_eq(countAdmitted(log, 2, start + Milliseconds(500), 1000), 10U);
}

// Guards against a daemon that blocks because nobody reads its standard output.
Test(DecisionLog, stoppedReaderDoesNotBlock)
{
    int ends[2];
    cr_assert_eq(pipe(ends), 0);
    cr_assert_neq(dup2(ends[1], STDOUT_FILENO), -1);
    cr_assert_eq(configureLog({ "info", "" }), "");
    const auto before = std::chrono::steady_clock::now();
    for (int i = 0; i < 20000; ++i)
        logInfo("event", { { "number", std::to_string(i) }, { "text", std::string(100, 'x') } });
    const auto taken = std::chrono::steady_clock::now() - before;
    // The lines exceed the pipe's capacity many times over; a blocking writer would never get here.
    cr_assert_lt(std::chrono::duration_cast<std::chrono::seconds>(taken).count(), 20);
    _exit(0);
}
