#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/wire/Messages.h"

#include <functional>

namespace almondlever {

/** Sends requests to the daemon that serves an endpoint, which may be this one. */
class Forwarder {
public:
    using ReplyCallback = std::function<void(ForwardReply, TimePoint now)>;

    virtual ~Forwarder() = default;

    /**
     * Sends a request to a daemon. The callback is called exactly once: with the daemon's reply, or with an error whose
     * outcome is NotRun when the request was certainly not sent, or Unknown when the deadline passed or the channel
     * failed.
     */
    virtual void forward(const VmId& owner, ForwardRequest, TimePoint deadline, ReplyCallback) = 0;
};

} // namespace almondlever
