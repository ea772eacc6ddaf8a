#include "LogExplanation.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace almondlever {

namespace {

    /** Events up to this long before the request's first decision are included; a change of primary takes less. */
    constexpr double secondsBeforeRequest = 3;
    /** Events up to this long after the last decision are included: daemons detect the loss of an endpoint within this
     * time of each other. */
    constexpr double secondsAfterRequest = 0.3;
    constexpr double secondsPerMinute = 60;
    constexpr double secondsPerHour = 3600;

    /** Events about a daemon as a whole. */
    const std::set<std::string> processEvents { "start", "stop_begins", "stop_ends", "process_stalled", "store_lost",
        "store_returned", "configuration_in_force", "peer_lost", "decision_lines_left_out" };

    /** Events about endpoints that every daemon logs. */
    const std::set<std::string> sharedEndpointEvents { "endpoint_entry", "endpoint_lapsed", "endpoint_gone",
        "primary_believed", "endpoint_connection_lost" };

    /** Seconds since midnight of "2026-12-04T06:55:38.553". */
    double secondsOf(const std::string& time)
    {
        const std::size_t clock = time.find('T');
        if (clock == std::string::npos || time.size() < clock + 9)
            return 0;
        return std::stod(time.substr(clock + 1, 2)) * secondsPerHour
            + std::stod(time.substr(clock + 4, 2)) * secondsPerMinute + std::stod(time.substr(clock + 7));
    }

    std::string fieldOf(const LogLine& line, const std::string& name)
    {
        const auto found = line.fields.find(name);
        return found == line.fields.end() ? std::string() : found->second;
    }

    /** Parses one "name=value" or "name=\"value with blanks\"" at position `at` and advances `at` past it. */
    bool parseField(const std::string& text, std::size_t& at, std::string& name, std::string& value)
    {
        const std::size_t equals = text.find('=', at);
        if (equals == std::string::npos)
            return false;
        name = text.substr(at, equals - at);
        std::size_t end = equals + 1;
        if (end < text.size() && text[end] == '"') {
            const std::size_t close = text.find('"', end + 1);
            value = text.substr(end + 1, close == std::string::npos ? close : close - end - 1);
            end = close == std::string::npos ? text.size() : close + 1;
        } else {
            end = std::min(text.find(' ', end), text.size());
            value = text.substr(equals + 1, end - equals - 1);
        }
        at = std::min(end + 1, text.size());
        return true;
    }

    /** If a file combines the logs of several daemons, the last word before the line's "time=" is the daemon's name. */
    std::string sourceOf(const std::string& before, const std::string& file)
    {
        const std::size_t end = before.find_last_not_of(' ');
        if (end == std::string::npos)
            return file;
        const std::size_t start = before.find_last_of(' ', end);
        return before.substr(
            start == std::string::npos ? 0 : start + 1, end - (start == std::string::npos ? 0 : start + 1) + 1);
    }

} // namespace

std::vector<LogLine> readLogLines(std::istream& stream, const std::string& source)
{
    std::vector<LogLine> lines;
    std::string text;
    while (std::getline(stream, text)) {
        std::size_t at = text.find("time=");
        if (at == std::string::npos || text.find(" event=", at) == std::string::npos)
            continue;
        LogLine line;
        line.source = sourceOf(text.substr(0, at), source);
        std::string name;
        std::string value;
        while (parseField(text, at, name, value)) {
            if (name == "time")
                line.time = value;
            else if (name == "event")
                line.event = value;
            else
                line.fields[name] = value;
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

std::vector<LogLine> explainRequest(const std::vector<LogLine>& lines, const std::string& request)
{
    std::set<std::string> daemons;
    std::set<std::string> groups;
    std::set<std::string> endpoints;
    double first = 0;
    double last = 0;
    for (const LogLine& line : lines) {
        if (fieldOf(line, "request") != request)
            continue;
        const double at = secondsOf(line.time);
        const double waited = fieldOf(line, "waited_ms").empty() ? 0 : std::stod(fieldOf(line, "waited_ms")) / 1000;
        first = daemons.empty() ? at - waited : std::min(first, at - waited);
        last = std::max(last, at);
        daemons.insert(line.source);
        groups.insert(fieldOf(line, "group"));
        endpoints.insert(fieldOf(line, "endpoint"));
        endpoints.insert(fieldOf(line, "primary"));
    }
    groups.erase("");
    endpoints.erase("");
    std::vector<LogLine> found;
    std::set<std::string> shownEvents;
    for (const LogLine& line : lines) {
        const double at = secondsOf(line.time);
        const bool isOfRequest = fieldOf(line, "request") == request;
        const bool isInTimeRange
            = !daemons.empty() && at >= first - secondsBeforeRequest && at <= last + secondsAfterRequest;
        const bool isOfGroup = groups.count(fieldOf(line, "group")) > 0 && fieldOf(line, "request").empty();
        const bool isOfEndpoint = endpoints.count(fieldOf(line, "endpoint")) > 0 && fieldOf(line, "request").empty();
        const bool isOfDaemon = daemons.count(line.source) > 0 && processEvents.count(line.event) > 0;
        if (!isOfRequest && !(isInTimeRange && (isOfGroup || isOfEndpoint || isOfDaemon)))
            continue;
        // Every daemon logs the same endpoint events; each is shown once.
        const std::string eventKey = line.event + ' ' + fieldOf(line, "endpoint") + ' ' + fieldOf(line, "revision")
            + ' ' + fieldOf(line, "previous");
        const bool isSharedEvent
            = !isOfRequest && sharedEndpointEvents.count(line.event) > 0 && daemons.count(line.source) == 0;
        if (isSharedEvent && !shownEvents.insert(eventKey).second)
            continue;
        found.push_back(line);
    }
    std::stable_sort(
        found.begin(), found.end(), [](const LogLine& left, const LogLine& right) { return left.time < right.time; });
    return found;
}

void printExplanation(const std::vector<LogLine>& lines, const std::string& request, std::ostream& stream)
{
    for (const LogLine& line : lines) {
        stream << (fieldOf(line, "request") == request ? "> " : "  ") << line.time << ' ' << line.source << ' '
               << line.event;
        for (const auto& [name, value] : line.fields) {
            if (name == "level" || name == "logger" || name == "request" || value.empty())
                continue;
            const bool isPhrase = value.find(' ') != std::string::npos;
            stream << ' ' << name << '=' << (isPhrase ? "\"" + value + "\"" : value);
        }
        stream << '\n';
    }
}

ExitCode runExplainLogs(const Options& options, OutputStreams streams)
{
    std::vector<LogLine> lines;
    for (const std::string& name : options.logs) {
        std::ifstream file;
        if (name != "-")
            file.open(name);
        if (name != "-" && !file) {
            streams.error << "almondleverctl: " << name << " cannot be read\n";
            return ExitCode::Usage;
        }
        const std::vector<LogLine> read = readLogLines(name == "-" ? std::cin : file, name);
        lines.insert(lines.end(), read.begin(), read.end());
    }
    const std::vector<LogLine> path = explainRequest(lines, options.request);
    if (path.empty()) {
        streams.error << "almondleverctl: no line is about request " << options.request
                      << "; successes are sampled, and lines may have been left out under load\n";
        return ExitCode::Refused;
    }
    printExplanation(path, options.request, streams.out);
    return ExitCode::Success;
}

} // namespace almondlever
