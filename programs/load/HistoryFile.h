#pragma once

#include "Operation.h"
#include "almondlever/common/Finding.h"
#include "almondlever/common/Result.h"

#include <fstream>
#include <mutex>
#include <string>

namespace almondlever::load {

/**
 * Writes a history as JSON lines. Each line is an object whose member "record" is "operation", "log" or "fault"; times
 * are in microseconds from the start of the run. May be used from several threads.
 */
class HistoryWriter {
public:
    /** An empty path writes nothing. */
    explicit HistoryWriter(const std::string& path);

    void write(const Operation&);
    void write(const LogDump&);
    void write(const FaultRecord&);
    /** False after a failed write, for example on a full disk. */
    bool isGood() const;

private:
    void writeLine(const std::string& line);

    mutable std::mutex mutex_;
    std::ofstream file_;
    bool isUsed_;
};

/** Reads a history back; every line that cannot be read is a finding. */
Result<History, Findings> readHistory(const std::string& path);

} // namespace almondlever::load
