#pragma once

#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace almondlever {

/** What a caller asks for inside a session. */
enum class StatementKind {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    /** Runs a statement that the session prepared. */
    Execute,
    Deallocate,
    /** Could not be understood. */
    Malformed,
};

/** "begin", "commit", "read" and so on, for logs. */
const char* toText(StatementKind);

/** One statement of a session as the caller sent it. */
struct Statement {
    /** The caller's id of the request; the endpoint sees the same. */
    std::string id;
    StatementKind kind = StatementKind::Malformed;
    /** The whole statement, forwarded unchanged. */
    std::string text;
    /** Name of the session value, or of the prepared statement. */
    std::string name;
    /** SetValue: the value. Prepare: the shape. Execute: item and data. */
    std::string argument;
    /** Prepare: true when the shape writes. */
    bool isWriteShape = false;
};

/** Why a statement got no success. */
enum class StatementError {
    /** Not run; the endpoint or the proxy has no room. */
    Busy,
    /** Not run; the replica's log does not contain the asked position. */
    Lagging,
    /** Not run; the endpoint does not lead its group. */
    ReadOnly,
    /** Not run; another endpoint than the expected one answered. */
    Misrouted,
    /** Not run; the endpoint has too many connections. */
    TooManyConnections,
    /** Not run; the connection has no prepared statement of that name. */
    UnknownStatement,
    /** Ran and failed. */
    Failed,
    /** Ran or may still run; the answer took too long. */
    TimedOut,
    NotAuthorized,
    UnknownDatabase,
    TooBig,
    Malformed,
    /** The transaction was rolled back as a whole. */
    Aborted,
    /** May have run. */
    Unknown,
};

/** "busy", "lagging" and so on, for logs and metrics. */
const char* toText(StatementError);

/** True when the error promises that the statement had no effect. */
bool isPromiseOfNoEffect(StatementError);

/** State of a session or of an endpoint connection after a statement. */
enum class TransactionState {
    None,
    Open,
    /** A statement failed; only the end of the transaction is accepted. */
    Failed,
};

/** An endpoint's answer to a status query or to an order about its replication. */
struct EndpointReplicationStatus {
    bool isPrimary = false;
    /** Newest term that the endpoint knows. */
    Term term = 0;
    /** Last position that it received, applied or not. */
    LogPosition received;
};

/** Answer to one statement. */
struct Reply {
    std::vector<std::string> rows;
    /** Empty on success. */
    std::optional<StatementError> error;
    /** Success: the endpoint's signature, or "-" for answers of the proxy. Error: explanation. */
    std::string detail;
    TransactionState state = TransactionState::None;
    /** The log position that the answering endpoint told. */
    std::optional<LogPosition> position;
    /** Answers to commands about replication only. */
    std::optional<EndpointReplicationStatus> replication;
};

} // namespace almondlever
