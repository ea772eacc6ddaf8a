#include "almondlever/endpoints/EndpointMessages.h"

namespace almondlever {

const char* toText(OperationKind kind) { return kind == OperationKind::Read ? "read" : "write"; }

const char* toText(EndpointRole role) { return role == EndpointRole::Primary ? "primary" : "replica"; }

const char* toText(EndpointErrorCode code)
{
    switch (code) {
    case EndpointErrorCode::ConnectionLost:
        return "connection_lost";
    case EndpointErrorCode::TimedOut:
        return "timed_out";
    case EndpointErrorCode::NotPrimary:
        return "not_primary";
    case EndpointErrorCode::ClaimLost:
        return "claim_lost";
    case EndpointErrorCode::Behind:
        return "behind";
    case EndpointErrorCode::TooStale:
        return "too_stale";
    case EndpointErrorCode::Busy:
        return "busy";
    case EndpointErrorCode::TransactionLost:
        return "transaction_lost";
    case EndpointErrorCode::TermRefused:
        return "term_refused";
    case EndpointErrorCode::Rejected:
        break;
    }
    return "rejected";
}

} // namespace almondlever
