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

/** A caller's request as received, before it is checked against the configuration. */
struct CallerRequest {
    ForwardKind kind = ForwardKind::Statement;
    CallerId caller;
    DatabaseId database;
    OperationKind operation = OperationKind::Read;
    std::string key;
    std::string value;
    TransactionId transaction;
    /** Empty when the request has no Idempotency-Key. */
    std::string idempotencyKey;
    /** False when the caller does not allow the request to be sent more than once. */
    bool isRepeatable = true;
    std::string sessionToken;
    /** Requested deadline; nullopt selects that of the rank. */
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

/** Returns a name that is part of the API, such as "unknown_caller". */
const char* toText(CallerErrorCode);

struct CallerError {
    CallerErrorCode code = CallerErrorCode::Unavailable;
    Outcome outcome = Outcome::Unknown;
    std::string detail;
    /** Suggested delay before a retry; zero means no suggestion. */
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
    /** Token to send with the session's next request; when empty, the caller's current token stays valid. */
    std::string sessionToken;
    RequestId requestId;
};

using CallerCallback = std::function<void(CallerReply)>;

/** Handles callers' requests; the callback is called exactly once, on the traffic thread. */
class CallerRequestHandler {
public:
    virtual ~CallerRequestHandler() = default;
    virtual void handle(CallerRequest, TimePoint now, CallerCallback) = 0;
};

} // namespace almondlever
