#pragma once

#include "ReplicationCodec.h"
#include "almondlever/transport/HttpMessage.h"

#include <asio/io_context.hpp>
#include <functional>
#include <memory>

namespace almondlever::standin {

/** The replica's side of replication: asks a primary for a stream and reads its messages. */
class ReplicationStream {
public:
    struct Handlers {
        /** The time is a lower bound of the moment at which the primary made the message. */
        std::function<void(const ReplicationMessage&, TimePoint asOf)> onMessage;
        /** Called once when the stream ends; not after close. */
        std::function<void()> onEnd;
    };

    virtual ~ReplicationStream() = default;
    /** Ends the stream without a call. */
    virtual void close() = 0;

    /** Connects and asks for the entries that follow the common prefix. The VM is that of the replica. */
    static std::shared_ptr<ReplicationStream> open(
        asio::io_context&, const HttpAddress&, const std::string& vm, const ReplicationRequest&, Handlers);
};

} // namespace almondlever::standin
