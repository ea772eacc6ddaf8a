#pragma once

#include "ConfigurationCommands.h"
#include "almondlever/transport/HttpClient.h"

namespace almondlever {

/** Asks a daemon for its status, or to explain a routing decision, and prints the answer. */
void runDaemonQuery(const Options&, HttpClient&, OutputStreams, const CommandDone&);

/** Prints a daemon's answer, or why there is none. */
ExitCode reportDaemonAnswer(const Options&, const HttpResult&, OutputStreams);

} // namespace almondlever
