#pragma once

#include "ExitCode.h"
#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"
#include "almondlever/transport/HttpMessage.h"

#include <functional>
#include <string>
#include <vector>

namespace almondlever {

enum class Command {
    Validate,
    Plan,
    Apply,
    Status,
    Explain,
};

/** Validated options from flags and environment. Members that the command does not use are empty. */
struct Options {
    Command command = Command::Validate;
    /** Folder with inventory.yaml and rules.yaml. */
    std::string directory;
    HttpAddress keyValueAddress;
    HttpAddress daemonAddress;
    bool isJson = false;
    std::string caller;
    std::string database;
    /** "read" or "write". */
    std::string operation;
    /** Log files of daemons to search for the request; empty when a daemon is queried. "-" is standard input. */
    std::vector<std::string> logs;
    /** Id of the request to explain from logs. */
    std::string request;
    /** Author name stored with an apply. */
    std::string author;
    /** Time-out of each call to a service. */
    Milliseconds timeout { 0 };
};

/** Exit without running a command: wrong usage, or help or version was printed. */
struct CommandLineExit {
    ExitCode exitCode = ExitCode::Usage;
    /** Empty when nothing is left to print. */
    std::string message;
};

/** Value of an environment variable; empty when it is not set. */
using ReadEnvironment = std::function<std::string(const char* name)>;

/** Parses the arguments; the first is the program's name. A flag overrides its environment variable. */
Result<Options, CommandLineExit> parseCommandLine(std::vector<std::string> arguments, const ReadEnvironment&);

} // namespace almondlever
