#include "ConfigurationMeasurement.h"
#include "ConnectionHolder.h"
#include "HttpLoad.h"
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

/** Splits "Name: value". */
almondlever::HttpHeader parseHeader(const std::string& text)
{
    const auto colon = text.find(": ");
    if (colon == std::string::npos)
        throw TCLAP::CmdLineParseException("must be 'Name: value'", "header");
    return { text.substr(0, colon), text.substr(colon + 2) };
}

} // namespace

/**
 * almondlever-measure: prints measurements as JSON. "schedulers", "placement" and "configuration" involve no network;
 * "http" and "connections" load or hold connections to a server, "bare-server" is one.
 */
int main(int argumentCount, char** arguments)
{
    using namespace almondlever::measure;
    try {
        TCLAP::CmdLine commandLine("Measures deciding modules and HTTP servers and prints JSON.", ' ', "1");
        std::vector<std::string> subjects { "schedulers", "placement", "configuration", "connections", "http",
            "bare-server" };
        TCLAP::ValuesConstraint<std::string> allowed(subjects);
        TCLAP::UnlabeledValueArg<std::string> subject("subject", "What to measure.", true, "", &allowed, commandLine);
        TCLAP::ValueArg<std::uint64_t> seed(
            "s", "seed", "Seed of the generated arrivals.", false, 20261204, "number", commandLine);
        TCLAP::ValueArg<unsigned> phase("p", "phase-seconds",
            "Virtual seconds before the flood and of the flood; 1 to 600.", false, 120, "seconds", commandLine);
        TCLAP::SwitchArg check("c", "check", "Fail when the daemon's scheduler misses a target.", commandLine, false);
        TCLAP::ValueArg<std::string> address(
            "a", "address", "Server to load, or address of the bare server.", false, "", "ip:port", commandLine);
        TCLAP::ValueArg<std::size_t> connections(
            "n", "connections", "Connections to hold, or of the closed loop.", false, 1, "number", commandLine);
        TCLAP::ValueArg<unsigned> holdSeconds(
            "", "hold-seconds", "Time to hold connections.", false, 10, "seconds", commandLine);
        TCLAP::ValueArg<unsigned> seconds(
            "t", "seconds", "Duration of the closed loop.", false, 5, "seconds", commandLine);
        TCLAP::ValueArg<std::string> target("", "target", "Path of the requests.", false, "/", "path", commandLine);
        TCLAP::ValueArg<std::string> body(
            "", "body", "Body of the requests; {n} stands for a number.", false, "", "text", commandLine);
        TCLAP::MultiArg<std::string> headers("", "header", "Header field.", false, "Name: value", commandLine);
        TCLAP::ValueArg<std::size_t> bodyBytes(
            "", "body-bytes", "Size of the bare server's answer.", false, 128, "bytes", commandLine);
        commandLine.parse(argumentCount, arguments);
        if (subject.getValue() == "http" || subject.getValue() == "bare-server") {
            const auto server = almondlever::parseHttpAddress(address.getValue());
            if (!server) {
                std::cerr << "almondlever-measure: --address: " << server.error() << '\n';
                return EXIT_FAILURE;
            }
            if (subject.getValue() == "bare-server")
                return runBareServer(server.value(), bodyBytes.getValue());
            HttpLoadSettings load;
            load.address = server.value();
            load.connections = connections.getValue();
            load.duration = std::chrono::seconds(seconds.getValue());
            load.target = target.getValue();
            load.body = body.getValue();
            for (const std::string& header : headers.getValue())
                load.headers.push_back(parseHeader(header));
            const nlohmann::json figures = runHttpLoad(load);
            std::cout << figures.dump(2) << '\n';
            return figures["answers"] == 0 ? EXIT_FAILURE : EXIT_SUCCESS;
        }
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
