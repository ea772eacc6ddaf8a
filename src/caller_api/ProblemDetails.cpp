#include "ProblemDetails.h"

#include <nlohmann/json.hpp>

namespace almondlever {

unsigned statusOf(CallerErrorCode code)
{
    switch (code) {
    case CallerErrorCode::UnknownCaller:
    case CallerErrorCode::DatabaseNotAllowed:
        return 403;
    case CallerErrorCode::UnknownDatabase:
        return 404;
    case CallerErrorCode::BadRequest:
    case CallerErrorCode::BadSessionToken:
        return 400;
    case CallerErrorCode::TransactionLost:
        return 409;
    case CallerErrorCode::Overloaded:
        return 429;
    case CallerErrorCode::DeadlineExceeded:
    case CallerErrorCode::NotConfirmed:
        return 504;
    case CallerErrorCode::NotReady:
    case CallerErrorCode::Unavailable:
        break;
    }
    return 503;
}

HttpResponse problemResponse(const CallerError& error, const RequestId& requestId)
{
    return problemResponse(error, requestId, statusOf(error.code));
}

HttpResponse problemResponse(const CallerError& error, const RequestId& requestId, unsigned status)
{
    nlohmann::json body { { "type", std::string("urn:almondlever:problem:") + toText(error.code) },
        { "title", toText(error.code) }, { "status", status }, { "detail", error.detail },
        { "outcome", toText(error.outcome) } };
    if (!requestId.isEmpty())
        body["request_id"] = requestId.text();
    // Details may quote a caller's bytes, which need not be UTF-8.
    HttpResponse response { status, { { "Content-Type", "application/problem+json" } },
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) };
    if (error.retryAfter.count() > 0) {
        // Retry-After has whole seconds, rounded up; a second header has the exact milliseconds.
        response.headers.emplace_back("Retry-After", std::to_string((error.retryAfter.count() + 999) / 1000));
        response.headers.emplace_back("Almondlever-Retry-After-Ms", std::to_string(error.retryAfter.count()));
    }
    return response;
}

} // namespace almondlever
