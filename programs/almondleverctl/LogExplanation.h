#pragma once

#include "ConfigurationCommands.h"

#include <iosfwd>
#include <map>
#include <string>
#include <vector>

namespace almondlever {

/** One line of a daemon's log. */
struct LogLine {
    /** The daemon that wrote the line: the word before "time=", else the file name. */
    std::string source;
    /** Timestamp as logged; lines of the same day are sorted by it. */
    std::string time;
    std::string event;
    std::map<std::string, std::string> fields;
};

/** Parses the lines of one log and skips lines that no daemon wrote. */
std::vector<LogLine> readLogLines(std::istream&, const std::string& source);

/**
 * Returns every decision about a request, and the events around that time that concern its database group, its
 * endpoints or the daemons that handled it, in chronological order.
 */
std::vector<LogLine> explainRequest(const std::vector<LogLine>&, const std::string& request);

/** Prints one line per log line; decisions about the request are marked with ">". */
void printExplanation(const std::vector<LogLine>&, const std::string& request, std::ostream&);

/** Explains a request from the logs in the options; returns Refused if no line concerns it. */
ExitCode runExplainLogs(const Options&, OutputStreams);

} // namespace almondlever
