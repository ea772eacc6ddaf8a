#include "CommandLine.h"

#include "AlmondleverVersion.h"
#include "config/UnitParser.h"

#include <map>
#include <tclap/CmdLine.h>

namespace almondlever {

namespace {

    constexpr const char* description
        = "Checks and applies the inventory and the rules of almondlever, and asks daemons for their status.\n\n"
          "validate DIR  checks DIR/inventory.yaml and DIR/rules.yaml and reports all findings\n"
          "plan DIR      shows what apply would change\n"
          "apply DIR     applies the files\n"
          "status        shows the status of a daemon\n"
          "explain       shows how a daemon would route an operation (--caller, --database, --op), or what the logs of "
          "daemons tell of one request (--log, --request)\n\n"
          "Exit codes: 0 success, 1 findings or refused, 2 wrong usage, 3 another operator's apply came first, "
          "4 service or daemon unreachable, 5 outcome of an apply unknown.";

    const std::map<std::string, Command> commands { { "validate", Command::Validate }, { "plan", Command::Plan },
        { "apply", Command::Apply }, { "status", Command::Status }, { "explain", Command::Explain } };

    bool usesFiles(Command command)
    {
        return command == Command::Validate || command == Command::Plan || command == Command::Apply;
    }
    bool usesKeyValueService(Command command) { return command == Command::Plan || command == Command::Apply; }
    bool usesDaemon(Command command) { return command == Command::Status || command == Command::Explain; }

    /** Declares the arguments for TCLAP. */
    struct Arguments {
        TCLAP::CmdLine line { description, ' ', buildVersion };
        /** Command and DIR share one argument, because TCLAP allows only one optional positional argument per process.
         */
        TCLAP::UnlabeledMultiArg<std::string> words { "command",
            "validate, plan, apply, status or explain; the first three take DIR, the folder with inventory.yaml and "
            "rules.yaml",
            true, "command and DIR", line };
        TCLAP::ValueArg<std::string> keyValueAddress { "", "kv-address",
            "Address of the platform's key-value service (environment: ALMONDLEVER_KV_ADDRESS)", false, "", "ip:port",
            line };
        TCLAP::ValueArg<std::string> daemonAddress { "", "daemon-address",
            "Address of a daemon (environment: ALMONDLEVER_DAEMON_ADDRESS)", false, "", "ip:port", line };
        TCLAP::ValueArg<std::string> caller { "", "caller", "Caller to explain", false, "", "name", line };
        TCLAP::ValueArg<std::string> database { "", "database", "Database to explain", false, "", "name", line };
        TCLAP::ValueArg<std::string> operation { "", "op", "Operation to explain", false, "", "read|write", line };
        TCLAP::MultiArg<std::string> logs { "", "log",
            "Log of one or more daemons in which --request is explained; - is standard input", false, "file", line };
        TCLAP::ValueArg<std::string> request { "", "request", "Request to explain from logs", false, "", "id", line };
        TCLAP::ValueArg<std::string> author { "", "author",
            "Name stored with an apply (environment: ALMONDLEVER_AUTHOR, then USER)", false, "", "name", line };
        TCLAP::ValueArg<std::string> timeout { "", "timeout",
            "Time for each call, for example 500ms (environment: ALMONDLEVER_TIMEOUT; default: 2s)", false, "", "time",
            line };
        TCLAP::SwitchArg json { "", "json", "Print JSON; for validate, plan, status and explain", line };
    };

    /** Returns the flag's value if it is set, else the environment variable's. */
    std::string flagOrEnvironment(
        const TCLAP::ValueArg<std::string>& flag, const char* variable, const ReadEnvironment& environment)
    {
        return flag.isSet() ? flag.getValue() : environment(variable);
    }

    HttpAddress requireAddress(const std::string& text, const std::string& flag, const std::string& variable)
    {
        if (text.empty())
            throw CommandLineExit { ExitCode::Usage, "the address is missing; set --" + flag + " or " + variable };
        const auto address = parseHttpAddress(text);
        if (!address)
            throw CommandLineExit { ExitCode::Usage, "--" + flag + " or " + variable + ": " + address.error() };
        return address.value();
    }

    void checkArgumentUse(bool isSet, bool isUsed, const std::string& argument, const std::string& command)
    {
        if (isSet && !isUsed)
            throw CommandLineExit { ExitCode::Usage, argument + " has no meaning for " + command };
        if (!isSet && isUsed)
            throw CommandLineExit { ExitCode::Usage, command + " needs " + argument };
    }

