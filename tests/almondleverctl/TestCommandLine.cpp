#include "almondleverctl/CommandLine.h"

#include <criterion/criterion.h>
#include <map>

using namespace almondlever;

namespace {

Result<Options, CommandLineExit> parse(
    std::vector<std::string> arguments, const std::map<std::string, std::string>& environment = {})
{
    arguments.insert(arguments.begin(), "almondleverctl");
    return parseCommandLine(arguments, [&](const char* name) {
        const auto found = environment.find(name);
        return found == environment.end() ? std::string() : found->second;
    });
}

} // namespace

// Guards against an environment variable that overrides a flag.
Test(CommandLine, flagWinsOverEnvironment)
{
    const std::map<std::string, std::string> environment { { "ALMONDLEVER_KV_ADDRESS", "127.0.0.1:1" },
        { "ALMONDLEVER_TIMEOUT", "5s" }, { "USER", "someone" } };
    const auto fromEnvironment = parse({ "plan", "dir" }, environment);
    cr_assert(fromEnvironment.value().keyValueAddress.port == 1);
    cr_assert(fromEnvironment.value().timeout == Milliseconds(5000));
    cr_assert(fromEnvironment.value().author == "someone");
    const auto fromFlags
        = parse({ "plan", "dir", "--kv-address", "127.0.0.1:2", "--timeout", "1s", "--author", "me" }, environment);
    cr_assert(fromFlags.value().keyValueAddress.port == 2);
    cr_assert(fromFlags.value().timeout == Milliseconds(1000));
    cr_assert(fromFlags.value().author == "me");
}

// Guards against wrong usage that is silently ignored or reported with another exit code.
Test(CommandLine, reportsWrongUsage)
{
    const std::vector<std::vector<std::string>> wrong { {}, { "frob" }, { "validate" }, { "validate", "a", "b" },
        { "plan", "dir" }, { "plan", "dir", "--kv-address", "here" }, { "apply", "dir", "--json" }, { "--bogus" },
        { "status" }, { "status", "dir", "--daemon-address", "127.0.0.1:1" },
        { "status", "--caller", "c", "--daemon-address", "127.0.0.1:1" },
        { "explain", "--caller", "c", "--database", "d", "--daemon-address", "127.0.0.1:1" },
        { "explain", "--caller", "c", "--database", "d", "--op", "x", "--daemon-address", "127.0.0.1:1" },
        { "validate", "dir", "--timeout", "5" } };
    for (const auto& arguments : wrong) {
        const auto parsed = parse(arguments);
        cr_assert(!parsed.hasValue(), "accepted: %s", arguments.empty() ? "nothing" : arguments.back().c_str());
        cr_assert(parsed.error().exitCode == ExitCode::Usage);
        cr_assert(!parsed.error().message.empty());
    }
}

// Guards against commands that refuse their documented arguments.
Test(CommandLine, acceptsDocumentedArguments)
{
    cr_assert(parse({ "validate", "dir", "--json" }).value().isJson);
    cr_assert(parse({ "status", "--json", "--daemon-address", "127.0.0.1:1" }).hasValue());
    const auto explain
        = parse({ "explain", "--caller", "c", "--database", "d", "--op", "write", "--daemon-address", "127.0.0.1:1" });
    cr_assert(explain.value().operation == "write" && explain.value().caller == "c");
}

// Guards against accepting --request without --log, --log without --request, or either with flags for a daemon query.
Test(CommandLine, explainTakesLogsOrADaemon)
{
    const auto logs = parse({ "explain", "--log", "a.log", "--log", "-", "--request", "q1" });
    cr_assert(logs.hasValue());
    cr_assert_eq(logs.value().logs.size(), 2U);
    cr_assert_eq(logs.value().request, "q1");
    cr_assert(!parse({ "explain", "--log", "a.log" }).hasValue());
    cr_assert(!parse({ "explain", "--request", "q1", "--daemon-address", "127.0.0.1:1" }).hasValue());
    cr_assert(!parse({ "explain", "--log", "a.log", "--request", "q1", "--op", "read" }).hasValue());
}
