#include "almondlever/observability/DecisionLog.h"

#include <chrono>
#include <criterion/criterion.h>
#include <csignal>
#include <cstdio>
#include <fstream>
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

// Guards against text from outside that ends its line or its field and is read as another event or another field.
Test(DecisionLog, outsideTextStaysInItsField)
{
    const std::string path = "/tmp/almondlever-log-" + std::to_string(getpid());
    cr_assert_eq(configureLog({ "info", path }), "");
    const std::vector<std::string> texts { "a\nevent=b", "a\r\nb", "\" endpoint=b", "a=b", "\\\"", "", "a\xff\nb",
        std::string("a\0b", 3), "\xe2\x80\xa8" };
    for (const std::string& text : texts)
        logInfo("first", { { "text", text }, { "last", "end" } });
    flushLog();
    std::ifstream file(path);
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line); ++lines) {
        cr_assert_eq(line.find('\r'), std::string::npos);
        const std::size_t event = line.find(" event=first text=");
        cr_assert_neq(event, std::string::npos, "%s", line.c_str());
        cr_assert_eq(line.substr(line.size() - 9), " last=end", "%s", line.c_str());
        // Quotes within the field are escaped, so that only its own are not.
        std::size_t quotes = 0;
        for (std::size_t at = event; at < line.size(); ++at) {
            if (line[at] == '\\')
                ++at;
            else if (line[at] == '"')
                ++quotes;
        }
        cr_assert(quotes == 0 || quotes == 2, "%s", line.c_str());
    }
    cr_assert_eq(lines, texts.size());
    std::remove(path.c_str());
}

// Guards against a line that grows with a text from outside, such as the id of a statement, which may have a megabyte.
Test(DecisionLog, longTextIsCut)
{
    const std::string path = "/tmp/almondlever-log-" + std::to_string(getpid());
    cr_assert_eq(configureLog({ "info", path }), "");
    logInfo("first", { { "text", std::string(1000000, 'x') }, { "last", "end" } });
    flushLog();
    std::ifstream file(path);
    std::string line;
    cr_assert(std::getline(file, line));
    cr_assert_lt(line.size(), 1000U);
    cr_assert_eq(line.substr(line.size() - 9), " last=end");
    std::remove(path.c_str());
}
