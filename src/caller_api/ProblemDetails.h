#pragma once

#include "almondlever/entry/CallerRequest.h"
#include "almondlever/transport/HttpMessage.h"

namespace almondlever {

/** HTTP status code for an error. */
unsigned statusOf(CallerErrorCode);

/** Builds problem details (RFC 9457) with the extension member `outcome`, and Retry-After if the delay is known. */
HttpResponse problemResponse(const CallerError&, const RequestId&);
/** Same as above, with an explicit HTTP status instead of statusOf(error.code). */
HttpResponse problemResponse(const CallerError&, const RequestId&, unsigned status);

} // namespace almondlever
