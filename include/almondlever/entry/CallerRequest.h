#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Outcome.h"
#include "almondlever/common/Time.h"
#include "almondlever/wire/Messages.h"

#include <functional>
#include <optional>
#include <string>
#include <variant>

namespace almondlever {

/** A caller's request as it came in, before any check against the configuration. */
struct CallerRequest {
    ForwardKind kind = ForwardKind::Statement;
    CallerId caller;
    DatabaseId database;
    OperationKind operation = OperationKind::Read;
    std::string key;
    std::string value;
    TransactionId transaction;
    /** Empty without an Idempotency-Key. */
    std::string idempotencyKey;
    /** False when the caller forbids that the request is sent twice. */
    bool isRepeatable = true;
    std::string sessionToken;
    /** Wanted deadline; nullopt takes that of the rank. */
    std::optional<Milliseconds> deadline;
    std::string traceparent;
};

enum class CallerErrorCode {
    UnknownCaller,
    UnknownDatabase,
    DatabaseNotAllowed,
    BadRequest,
    BadSessionToken,
    NotReady,
    Overloaded,
    DeadlineExceeded,
    Unavailable,
    NotConfirmed,
    TransactionLost,
};

/** Stable text, such as "unknown_caller". */
const char* toText(CallerErrorCode);

struct CallerError {
    CallerErrorCode code = CallerErrorCode::Unavailable;
    Outcome outcome = Outcome::Unknown;
    std::string detail;
    /** When to come back; zero says nothing about it. */
    Milliseconds retryAfter { 0 };
};

struct CallerSuccess {
    std::optional<std::string> value;
    TransactionId transaction;
    bool isDuplicate = false;
    bool isFromReplica = false;
    LogPosition position;
    Milliseconds staleness { 0 };
};

/** Final answer to a caller's request. */
struct CallerReply {
    std::variant<CallerSuccess, CallerError> result;
    /** Token to send with the session's next request; empty leaves the caller's token as it is. */
    std::string sessionToken;
    RequestId requestId;
};

using CallerCallback = std::function<void(CallerReply)>;

/** Takes callers' requests; the callback is called exactly once, on the traffic thread. */
class CallerRequestHandler {
public:
    virtual ~CallerRequestHandler() = default;
    virtual void handle(CallerRequest, TimePoint now, CallerCallback) = 0;
};

} // namespace almondlever
