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

/** What the flags and the environment ask for, checked. Members that the command does not use are empty. */
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
    /** Logs of daemons in which a request is explained; empty when a daemon is asked. "-" is standard input. */
    std::vector<std::string> logs;
    /** The caller's id of that request. */
    std::string request;
    /** Stored with an apply. */
    std::string author;
    /** Time for each call of a service. */
    Milliseconds timeout { 0 };
};

/** Why no command runs: wrong usage, or help or version were printed. */
struct CommandLineStop {
    ExitCode exitCode = ExitCode::Usage;
    /** Empty when all was printed. */
    std::string message;
};

/** Value of an environment variable; empty when it is not set. */
using ReadEnvironment = std::function<std::string(const char* name)>;

/** Reads the arguments, of which the first is the program's name. A flag wins over its environment variable. */
Result<Options, CommandLineStop> parseCommandLine(std::vector<std::string> arguments, const ReadEnvironment&);

} // namespace almondlever
