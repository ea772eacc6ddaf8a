#include "ConfigurationMeasurement.h"
#include "ConnectionHolder.h"
#include "PlacementMeasurement.h"
#include "SchedulerMeasurement.h"

#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

namespace {

/** Keeps a full run below a minute. */
constexpr unsigned longestPhaseSeconds = 600;

} // namespace

/** almondlever-measure: prints measurements of deciding modules as JSON, without a network; "connections" holds client
 * connections to a daemon. */
int main(int argumentCount, char** arguments)
{
    using namespace almondlever::measure;
    try {
        TCLAP::CmdLine commandLine(
            "Measures scheduling, placement and configurations, or holds client connections.", ' ', "1");
        std::vector<std::string> subjects { "schedulers", "placement", "configuration", "connections" };
        TCLAP::ValuesConstraint<std::string> allowed(subjects);
        TCLAP::UnlabeledValueArg<std::string> subject("subject", "What to measure.", true, "", &allowed, commandLine);
        TCLAP::ValueArg<std::uint64_t> seed(
            "s", "seed", "Seed of the generated arrivals.", false, 20261204, "number", commandLine);
        TCLAP::ValueArg<unsigned> phase("p", "phase-seconds",
            "Virtual seconds before the flood and of the flood; 1 to 600.", false, 120, "seconds", commandLine);
        TCLAP::SwitchArg check("c", "check", "Fail when the daemon's scheduler misses a target.", commandLine, false);
        TCLAP::ValueArg<std::string> address(
            "a", "address", "Daemon to hold connections to.", false, "", "ip:port", commandLine);
        TCLAP::ValueArg<std::size_t> connections(
            "n", "connections", "Connections to hold.", false, 100, "number", commandLine);
        TCLAP::ValueArg<unsigned> holdSeconds(
            "t", "hold-seconds", "Time to hold connections.", false, 10, "seconds", commandLine);
        commandLine.parse(argumentCount, arguments);
        if (phase.getValue() < 1 || phase.getValue() > longestPhaseSeconds) {
            std::cerr << "almondlever-measure: --phase-seconds must be between 1 and " << longestPhaseSeconds << '\n';
            return EXIT_FAILURE;
        }
        if (subject.getValue() == "connections") {
            const std::size_t held = holdConnections(
                address.getValue(), connections.getValue(), std::chrono::seconds(holdSeconds.getValue()));
            return held == connections.getValue() ? EXIT_SUCCESS : EXIT_FAILURE;
        }
        const bool isSchedulers = subject.getValue() == "schedulers";
        const nlohmann::json result = isSchedulers
            ? measureSchedulers(seed.getValue(), std::chrono::seconds(phase.getValue()))
            : subject.getValue() == "configuration" ? measureConfiguration()
                                                    : measurePlacement();
        std::cout << result.dump(2) << '\n';
        if (check.getValue() && isSchedulers && !meetsTargets(result)) {
            std::cerr << "almondlever-measure: the scheduler misses a target\n";
            return EXIT_FAILURE;
        }
        return EXIT_SUCCESS;
    } catch (const TCLAP::ArgException& error) {
        std::cerr << "almondlever-measure: " << error.error() << " for " << error.argId() << '\n';
        return EXIT_FAILURE;
    }
}
