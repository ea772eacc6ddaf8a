#pragma once

#include "almondlever/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace almondlever {

/** How a program logs. */
struct LogSettings {
    /** "debug", "info", "warn" or "error". */
    std::string level = "info";
    /** Path of a file; empty writes to standard output, without ever waiting for its reader. */
    std::string file;
};

/** Sets log4cxx up: one line for each event, key=value. Returns why the settings cannot be used, else "". */
std::string configureLog(const LogSettings&);

/** Writes the lines that wait; to be called before the process ends. Nothing is logged after it. */
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
 * Lines are bounded by token buckets. The most urgent rank has a larger one of its own, so that a flood of lower ranks
 * cannot displace its lines; a line says how many were left out.
 */
class DecisionLog {
public:
    /** Lines of the most urgent rank for each line of the others. */
    static constexpr double urgentFactor = 10;

    explicit DecisionLog(double linesPerSecond);

    /** True when a line for this rank may be written now; counts a token. Call before formatting the fields. */
    bool admits(std::size_t rank, TimePoint now);
    /** Writes a decision. */
    void write(std::string_view decision, std::initializer_list<LogField>);
    /** Lines left out since the last report; resets the count. */
    std::uint64_t takeSuppressedCount();

private:
    struct Bucket {
        /** Lines a second, and the most lines of a burst. */
        double rate = 0;
        double tokens = 0;
        TimePoint refilledAt {};
    };

    Bucket urgent_;
    Bucket others_;
    std::uint64_t suppressed_ = 0;
};

} // namespace almondlever
