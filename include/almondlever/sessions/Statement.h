#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** Kinds of statements in a session. */
enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    /** Runs a prepared statement of the session. */
    Execute,
    Deallocate,
    /** Could not be parsed. */
    Malformed,
};

/** Returns "begin", "commit", "read" and so on, for logs. */
const char* toText(StatementKind);

/** One statement of a session as the caller sent it. */
struct Statement {
    /** The caller's id of the request, also sent to the endpoint. */
    std::string id;
    StatementKind kind = StatementKind::Malformed;
    /** The whole statement, forwarded unchanged. */
    std::string text;
    /** Name of the session value, or of the prepared statement. */
    std::string name;
    /** The value for SetValue, the shape (the text to prepare) for Prepare, the item and data for Execute. */
    std::string argument;
    /** For Prepare: true if the shape is a write. */
    bool isWriteShape = false;
};

/** Why a statement did not succeed. */
enum class StatementError {
    /** Not run; the endpoint or the proxy has no capacity for it. */
    Busy,
    /** Not run; the replica's log does not contain the required position. */
    Lagging,
    /** Not run; the endpoint is not the primary of its group. */
    ReadOnly,
    /** Not run; an endpoint other than the expected one answered. */
    Misrouted,
    /** Not run; the endpoint has too many connections. */
    TooManyConnections,
    /** Not run; the connection or the session has no prepared statement of that name. */
    UnknownStatement,
    /** Ran and failed. */
    Failed,
    /** Ran or may still run; the answer took too long. */
    TimedOut,
    NotAuthorized,
    UnknownDatabase,
    TooBig,
    Malformed,
    /** The whole transaction was rolled back. */
    Aborted,
    /** May have run. */
    Unknown,
};

/** Returns "busy", "lagging" and so on, for logs and metrics. */
const char* toText(StatementError);

/** Returns true if the error guarantees that the statement had no effect. */
bool guaranteesNoEffect(StatementError);

/** Transaction state of a session or of an endpoint connection after a statement. */
enum class TransactionState {
    None,
    Open,
    /** A statement failed; the transaction can only be ended. */
    Failed,
};

/** "none", "open" or "failed". */
const char* toText(TransactionState);

/** An endpoint's answer to a status query or a replication command. */
struct EndpointReplicationStatus {
    bool isPrimary = false;
    /** Highest term that the endpoint knows. */
    Term term = 0;
    /** Last position that it received, whether applied or not. */
    LogPosition received;
};

/** Result of ordering an endpoint to step down as primary. */
enum class StepDownResult {
    /** The endpoint answered; its status tells whether it still is the primary. */
    Answered,
    /** The endpoint answered that it does not know the order. */
    NotSupported,
    /** The endpoint was not reached, or its answer is missing. */
    Unreachable,
};

/** "answered", "not_supported" or "unreachable". */
const char* toText(StepDownResult);

/** What one or several daemons learned when they ordered an endpoint to step down. */
struct StepDownReport {
    StepDownResult result = StepDownResult::Unreachable;
    /** Only valid for Answered. */
    EndpointReplicationStatus status;
};

/** Answer to one statement. */
struct Reply {
    std::vector<std::string> rows;
    /** nullopt on success. */
    std::optional<StatementError> error;
    /** On success the endpoint's signature, or "-" if the proxy answered itself. On error an explanation. */
    std::string detail;
    TransactionState state = TransactionState::None;
    /** The log position that the answering endpoint reported. */
    std::optional<LogPosition> position;
    /** Set only in answers to replication commands. */
    std::optional<EndpointReplicationStatus> replication;
};

} // namespace almondlever
