#pragma once

#include "ConfigurationCommands.h"
#include "almondlever/transport/HttpClient.h"

namespace almondlever {

/** Requests a daemon's status or the explanation of a routing decision, and prints the response. */
void runDaemonQuery(const Options&, HttpClient&, OutputStreams, const CommandDone&);

/** Prints a daemon's response, or why there is none. */
ExitCode reportDaemonAnswer(const Options&, const HttpResult&, OutputStreams);

} // namespace almondlever
