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

/** almondlever-measure: prints measurements of deciding modules as JSON. Networks are not involved. */
int main(int argumentCount, char** arguments)
{
    using namespace almondlever::measure;
    try {
        TCLAP::CmdLine commandLine("Measures scheduling and placement and prints JSON.", ' ', "1");
        std::vector<std::string> subjects { "schedulers", "placement" };
        TCLAP::ValuesConstraint<std::string> allowed(subjects);
        TCLAP::UnlabeledValueArg<std::string> subject("subject", "What to measure.", true, "", &allowed, commandLine);
        TCLAP::ValueArg<std::uint64_t> seed(
            "s", "seed", "Seed of the generated arrivals.", false, 20261204, "number", commandLine);
        TCLAP::ValueArg<unsigned> phase("p", "phase-seconds",
            "Virtual seconds before the flood and of the flood; 1 to 600.", false, 120, "seconds", commandLine);
        TCLAP::SwitchArg check("c", "check", "Fail when the daemon's scheduler misses a target.", commandLine, false);
        commandLine.parse(argumentCount, arguments);
        if (phase.getValue() < 1 || phase.getValue() > longestPhaseSeconds) {
            std::cerr << "almondlever-measure: --phase-seconds must be between 1 and " << longestPhaseSeconds << '\n';
            return EXIT_FAILURE;
        }
        const bool isSchedulers = subject.getValue() == "schedulers";
        const nlohmann::json result = isSchedulers
            ? measureSchedulers(seed.getValue(), std::chrono::seconds(phase.getValue()))
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
