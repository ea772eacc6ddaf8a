#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Outcome.h"
#include "almondlever/common/Result.h"
#include "almondlever/common/Time.h"

#include <optional>
#include <string>

namespace almondlever {

enum class OperationKind {
    Read,
    Write,
};

/** "read" or "write". */
const char* toText(OperationKind);

enum class EndpointRole {
    Primary,
    Replica,
};

/** "primary" or "replica". */
const char* toText(EndpointRole);

/** The right to send statements to an endpoint. The server refuses statements under an older epoch. */
struct EndpointClaim {
    std::uint64_t epoch = 0;
    VmId owner;
};

/** A statement as sent to an endpoint. */
struct EndpointStatement {
    RequestId requestId;
    OperationKind kind = OperationKind::Read;
    std::string key;
    /** New value of a write. */
    std::string value;
    /** Claim under which the statement is sent. */
    std::uint64_t claimEpoch = 0;
    /** Term under which a write may run; zero for reads. */
    Term term = 0;
    /** A read is refused with Behind if the server has not reached this position. */
    LogPosition minimumPosition;
    /** A read is refused with TooStale if the replica's staleness exceeds this; nullopt means no limit. */
    std::optional<Milliseconds> maximumStaleness;
};

/** Reply to a statement that ran. */
struct EndpointReply {
    /** Position of the write, or the position that a read observed. Zero inside a transaction before its commit. */
    LogPosition position;
    /** Value read; nullopt when the key does not exist. */
    std::optional<std::string> value;
    /** True if the request id was in the log already; the reply then repeats the first result. */
    bool isDuplicate = false;
    EndpointRole role = EndpointRole::Replica;
    /** Time since the replica was last caught up with its primary; zero on a primary. */
    Milliseconds staleness { 0 };
};

enum class EndpointErrorCode {
    /** The connection could not be opened or was lost. */
    ConnectionLost,
    TimedOut,
    /** The server promised a later term or follows another primary. */
    NotPrimary,
    /** The claim epoch is not the current one. */
    ClaimLost,
    /** The replica has not reached the minimum position. */
    Behind,
    TooStale,
    /** All slots or connections of the server are in use. */
    Busy,
    /** The transaction no longer exists. */
    TransactionLost,
    /** The server promised the same or a later term to another proposer. */
    TermRefused,
    /** The server rejected the request as malformed. */
    Rejected,
};

const char* toText(EndpointErrorCode);

struct EndpointError {
    EndpointErrorCode code = EndpointErrorCode::ConnectionLost;
    Outcome outcome = Outcome::Unknown;
    std::string detail;
    /** The server's promised term if it reported one, otherwise zero. */
    Term term = 0;
};

/** State that an endpoint server reports. */
struct EndpointStatus {
    EndpointId endpoint;
    EndpointRole role = EndpointRole::Replica;
    /** Highest term that the server has promised; it refuses writes and replication of older terms. */
    Term promisedTerm = 0;
    /** Last entry of the log. */
    LogPosition logEnd;
    /** Endpoint that this replica follows; empty on a primary or if it follows none. */
    EndpointId following;
    EndpointClaim claim;
    Milliseconds staleness { 0 };
    std::size_t openConnections = 0;
};

template <typename Value> using EndpointResult = Result<Value, EndpointError>;

} // namespace almondlever
