#pragma once

#include "ConfigurationCommands.h"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace almondlever {

/** One line of a daemon's log. */
struct LogLine {
    /** The daemon that wrote it: what stands before the line, else the name of the file. */
    std::string source;
    /** As written; lines of one day sort by it. */
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
};

/** Reads the lines of one log; what is no line of a daemon is left out. */
std::vector<LogLine> readLogLines(std::istream&, const std::string& source);

/**
 * The path of one request: every decision about it, and what happened meanwhile to its group, to its endpoints and to
 * the daemons that handled it. In order of time.
 */
std::vector<LogLine> explainRequest(const std::vector<LogLine>&, const std::string& request);

/** One line each; decisions about the request are marked with ">". */
void printExplanation(const std::vector<LogLine>&, const std::string& request, std::ostream&);

/** Explains a request from the logs that the options name; refused when no line of them is about it. */
ExitCode runExplainLogs(const Options&, OutputStreams);

} // namespace almondlever
