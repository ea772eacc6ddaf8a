#pragma once

#include "almondlever/endpoints/EndpointMessages.h"
#include "almondlever/transport/HttpMessage.h"

#include <string>

namespace almondlever {

/**
 * JSON encoding of the HTTP endpoint contract, used by the adapter and the stand-in.
 *
 * @see docs/ENDPOINT_CONTRACT.md
 */
std::string encodeStatement(const EndpointStatement&);
Result<EndpointStatement, std::string> decodeStatement(const std::string& body);

HttpResponse encodeReply(const EndpointReply&);
HttpResponse encodeStatus(const EndpointStatus&);
HttpResponse encodeError(const EndpointError&);

/** Decodes the reply to a statement. A reply that cannot be decoded leaves the outcome unknown. */
EndpointResult<EndpointReply> decodeReply(const HttpResult&);
/** Decodes the reply to a control operation. */
EndpointResult<EndpointStatus> decodeStatus(const HttpResult&);

} // namespace almondlever
