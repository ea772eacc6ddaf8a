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

/** Right to send statements to an endpoint; the server refuses statements under an older epoch. */
struct EndpointClaim {
    std::uint64_t epoch = 0;
    VmId owner;
};

/** One statement as sent to an endpoint. */
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
    /** A read is refused as Behind when the server has not reached this position. */
    LogPosition minimumPosition;
    /** A read is refused as TooStale when a replica was last level with its primary longer ago; nullopt is no bound. */
    std::optional<Milliseconds> maximumStaleness;
};

/** Answer to a statement that ran. */
struct EndpointReply {
    /** Position of the write, or position that a read saw. Zero inside a transaction before commit. */
    LogPosition position;
    /** Value read; nullopt when the key does not exist. */
    std::optional<std::string> value;
    /** True when the request id was in the log already and the first result is returned. */
    bool isDuplicate = false;
    EndpointRole role = EndpointRole::Replica;
    /** Time since a replica was last level with its primary; zero on a primary. */
    Milliseconds staleness { 0 };
};

enum class EndpointErrorCode {
    /** The connection could not be opened or broke. */
    ConnectionLost,
    TimedOut,
    /** The server promised a later term or follows another primary. */
    NotPrimary,
    /** The claim epoch is not the current one. */
    ClaimLost,
    /** The replica has not reached the minimum position. */
    Behind,
    TooStale,
    /** All slots or connections of the server are taken. */
    Busy,
    /** The transaction does not exist any more. */
    TransactionLost,
    /** The server promised the same or a later term to another proposer. */
    TermRefused,
    /** The server rejects the request as malformed. */
    Rejected,
};

const char* toText(EndpointErrorCode);

struct EndpointError {
    EndpointErrorCode code = EndpointErrorCode::ConnectionLost;
    Outcome outcome = Outcome::Unknown;
    std::string detail;
    /** Promised term of the server when it told it, else zero. */
    Term term = 0;
};

/** State of an endpoint server as it reports it. */
struct EndpointStatus {
    EndpointId endpoint;
    EndpointRole role = EndpointRole::Replica;
    /** Highest term that the server promised; it refuses writes and replication of older terms. */
    Term promisedTerm = 0;
    /** Last entry of the log. */
    LogPosition logEnd;
    /** Endpoint that this replica follows; empty on a primary or when it follows none. */
    EndpointId following;
    EndpointClaim claim;
    Milliseconds staleness { 0 };
    std::size_t openConnections = 0;
};

template <typename Value> using EndpointResult = Result<Value, EndpointError>;

} // namespace almondlever
