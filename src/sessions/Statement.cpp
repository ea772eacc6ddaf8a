#include "almondlever/sessions/Statement.h"

namespace almondlever {

const char* toText(StatementKind kind)
{
    switch (kind) {
    case StatementKind::Begin:
        return "begin";
    case StatementKind::BeginReadOnly:
        return "begin_read_only";
    case StatementKind::Commit:
        return "commit";
    case StatementKind::Rollback:
        return "rollback";
    case StatementKind::Read:
        return "read";
    case StatementKind::Write:
        return "write";
    case StatementKind::SetValue:
        return "set";
    case StatementKind::Prepare:
        return "prepare";
    case StatementKind::Execute:
        return "execute";
    case StatementKind::Deallocate:
        return "deallocate";
    case StatementKind::Malformed:
        break;
    }
    return "malformed";
}

const char* toText(StepDownResult result)
{
    switch (result) {
    case StepDownResult::Answered:
        return "answered";
    case StepDownResult::NotSupported:
        return "not_supported";
    case StepDownResult::Unreachable:
        break;
    }
    return "unreachable";
}

const char* toText(StatementError error)
{
    switch (error) {
    case StatementError::Busy:
        return "busy";
    case StatementError::Lagging:
        return "lagging";
    case StatementError::ReadOnly:
        return "read_only";
    case StatementError::Misrouted:
        return "misrouted";
    case StatementError::TooManyConnections:
        return "too_many_connections";
    case StatementError::UnknownStatement:
        return "unknown_statement";
    case StatementError::Failed:
        return "failed";
    case StatementError::TimedOut:
        return "timed_out";
    case StatementError::NotAuthorized:
        return "not_authorized";
    case StatementError::UnknownDatabase:
        return "unknown_database";
    case StatementError::TooBig:
        return "too_big";
    case StatementError::Malformed:
        return "malformed";
    case StatementError::Aborted:
        return "aborted";
    case StatementError::Unknown:
        break;
    }
    return "unknown";
}

const char* toText(TransactionState state)
{
    switch (state) {
    case TransactionState::None:
        return "none";
    case TransactionState::Open:
        return "open";
    case TransactionState::Failed:
        break;
    }
    return "failed";
}

bool guaranteesNoEffect(StatementError error)
{
    switch (error) {
    case StatementError::Busy:
    case StatementError::Lagging:
    case StatementError::ReadOnly:
    case StatementError::Misrouted:
    case StatementError::TooManyConnections:
    case StatementError::UnknownStatement:
    case StatementError::Aborted:
        return true;
    default:
        return false;
    }
}

} // namespace almondlever
