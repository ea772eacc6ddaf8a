#pragma once

#include "almondlever/entry/CallerRequest.h"
#include "almondlever/transport/HttpMessage.h"

namespace almondlever {

/** HTTP status that fits an error. */
unsigned statusOf(CallerErrorCode);

/** Problem details (RFC 9457) with the member `outcome`, and Retry-After where a time is known. */
HttpResponse problemResponse(const CallerError&, const RequestId&);
/** The same with another HTTP status than the usual one of the error. */
HttpResponse problemResponse(const CallerError&, const RequestId&, unsigned status);

} // namespace almondlever
