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

/** Bytes sent and received on the channels, including WebSocket framing but not TCP and IP headers. */
struct PeerTraffic {
    /** Every message that is not forwarded, such as gossip and configuration, plus handshakes and pings. */
    std::uint64_t controlBytes = 0;
    /** Forwarded requests and statements with their replies. */
    std::uint64_t forwardedBytes = 0;
};

/** Time-outs and limits of the channels. */
struct PeerNetworkSettings {
    /** A peer that has not proved knowledge of the cluster key within this time is disconnected. */
    Milliseconds handshakeTimeout { 5000 };
    /** A channel without messages for this long is closed. */
    Milliseconds idleTimeout { 60000 };
    /** A channel on which nothing was received for this long is pinged. */
    Milliseconds pingInterval { 10000 };
    /** A channel that receives nothing for this long after a ping is taken for half-open and dropped. */
    Milliseconds pongTimeout { 5000 };
    /** Initial and longest delay before reconnecting to a peer; the delay doubles with each failure. */
    Milliseconds firstRetryDelay { 100 };
    Milliseconds longestRetryDelay { 5000 };
    /** Limit of messages that wait for a channel to open, in bytes per peer. */
    std::size_t maximumQueuedBytes = 1024 * 1024;
    /** Limit of bytes accepted for sending but not yet handed to the operating system, per channel. */
    std::size_t maximumBufferedBytes = 4 * 1024 * 1024;
    /** Limit of accepted channels whose peer has not yet proved knowledge of the cluster key; more are refused. */
    std::size_t maximumUnauthenticatedChannels = 256;
};

/**
 * Connections to the other daemons. A channel is opened on first use, closed when idle and reopened on the next send
 * after a loss. Must be used on the thread of its io_context.
 */
class PeerNetwork {
public:
    using MessageHandler = std::function<void(const PeerIdentity& from, Message)>;
    using LossHandler = std::function<void(const VmId& peer)>;
    using UnsentHandler = std::function<void(std::uint64_t correlation)>;

    virtual ~PeerNetwork() = default;

    /** Starts accepting connections; the error says why the address cannot be used. */
    virtual Result<Done, std::string> listen() = 0;
    /** Sends or queues a message; false when it was dropped unsent, for example because the channel is down or its
     * buffer is full. */
    virtual bool send(const VmId&, const std::string& address, const Message&) = 0;
    /** True when a channel to the daemon is open, so that a message is sent without being queued. */
    virtual bool isConnected(const VmId&) const = 0;
    /** Sets the handler of received messages; called only after the peer has proved knowledge of the cluster key. */
    virtual void onMessage(MessageHandler) = 0;
    /** Sets the handler of lost channels; requests sent to the peer may or may not have arrived. */
    virtual void onLoss(LossHandler) = 0;
    /** Sets the handler of ForwardRequests and SessionStatements that were queued and then dropped unsent. They have
     * certainly not run. */
    virtual void onUnsent(UnsentHandler) = 0;
    /** Total bytes sent and received, control and forwarded. */
    virtual std::uint64_t bytesTransferred() const = 0;
    /** Bytes sent and received by traffic class. */
    virtual PeerTraffic traffic() const = 0;
    /** Closes all channels and stops accepting connections. */
    virtual void stop() = 0;
};

/** Creates the implementation on websocketpp. */
std::unique_ptr<PeerNetwork> makePeerNetwork(asio::io_context&, const PeerIdentity& self,
    const std::string& bindAddress, const std::string& clusterKey, const PeerNetworkSettings& settings = {});

} // namespace almondlever
