#include "CrowdDeployment.h"
#include "Flood.h"
#include "LineCaller.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::crowds;

namespace {

constexpr std::size_t bytesInMegabyte = std::size_t { 1000 } * 1000;
/** A text that makes a message of legal size. */
constexpr std::size_t largeTextBytes = std::size_t { 1000 } * 1000;
const std::string startup = "STARTUP orders who\r\n";

/** The limits and the size of each load; the loads exceed the limits on a daemon that only counts connections. */
struct Crowd {
    VmLimits limits;
    /** Connections that each make the daemon hold about a megabyte. */
    std::size_t largeCallers = 0;
    /** Connections that cost little else than a descriptor. */
    std::size_t slowCallers = 0;
};

const Crowd small { { 64, 1000 }, 150, 1500 };
const Crowd smallestVm { { 112, 3010 }, 250, 4000 };

constexpr Milliseconds quietTime { 1500 };
constexpr Milliseconds floodLimit { 30000 };

/** Checks what holds under every load while the flood's connections are still open. */
void checkInvariants(CrowdDeployment& deployment, const VmLimits& limits)
{
    cr_expect(deployment.serves("READ ordinary"), "an ordinary request is not answered");
    const Usage usage = deployment.usage();
    cr_expect(deployment.isAlive(), "the process has ended");
    cr_expect_leq(usage.peakBytes, limits.megabytes * bytesInMegabyte, "peak memory is %zu bytes", usage.peakBytes);
    cr_expect_leq(
        deployment.peakDescriptors(), limits.descriptors, "%zu descriptors were open", deployment.peakDescriptors());
    cr_log_info("peak %zu kB, most descriptors %zu, now %zu", usage.peakBytes / 1000, deployment.peakDescriptors(),
        usage.descriptors);
}

void runFlood(const Crowd& crowd, const FloodHabits& habits)
{
    CrowdDeployment deployment(crowd.limits);
    Flood flood(deployment.callerPort(), habits);
    flood.waitUntilQuiet(quietTime, floodLimit);
    checkInvariants(deployment, crowd.limits);
}

/** Checks in addition that connections without a session do not keep their descriptors. */
void runSlowFlood(const Crowd& crowd, std::uint16_t (CrowdDeployment::*port)() const, const FloodHabits& habits)
{
    CrowdDeployment deployment(crowd.limits);
    cr_expect(CrowdDeployment::waitForPort((deployment.*port)(), Milliseconds(20000)), "the port does not open");
    Flood flood((deployment.*port)(), habits);
    flood.waitUntilQuiet(quietTime, Milliseconds(6000));
    checkInvariants(deployment, crowd.limits);
    cr_expect(deployment.waitForDescriptors(crowd.limits.descriptors / 4, Milliseconds(25000)),
        "%zu descriptors are still held", deployment.usage().descriptors);
    cr_expect(deployment.isAlive(), "the process has ended");
}

FloodHabits incompleteStatements(std::size_t connections)
{
    return { connections, startup + "QUERY 1 WRITE item " + std::string(largeTextBytes, 'x'), 0, Milliseconds(0),
        false };
}

FloodHabits completeStatements(std::size_t connections)
{
    std::string text = startup;
    for (int i = 1; i <= 3; ++i)
        text += "QUERY " + std::to_string(i) + " WRITE item " + std::string(largeTextBytes, 'x') + "\r\n";
    return { connections, text, 0, Milliseconds(0), true };
}

FloodHabits sessionValues(std::size_t connections)
{
    constexpr std::size_t valueBytes = 60000;
    std::string text = startup;
    for (int i = 1; i <= 60; ++i)
        text += "QUERY " + std::to_string(i) + " SET name" + std::to_string(i) + ' ' + std::string(valueBytes, 'x')
            + "\r\n";
    return { connections, text, 0, Milliseconds(0), true };
}

FloodHabits withoutTerminator(std::size_t connections)
{
    return { connections, startup + "QUERY 1 WRITE item " + std::string(4 * largeTextBytes, 'x'), 0, Milliseconds(0),
        true };
}

FloodHabits pipelinedStatements(std::size_t connections)
{
    std::string text = startup;
    for (int i = 1; i <= 20000; ++i)
        text += "QUERY " + std::to_string(i) + " SET zone " + std::to_string(i) + "\r\n";
    return { connections, text, 0, Milliseconds(0), false };
}

/** Checks in addition that callers that leave their answers unread do not keep their descriptors. */
void runPipelinedFlood(const Crowd& crowd)
{
    constexpr std::size_t connections = 400;
    CrowdDeployment deployment(crowd.limits);
    Flood flood(deployment.callerPort(), pipelinedStatements(connections));
    flood.waitUntilQuiet(quietTime, floodLimit);
    checkInvariants(deployment, crowd.limits);
    cr_expect(deployment.waitForDescriptors(crowd.limits.descriptors / 10, Milliseconds(40000)),
        "%zu descriptors are still held", deployment.usage().descriptors);
}

FloodHabits slowStartup(std::size_t connections)
{
    // Never completes within the test.
    return { connections, "STARTUP orders " + std::string(1000, 'x'), 1, Milliseconds(500), false };
}

FloodHabits unreadResponses(std::size_t connections)
{
    std::string text = startup;
    for (int i = 1; i <= 6; ++i)
        text += "QUERY " + std::to_string(i) + " READ large\r\n";
    return { connections, text, 0, Milliseconds(0), false };
}

/** Guards against ending the connection of a caller that sends more statements than the daemon keeps for it. */
void servesManyPipelinedStatements(const VmLimits& limits)
{
    constexpr int statements = 1000;
    constexpr Milliseconds answerLimit { 20000 };
    CrowdDeployment deployment(limits);
    LineCaller caller(deployment.callerPort());
    std::string text = startup;
    for (int i = 1; i <= statements; ++i)
        text += "QUERY " + std::to_string(i) + " READ item\r\n";
    cr_expect(caller.write(text));
    int answers = 0;
    std::string line = caller.readLine(answerLimit);
    cr_expect_eq(line.rfind("READY", 0), 0U, "no session: '%s'", line.c_str());
    while (answers < statements && !(line = caller.readLine(answerLimit)).empty())
        answers += line.rfind("READY", 0) == 0 ? 1 : 0;
    cr_expect_eq(answers, statements, "%d statements are answered", answers);
    cr_expect(!caller.isClosed(), "the connection is closed");
}

/** Sends the statement and returns the line with its outcome. */
std::string outcomeOf(LineCaller& caller, const std::string& statement)
{
    constexpr Milliseconds answerLimit { 20000 };
    std::string outcome;
    caller.write("QUERY 1 " + statement + "\r\n");
    for (std::string line = caller.readLine(answerLimit); !line.empty(); line = caller.readLine(answerLimit)) {
        if (line.rfind("READY", 0) == 0)
            break;
        if (line.rfind("DATAROW", 0) != 0)
            outcome = line;
    }
    return outcome;
}

/** Guards against limits that reach callers inside the documented ones. */
void servesTheLargestStatementAndState(const VmLimits& limits)
{
    constexpr std::size_t documentedBytes = std::size_t { 1020 } * 1024;
    CrowdDeployment deployment(limits);
    LineCaller caller(deployment.callerPort());
    caller.write(startup);
    cr_expect_eq(caller.readLine(Milliseconds(20000)).rfind("READY", 0), 0U);
    // The id and the text together have the documented size.
    const std::string statement = "WRITE item ";
    std::string outcome = outcomeOf(caller, statement + std::string(documentedBytes - statement.size() - 1, 'x'));
    cr_expect_eq(outcome.rfind("COMPLETE", 0), 0U, "statement: '%.80s'", outcome.c_str());
    constexpr std::size_t values = 17;
    constexpr std::size_t valueBytes = documentedBytes / values - 8;
    for (std::size_t i = 0; i < values; ++i) {
        outcome = outcomeOf(caller, "SET name" + std::to_string(i) + ' ' + std::string(valueBytes, 'x'));
        cr_expect_eq(outcome.rfind("COMPLETE", 0), 0U, "value %zu: '%.80s'", i, outcome.c_str());
    }
    outcome = outcomeOf(caller, "READ item");
    cr_expect_eq(outcome.rfind("COMPLETE", 0), 0U, "read with values: '%.80s'", outcome.c_str());
}

/** Guards against closing idle sessions while there is room for them. */
void keepsIdleSessions(const VmLimits& limits)
{
    constexpr std::size_t sessions = 150;
    CrowdDeployment deployment(limits);
    std::vector<std::unique_ptr<LineCaller>> callers;
    for (std::size_t i = 0; i < sessions; ++i) {
        callers.push_back(std::make_unique<LineCaller>(deployment.callerPort()));
        callers.back()->write(startup);
        cr_expect_eq(callers.back()->readLine(Milliseconds(20000)).rfind("READY", 0), 0U);
    }
    std::this_thread::sleep_for(Milliseconds(12000));
    for (const auto& caller : callers)
        cr_expect(!caller->isClosed(), "an idle session is closed");
}

} // namespace

