#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace almondlever {

/** Log level and destination of a program. */
struct LogSettings {
    /** "debug", "info", "warn" or "error". */
    std::string level = "info";
    /** Path of the log file; if empty, lines go to standard output without blocking on its reader. */
    std::string file;
};

/** Configures log4cxx to write one key=value line per event. Returns an error message, or "" on success. */
std::string configureLog(const LogSettings&);

/** Writes all buffered lines. Call it before the process exits; nothing is logged afterwards. */
void flushLog();

/** One key=value pair of a log line. */
using LogField = std::pair<std::string_view, std::string_view>;

/** Writes a line about the program itself at level info, warn or error. */
void logInfo(std::string_view event, std::initializer_list<LogField>);
void logWarning(std::string_view event, std::initializer_list<LogField>);
void logError(std::string_view event, std::initializer_list<LogField>);

/**
 * Writes one line for each routing or placement decision.
 *
 * Token buckets limit the rate of lines. The most urgent rank has its own, larger bucket, so that a flood of lower
 * ranks cannot displace its lines. The number of suppressed lines is logged.
 */
class DecisionLog {
public:
    /** Ratio of the line rate of the most urgent rank to that of all others. */
    static constexpr double urgentFactor = 10;

    explicit DecisionLog(double linesPerSecond);

    /** Returns true and consumes a token if a line for this rank may be written now. Call before formatting the fields.
     */
    bool admits(std::size_t rank, TimePoint now);
    /** Writes a decision without checking the limit. */
    void write(std::string_view decision, std::initializer_list<LogField>);
    /** Returns the number of lines suppressed since the last call and resets it. */
    std::uint64_t takeSuppressedCount();

private:
    struct Bucket {
        /** Lines per second, and also the largest burst in lines. */
        double rate = 0;
        double tokens = 0;
        TimePoint refilledAt {};
    };

    Bucket urgent_;
    Bucket others_;
    std::uint64_t suppressed_ = 0;
};

} // namespace almondlever
