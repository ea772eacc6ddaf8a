#pragma once

#include "almondlever/common/Result.h"
#include "almondlever/wire/Messages.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace almondlever {

/** Identity of a daemon as it presents itself to others. */
struct PeerIdentity {
    VmId id;
    FailureDomainId failureDomain;
    /** "ip:port" where others reach it. */
    std::string address;
};

/**
 * Connections to the other daemons. Opened when first used, closed after idling, opened again after a loss. Must be
 * used on the thread of its io_context.
 */
class PeerNetwork {
public:
    using MessageHandler = std::function<void(const PeerIdentity& from, Message)>;
    using LossHandler = std::function<void(const VmId& peer)>;

    virtual ~PeerNetwork() = default;

    /** Starts to accept; the error says why the address cannot be used. */
    virtual Result<Done, std::string> listen() = 0;
    /** Sends to a daemon at an address; false when it was dropped unsent because the channel is down or its buffer
     * full. */
    virtual bool send(const VmId&, const std::string& address, const Message&) = 0;
    /** Handler of received messages; called only after both sides proved the cluster key. */
    virtual void onMessage(MessageHandler) = 0;
    /** Called when the channel to a peer is lost; requests sent to it may or may not have arrived. */
    virtual void onLoss(LossHandler) = 0;
    /** Bytes sent and received so far, for the control budget. */
    virtual std::uint64_t bytesTransferred() const = 0;
    /** Closes all channels and stops to accept. */
    virtual void stop() = 0;
};

/** The websocketpp implementation. */
std::unique_ptr<PeerNetwork> makePeerNetwork(
    asio::io_context&, const PeerIdentity& self, const std::string& bindAddress, const std::string& clusterKey);

} // namespace almondlever