// One pair of tests for each row of the table in docs/contended-load.md, section 3: with limits that a small load
// exceeds, and with those of the smallest VM.

// Guards against holding the incomplete statements of all connections in memory.
Test(Crowds, incompleteStatements) { runFlood(small, incompleteStatements(small.largeCallers)); }
Test(SmallestVm, incompleteStatements) { runFlood(smallestVm, incompleteStatements(smallestVm.largeCallers)); }

// Guards against holding the complete statements of all connections in memory at once.
Test(Crowds, completeStatements) { runFlood(small, completeStatements(small.largeCallers)); }
Test(SmallestVm, completeStatements) { runFlood(smallestVm, completeStatements(smallestVm.largeCallers)); }

// Guards against sessions that each hold the largest state and exceed the memory together.
Test(Crowds, sessionValues) { runFlood(small, sessionValues(small.largeCallers)); }
Test(SmallestVm, sessionValues) { runFlood(smallestVm, sessionValues(smallestVm.largeCallers)); }

// Guards against silent connections that keep all descriptors, so that nobody else is accepted.
Test(Crowds, silentConnections)
{
    runSlowFlood(small, &CrowdDeployment::callerPort, { small.slowCallers, "", 0, Milliseconds(0), false });
}
Test(SmallestVm, silentConnections)
{
    runSlowFlood(smallestVm, &CrowdDeployment::callerPort, { smallestVm.slowCallers, "", 0, Milliseconds(0), false });
}

