#include "AlmondleverVersion.h"
#include "Standin.h"

#include <asio.hpp>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <tclap/CmdLine.h>

namespace {

using namespace almondlever;
using namespace almondlever::standin;

struct Flags {
    std::string config;
    std::string addressesFile;
    int stopAfterSeconds = 0;
    StandinOptions options;
};

std::vector<std::string> splitNames(const std::string& text)
{
    std::vector<std::string> names;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const std::size_t end = std::min(text.find(',', begin), text.size());
        if (end > begin)
            names.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return names;
}

HttpAddress parseControlAddress(const std::string& text)
{
    const std::string anyPort = ":0";
    if (text.size() > 2 && text.compare(text.size() - 2, 2, anyPort) == 0)
        return { text.substr(0, text.size() - 2), 0 };
    const auto address = parseHttpAddress(text);
    if (!address)
        throw TCLAP::ArgException(address.error(), "--control");
    return address.value();
}

Flags readFlags(int argumentCount, char** arguments)
{
    TCLAP::CmdLine line(
        "Stand-in for the database servers, the platform and the network that almondlever meets", ' ', buildVersion);
    TCLAP::ValueArg<std::string> config("", "config", "Configuration in YAML or JSON", true, "", "file", line);
    TCLAP::ValueArg<std::string> endpoints(
        "", "endpoints", "Database servers to run: all, or names with commas", false, "", "names", line);
    TCLAP::SwitchArg platform("", "platform", "Run the key-value service and the VM list", line);
    TCLAP::SwitchArg relays("", "relays", "Run a relay in front of each daemon", line);
    TCLAP::ValueArg<std::string> control("", "control", "Address of the control interface", false, "", "ip:port", line);
    TCLAP::ValueArg<std::string> dataFolder(
        "", "data-dir", "Folder in which the database servers keep their state", false, "", "folder", line);
    TCLAP::ValueArg<std::string> addressesFile(
        "", "print-addresses", "File that gets the actual addresses as JSON", false, "", "file", line);
    TCLAP::ValueArg<int> stopAfter(
        "", "stop-after", "Seconds after which the program ends; 0 is never", false, 0, "seconds", line);
    line.parse(argumentCount, arguments);

    Flags flags;
    flags.config = config.getValue();
    flags.addressesFile = addressesFile.getValue();
    flags.stopAfterSeconds = stopAfter.getValue();
    flags.options.endpoints = splitNames(endpoints.getValue());
    flags.options.runsPlatform = platform.getValue();
    flags.options.runsRelays = relays.getValue();
    flags.options.dataFolder = dataFolder.getValue();
    if (!control.getValue().empty())
        flags.options.control = parseControlAddress(control.getValue());
    return flags;
}

/** Writes under another name first, so that a reader never sees half a file. */
bool writeFile(const std::string& path, const std::string& text)
{
    const std::string partial = path + ".partial";
    std::ofstream file(partial);
    file << text << '\n';
    file.close();
    return file.good() && std::rename(partial.c_str(), path.c_str()) == 0;
}

int run(const Flags& flags)
{
    auto config = loadConfig(flags.config);
    if (!config) {
        for (const Finding& finding : config.error())
            std::cerr << describe(finding) << '\n';
        return 2;
    }
    asio::io_context context(1);
    Standin standin(context, std::move(config.value()), flags.options);
    if (const auto started = standin.start(); !started) {
        std::cerr << started.error() << '\n';
        return 1;
    }
    asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](std::error_code, int) { context.stop(); });
    asio::steady_timer stopTimer(context);
    if (flags.stopAfterSeconds > 0) {
        stopTimer.expires_after(std::chrono::seconds(flags.stopAfterSeconds));
        stopTimer.async_wait([&context](std::error_code) { context.stop(); });
    }
    if (!flags.addressesFile.empty() && !writeFile(flags.addressesFile, standin.addresses().dump(2))) {
        std::cerr << "cannot write " << flags.addressesFile << '\n';
        return 1;
    }
    context.run();
    return 0;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    try {
        return run(readFlags(argumentCount, arguments));
    } catch (const TCLAP::ArgException& error) {
        std::cerr << error.argId() << ": " << error.error() << '\n';
        return 2;
    } catch (const std::exception& error) {
        std::cerr << "almondlever-standin: " << error.what() << '\n';
        return 1;
    }
}
