#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Outcome.h"
#include "almondlever/common/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::load {

enum class OperationType { Read, Write, Begin, Commit, Rollback, FinalRead };

/** Stable text used in history files: "read", "write", "begin", "commit", "rollback" or "final_read". */
const char* toText(OperationType);

/** One attempt of one request as its caller saw it. Times count from the start of the run. */
struct Operation {
    /** Unique in a history; rises within a session. */
    std::uint64_t number = 0;
    /** Number of the first attempt of the same request; equal to `number` on a first attempt. */
    std::uint64_t firstAttempt = 0;
    std::string caller;
    std::string session;
    std::string rank;
    std::string phase;
    std::string database;
    std::string daemon;
    OperationType type = OperationType::Read;
    std::string key;
    /** Value written, or the value that a read returned; none for a missing key. */
    std::optional<std::string> value;
    std::string idempotencyKey;
    /** Label of the transaction, unique in a history; empty outside transactions. */
    std::string transaction;
    Microseconds sentAt { 0 };
    Microseconds answeredAt { 0 };
    /** True when the answer was a success (status 200). */
    bool isAcknowledged = false;
    Outcome outcome = Outcome::Unknown;
    /** HTTP status; 0 when no answer came. */
    unsigned status = 0;
    /** Title of the problem, or the reason why no answer came. */
    std::string problem;
    /** Zero term when the answer told none. */
    LogPosition position;
    bool isFromReplica = false;
    bool isDuplicate = false;
    std::string requestId;
    /** True when the session's newest token went with the request. */
    bool isTokenSent = false;
    /** True when the caller's rules promise that a session reads its own writes even without a token. */
    bool readsOwnWrites = false;
    /** False when the answer carried the traceparent of another request. */
    bool hasMatchingTrace = true;
    /** When the answer said to come back; zero when it did not say. */
    Milliseconds retryAfter { 0 };
};

/** One entry of a database server's log, as the stand-in lists it. */
struct LoggedEntry {
    LogPosition position;
    std::string key;
    std::string requestId;
    bool isMarker = false;
};

/** The log of one server at the end of a run. */
struct LogDump {
    std::string database;
    std::string endpoint;
    std::vector<LoggedEntry> entries;
};

/** A fault as it was carried out. */
struct FaultRecord {
    std::string description;
    Microseconds at { 0 };
    /** Databases concerned; empty means all. */
    std::string database;
    /** Why it could not be carried out; empty when it was. */
    std::string error;
};

/** All that a run recorded. */
struct History {
    std::vector<Operation> operations;
    std::vector<LogDump> logs;
    std::vector<FaultRecord> faults;
};

} // namespace almondlever::load