    void readExplainArguments(const Arguments& arguments, Options& options)
    {
        const bool usesLogs = options.command == Command::Explain && arguments.logs.isSet();
        const bool isExplain = options.command == Command::Explain && !usesLogs;
        const std::string& command = arguments.words.getValue().front();
        checkArgumentUse(arguments.logs.isSet(), usesLogs, "--log", command);
        checkArgumentUse(arguments.request.isSet(), usesLogs, "--request", command);
        options.logs = arguments.logs.getValue();
        options.request = arguments.request.getValue();
        checkArgumentUse(arguments.caller.isSet(), isExplain, "--caller", command);
        checkArgumentUse(arguments.database.isSet(), isExplain, "--database", command);
        checkArgumentUse(arguments.operation.isSet(), isExplain, "--op", command);
        options.caller = arguments.caller.getValue();
        options.database = arguments.database.getValue();
        options.operation = arguments.operation.getValue();
        if (isExplain && options.operation != "read" && options.operation != "write")
            throw CommandLineExit { ExitCode::Usage, "--op is '" + options.operation + "'; write read or write" };
    }

    std::string readAuthor(const Arguments& arguments, const ReadEnvironment& environment)
    {
        const std::string author = flagOrEnvironment(arguments.author, "ALMONDLEVER_AUTHOR", environment);
        return author.empty() ? environment("USER") : author;
    }

    Milliseconds readTimeout(const std::string& text)
    {
        constexpr Milliseconds defaultTimeout { 2000 };
        if (text.empty())
            return defaultTimeout;
        const auto timeout = parseDuration(text);
        if (!timeout || timeout.value() <= Milliseconds(0))
            throw CommandLineExit { ExitCode::Usage,
                "--timeout or ALMONDLEVER_TIMEOUT is '" + text + "'; write a time above zero with a unit, such as 2s" };
        return timeout.value();
    }

    Options readOptions(const Arguments& arguments, const ReadEnvironment& environment)
    {
        const std::vector<std::string>& words = arguments.words.getValue();
        const std::string& name = words.front();
        const auto command = commands.find(name);
        if (command == commands.end())
            throw CommandLineExit { ExitCode::Usage,
                "'" + name + "' is no command; commands are validate, plan, apply, status and explain" };
        Options options;
        options.command = command->second;
        checkArgumentUse(words.size() > 1, usesFiles(options.command), "DIR", name);
        if (words.size() > 2)
            throw CommandLineExit { ExitCode::Usage, "'" + words[2] + "' has no meaning for " + name };
        options.directory = words.size() > 1 ? words[1] : std::string();
        readExplainArguments(arguments, options);
        if (arguments.json.getValue() && options.command == Command::Apply)
            checkArgumentUse(true, false, "--json", name);
        options.isJson = arguments.json.getValue();
        if (usesKeyValueService(options.command))
            options.keyValueAddress
                = requireAddress(flagOrEnvironment(arguments.keyValueAddress, "ALMONDLEVER_KV_ADDRESS", environment),
                    "kv-address", "ALMONDLEVER_KV_ADDRESS");
        if (usesDaemon(options.command) && options.logs.empty())
            options.daemonAddress
                = requireAddress(flagOrEnvironment(arguments.daemonAddress, "ALMONDLEVER_DAEMON_ADDRESS", environment),
                    "daemon-address", "ALMONDLEVER_DAEMON_ADDRESS");
        options.author = readAuthor(arguments, environment);
        options.timeout = readTimeout(flagOrEnvironment(arguments.timeout, "ALMONDLEVER_TIMEOUT", environment));
        return options;
    }

} // namespace

Result<Options, CommandLineExit> parseCommandLine(
    std::vector<std::string> arguments, const ReadEnvironment& environment)
{
    try {
        Arguments parsed;
        parsed.line.setExceptionHandling(false);
        parsed.line.parse(arguments);
        return readOptions(parsed, environment);
    } catch (const TCLAP::ExitException&) {
        return CommandLineExit { ExitCode::Success, {} };
    } catch (const TCLAP::ArgException& error) {
        return CommandLineExit { ExitCode::Usage, error.error() + " " + error.argId() };
    } catch (const CommandLineExit& earlyExit) {
        return earlyExit;
    }
}

} // namespace almondlever
