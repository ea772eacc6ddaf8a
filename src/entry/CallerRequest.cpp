#include "almondlever/entry/CallerRequest.h"

namespace almondlever {

const char* toText(CallerErrorCode code)
{
    switch (code) {
    case CallerErrorCode::UnknownCaller:
        return "unknown_caller";
    case CallerErrorCode::UnknownDatabase:
        return "unknown_database";
    case CallerErrorCode::DatabaseNotAllowed:
        return "database_not_allowed";
    case CallerErrorCode::BadRequest:
        return "bad_request";
    case CallerErrorCode::BadSessionToken:
        return "bad_session_token";
    case CallerErrorCode::NotReady:
        return "not_ready";
    case CallerErrorCode::Overloaded:
        return "overloaded";
    case CallerErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case CallerErrorCode::Unavailable:
        return "unavailable";
    case CallerErrorCode::NotConfirmed:
        return "not_confirmed";
    case CallerErrorCode::TransactionLost:
        break;
    }
    return "transaction_lost";
}

} // namespace almondlever
