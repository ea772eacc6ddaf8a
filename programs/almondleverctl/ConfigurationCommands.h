#pragma once

#include "CommandLine.h"
#include "almondlever/control/ConfigurationStore.h"

#include <functional>
#include <iosfwd>

namespace almondlever {

/** Output streams for a command's result and errors. */
struct OutputStreams {
    std::ostream& out;
    std::ostream& error;
};

/** Invoked exactly once, when the command has finished. */
using CommandDone = std::function<void(ExitCode)>;

/** Checks the files and prints all findings. */
ExitCode runValidate(const Options&, OutputStreams);

/** Prints what an apply of the files would change. The store must outlive the command. */
void runPlan(const Options&, ConfigurationStore&, OutputStreams, const CommandDone&);

/** Prints what changes, applies the files, and deletes parts that are no longer used. */
void runApply(
    const Options&, ConfigurationStore&, const std::string& applyId, WallTime now, OutputStreams, const CommandDone&);

} // namespace almondlever
