#include "almondlever/pooling/EndpointLink.h"

namespace almondlever {

const char* toText(EndpointCommand::Kind kind)
{
    switch (kind) {
    case EndpointCommand::Kind::Forward:
        return "forward";
    case EndpointCommand::Kind::ForwardPrepared:
        return "forward_prepared";
    case EndpointCommand::Kind::Begin:
        return "begin";
    case EndpointCommand::Kind::BeginReadOnly:
        return "begin_read_only";
    case EndpointCommand::Kind::Rollback:
        return "rollback";
    case EndpointCommand::Kind::SetValue:
        return "set";
    case EndpointCommand::Kind::Prepare:
        return "prepare";
    case EndpointCommand::Kind::Reset:
        return "reset";
    case EndpointCommand::Kind::QueryStatus:
        return "query_status";
    case EndpointCommand::Kind::PauseReplication:
        return "pause_replication";
    case EndpointCommand::Kind::ResumeReplication:
        return "resume_replication";
    case EndpointCommand::Kind::StepDown:
        break;
    }
    return "step_down";
}

} // namespace almondlever
