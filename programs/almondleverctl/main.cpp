#include "CommandLine.h"
#include "ConfigurationCommands.h"
#include "DaemonCommands.h"
#include "LogExplanation.h"
#include "almondlever/platform/HttpPlatform.h"

#include <array>
#include <asio.hpp>
#include <cstdlib>
#include <fmt/format.h>
#include <iostream>
#include <openssl/rand.h>

namespace {

using namespace almondlever;

std::string readEnvironment(const char* name)
{
    const char* value = std::getenv(name);
    return value ? value : "";
}

/** Returns 128 random bits in hexadecimal, so that no two applies share an id. */
std::string makeApplyId()
{
    std::array<unsigned char, 16> bytes {};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        throw std::runtime_error("no random numbers for the id of the apply");
    std::string text;
    for (const unsigned char byte : bytes)
        text += fmt::format("{:02x}", byte);
    return text;
}

ConfigurationStore::RunLater makeDelayedRunner(asio::io_context& context)
{
    return [&context](Duration delay, const std::function<void()>& run) {
        const auto timer = std::make_shared<asio::steady_timer>(context, delay);
        timer->async_wait([timer, run](std::error_code) { run(); });
    };
}

ExitCode runCommand(const Options& options)
{
    const OutputStreams streams { std::cout, std::cerr };
    if (options.command == Command::Validate)
        return runValidate(options, streams);
    if (!options.logs.empty())
        return runExplainLogs(options, streams);

    asio::io_context context;
    ExitCode exitCode = ExitCode::OutcomeUnknown;
    const CommandDone done = [&](ExitCode code) {
        exitCode = code;
        context.stop();
    };
    const auto service = makeHttpKeyValueService(context, options.keyValueAddress, VmId());
    ConfigurationStoreSettings settings;
    settings.callTimeout = options.timeout;
    ConfigurationStore store(*service, makeDelayedRunner(context), settings);
    HttpClient client(context);
    if (options.command == Command::Plan)
        runPlan(options, store, streams, done);
    else if (options.command == Command::Apply)
        runApply(options, store, makeApplyId(),
            std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()), streams, done);
    else
        runDaemonQuery(options, client, streams, done);
    context.run();
    return exitCode;
}

} // namespace

int main(int argumentCount, char** arguments)
{
    try {
        const auto options = parseCommandLine({ arguments, arguments + argumentCount }, readEnvironment);
        if (options)
            return static_cast<int>(runCommand(options.value()));
        if (!options.error().message.empty())
            std::cerr << "almondleverctl: " << options.error().message << "\nsee almondleverctl --help\n";
        return static_cast<int>(options.error().exitCode);
    } catch (const std::exception& error) {
        std::cerr << "almondleverctl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Refused);
    }
}
