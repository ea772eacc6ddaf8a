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
    /** Path of a file; empty writes to standard output. */
    std::string file;
};

/** Sets log4cxx up: one line for each event, key=value. Returns why the settings cannot be used, else "". */
std::string configureLog(const LogSettings&);

/** One key=value pair of a log line. */
using LogField = std::pair<std::string_view, std::string_view>;

/** Writes a line about the program itself at level info, warn or error. */
void logInfo(std::string_view event, std::initializer_list<LogField>);
void logWarning(std::string_view event, std::initializer_list<LogField>);
void logError(std::string_view event, std::initializer_list<LogField>);

/**
 * Writes one line for each routing or placement decision.
 *
 * Lines of the most urgent rank and of placement are always written. Those of the other ranks are bounded by a token
 * bucket, so that a flood of lower ranks cannot fill the log; a line says how many were left out.
 */
class DecisionLog {
public:
    explicit DecisionLog(double linesPerSecond);

    /** True when a line for this rank may be written now; counts a token. Call before formatting the fields. */
    bool admits(std::size_t rank, TimePoint now);
    /** Writes a decision. */
    void write(std::string_view decision, std::initializer_list<LogField>);
    /** Lines left out since the last report; resets the count. */
    std::uint64_t takeSuppressedCount();

private:
    double linesPerSecond_;
    double tokens_;
    TimePoint refilledAt_;
    std::uint64_t suppressed_ = 0;
};

} // namespace almondlever
