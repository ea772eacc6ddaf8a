#pragma once

#include "almondlever/endpoints/EndpointMessages.h"
#include "almondlever/transport/HttpMessage.h"

#include <string>

namespace almondlever {

/**
 * JSON of the HTTP endpoint contract, shared by the adapter and the stand-in.
 *
 * @see docs/ENDPOINT_CONTRACT.md
 */
std::string encodeStatement(const EndpointStatement&);
Result<EndpointStatement, std::string> decodeStatement(const std::string& body);

HttpResponse encodeReply(const EndpointReply&);
HttpResponse encodeStatus(const EndpointStatus&);
HttpResponse encodeError(const EndpointError&);

/** Reads the answer to a statement. An answer that cannot be read leaves the outcome unknown. */
EndpointResult<EndpointReply> decodeReply(const HttpResult&);
/** Reads the answer to a control operation. */
EndpointResult<EndpointStatus> decodeStatus(const HttpResult&);

} // namespace almondlever
