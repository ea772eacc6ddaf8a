#include "CrowdDeployment.h"
#include "LineCaller.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::crowds;

// Guards against idle connections that grow: the sessions of a daemon of the largest planned deployment (9.1 million on
// 4,400 daemons, docs/CAPACITY.md) may use a tenth of the memory of the smallest VM.
Test(ConnectionMemory, idleSessionsFitIntoATenthOfTheSmallestVm)
{
    constexpr std::size_t sessions = 9100000 / 4400;
    constexpr std::size_t mostBytes = std::size_t { 112 } * 1000 * 1000 / 10;
    CrowdDeployment deployment({ 112, 3010 });
    const std::size_t before = deployment.usage().residentBytes;
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (std::size_t i = 0; i < sessions; ++i) {
        callers.push_back(std::make_unique<LineCaller>(deployment.callerPort()));
        callers.back()->write("STARTUP orders who\r\nQUERY 1 SET zone a\r\n");
        for (int line = 0; line < 3; ++line)
            cr_expect_neq(callers.back()->readLine(Milliseconds(20000)), "", "session %zu is not served", i);
    }
    const std::size_t bytes = deployment.usage().residentBytes - before;
    cr_log_info("%zu bytes per idle session", bytes / sessions);
    cr_expect_leq(bytes, mostBytes, "%zu sessions use %zu bytes", sessions, bytes);
}
