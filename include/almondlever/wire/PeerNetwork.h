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

/** Bytes sent and received on the channels, WebSocket framing included, TCP and IP headers not. */
struct PeerTraffic {
    /** Gossip, configuration, suspicion, announcements, and the opening and keeping of channels. */
    std::uint64_t controlBytes = 0;
    /** Forwarded requests and replies. */
    std::uint64_t forwardedBytes = 0;
};

/** Times and bounds of the channels. Tests shorten the times. */
struct PeerNetworkSettings {
    /** A peer that has not proved the cluster key by then is disconnected. */
    Milliseconds handshakeTimeout { 5000 };
    /** A channel without messages for this long is closed. */
    Milliseconds idleTimeout { 60000 };
    /** A channel on which nothing was received for this long is pinged. */
    Milliseconds pingInterval { 10000 };
    /** A pinged channel on which nothing is received for this long is half-open and dropped. */
    Milliseconds pongTimeout { 5000 };
    /** First and longest delay before a lost channel is opened again; doubled from one failure to the next. */
    Milliseconds firstRetryDelay { 100 };
    Milliseconds longestRetryDelay { 5000 };
    /** Messages that wait for a channel to open, in bytes for each peer. */
    std::size_t maximumQueuedBytes = 1024 * 1024;
    /** Bytes accepted for sending but not yet taken by the operating system, for each channel. */
    std::size_t maximumBufferedBytes = 4 * 1024 * 1024;
    /** Accepted channels whose peer has not proved the cluster key yet; more are refused. */
    std::size_t maximumUnprovedChannels = 256;
};

/**
 * Connections to the other daemons. Opened when first used, closed after idling, opened again after a loss. Must be
 * used on the thread of its io_context.
 */
class PeerNetwork {
public:
    using MessageHandler = std::function<void(const PeerIdentity& from, Message)>;
    using LossHandler = std::function<void(const VmId& peer)>;
    using UnsentHandler = std::function<void(std::uint64_t correlation)>;

    virtual ~PeerNetwork() = default;

    /** Starts to accept; the error says why the address cannot be used. */
    virtual Result<Done, std::string> listen() = 0;
    /** Sends to a daemon at an address; false when it was dropped unsent because the channel is down or its buffer
     * full. */
    virtual bool send(const VmId&, const std::string& address, const Message&) = 0;
    /** A channel to the daemon is open, so that a message does not wait for one. */
    virtual bool isConnected(const VmId&) const = 0;
    /** Handler of received messages; called only after both sides proved the cluster key. */
    virtual void onMessage(MessageHandler) = 0;
    /** Called when the channel to a peer is lost; requests sent to it may or may not have arrived. */
    virtual void onLoss(LossHandler) = 0;
    /** Called for each ForwardRequest and SessionStatement that waited for a channel and was dropped unsent; it
     * certainly has not run. */
    virtual void onUnsent(UnsentHandler) = 0;
    /** Bytes sent and received so far, for the control budget. */
    virtual std::uint64_t bytesTransferred() const = 0;
    /** The same by class. */
    virtual PeerTraffic traffic() const = 0;
    /** Closes all channels and stops to accept. */
    virtual void stop() = 0;
};

/** The websocketpp implementation. */
std::unique_ptr<PeerNetwork> makePeerNetwork(asio::io_context&, const PeerIdentity& self,
    const std::string& bindAddress, const std::string& clusterKey, const PeerNetworkSettings& settings = {});

} // namespace almondlever
