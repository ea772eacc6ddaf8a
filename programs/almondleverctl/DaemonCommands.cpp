#include "DaemonCommands.h"

#include "Output.h"
#include "platform/PlatformCodec.h"

#include <ostream>

namespace almondlever {

namespace {

    constexpr unsigned statusOk = 200;

    std::string targetOf(const Options& options)
    {
        if (options.command == Command::Status)
            return "/v1/status";
        return "/v1/explain?caller=" + escapeQueryValue(options.caller)
            + "&database=" + escapeQueryValue(options.database) + "&op=" + escapeQueryValue(options.operation);
    }

} // namespace

ExitCode reportDaemonAnswer(const Options& options, const HttpResult& result, OutputStreams streams)
{
    if (!result) {
        streams.error << "the daemon does not answer: " << result.error().reason << '\n';
        return ExitCode::Unreachable;
    }
    const HttpResponse& response = result.value();
    const auto body = nlohmann::json::parse(response.body, nullptr, false);
    const bool isAnswer = response.status == statusOk && !body.is_discarded();
    if (!isAnswer) {
        streams.error << "the daemon answered with status " << response.status << ": " << response.body << '\n';
        return ExitCode::Refused;
    }
    if (options.isJson)
        streams.out << formatJson(body) << '\n';
    else
        printReadable(body, streams.out);
    return ExitCode::Success;
}

void runDaemonQuery(const Options& options, HttpClient& client, OutputStreams streams, const CommandDone& done)
{
    client.request(options.daemonAddress, { "GET", targetOf(options), {}, {} }, options.timeout,
        [options, streams, done](const HttpResult& result) { done(reportDaemonAnswer(options, result, streams)); });
}

} // namespace almondlever