// Guards against buffering messages that are far over the limit up to the limit, on all connections at once.
Test(Crowds, messagesWithoutTerminator) { runFlood(small, withoutTerminator(small.largeCallers)); }
Test(SmallestVm, messagesWithoutTerminator) { runFlood(smallestVm, withoutTerminator(smallestVm.largeCallers)); }

// Guards against answers to pipelined statements that pile up unread.
Test(Crowds, pipelinedStatements) { runPipelinedFlood(small); }
Test(SmallestVm, pipelinedStatements) { runPipelinedFlood(smallestVm); }
Test(Crowds, manyPipelinedStatementsAreServed) { servesManyPipelinedStatements(small.limits); }
Test(SmallestVm, manyPipelinedStatementsAreServed) { servesManyPipelinedStatements(smallestVm.limits); }

// Guards against callers that send their STARTUP a byte at a time and keep all descriptors.
Test(Crowds, slowStartup) { runSlowFlood(small, &CrowdDeployment::callerPort, slowStartup(small.slowCallers)); }
Test(SmallestVm, slowStartup)
{
    runSlowFlood(smallestVm, &CrowdDeployment::callerPort, slowStartup(smallestVm.slowCallers));
}

// Guards against large responses that are read slowly or not at all and are held in memory.
Test(Crowds, unreadResponses) { runFlood(small, unreadResponses(small.largeCallers)); }
Test(SmallestVm, unreadResponses) { runFlood(smallestVm, unreadResponses(smallestVm.largeCallers)); }

// Guards against outsiders that use up the descriptors through the addresses that are not meant for callers.
Test(Crowds, silentConnectionsToReadiness)
{
    runSlowFlood(small, &CrowdDeployment::readinessPort, { small.slowCallers, "", 0, Milliseconds(0), false });
}
Test(SmallestVm, silentConnectionsToReadiness)
{
    runSlowFlood(
        smallestVm, &CrowdDeployment::readinessPort, { smallestVm.slowCallers, "", 0, Milliseconds(0), false });
}
Test(Crowds, silentConnectionsToThePeerPort)
{
    runSlowFlood(small, &CrowdDeployment::peerPort, { small.slowCallers, "", 0, Milliseconds(0), false });
}
Test(SmallestVm, silentConnectionsToThePeerPort)
{
    runSlowFlood(smallestVm, &CrowdDeployment::peerPort, { smallestVm.slowCallers, "", 0, Milliseconds(0), false });
}

Test(Crowds, theLargestStatementAndStateAreServed) { servesTheLargestStatementAndState(small.limits); }
Test(SmallestVm, theLargestStatementAndStateAreServed) { servesTheLargestStatementAndState(smallestVm.limits); }
Test(Crowds, idleSessionsStayOpen) { keepsIdleSessions(small.limits); }
Test(SmallestVm, idleSessionsStayOpen) { keepsIdleSessions(smallestVm.limits); }
