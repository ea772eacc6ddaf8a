#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondlever::standin {

/** One entry of a database log: a write, or the marker that opens a term. */
struct LogEntry {
    LogPosition position;
    bool isMarker = false;
    std::string key;
    std::string value;
    /** Request that made the entry; equal for all entries of a transaction, empty for a marker. */
    RequestId requestId;
    /** Number of entries of the same transaction that follow; logs are cut and replicated only where it is zero. */
    std::uint32_t remaining = 0;
};

/** Log of one database server with the data and request results that follow from it. Indices count from 1. */
class DatabaseLog {
public:
    /** Position of the last entry; (0, 0) for an empty log. */
    LogPosition end() const { return termEnds_.empty() ? LogPosition {} : termEnds_.back(); }
    const std::vector<LogEntry>& entries() const { return entries_; }
    /** Last position of each term that the log contains, ascending. */
    const std::vector<LogPosition>& termEnds() const { return termEnds_; }

    /** Appends an entry whose index follows the last and whose term is not lower. */
    void append(LogEntry);
    /** Drops the entries with an index above the given one. */
    void truncate(std::uint64_t index);
    /**
     * Length of the common prefix with a log of which the term ends are given. Two logs that share an entry (term,
     * index) are equal up to it, so the last shared term decides.
     */
    std::uint64_t commonIndex(const std::vector<LogPosition>& otherTermEnds) const;

    /** Current value of a key; null when it does not exist. */
    const std::string* find(const std::string& key) const;
    /** Position of the last entry that a request made; nullopt when the request is not in the log. */
    std::optional<LogPosition> resultOf(const RequestId&) const;
    /** Requests that the log contains more than once, with their counts. */
    std::map<std::string, std::size_t> repeatedRequests() const;

private:
    struct RequestResult {
        LogPosition position;
        std::size_t executions = 0;
    };

    void index(const LogEntry&);

    std::vector<LogEntry> entries_;
    std::vector<LogPosition> termEnds_;
    std::unordered_map<std::string, std::string> data_;
    std::unordered_map<std::string, RequestResult> requests_;
};

} // namespace almondlever::standin
