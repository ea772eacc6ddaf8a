#pragma once

#include "PeerChannel.h"
#include "RateLimitedLog.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <random>
#include <set>
#include <unordered_map>

namespace almondlever {

/**
 * Implementation of the peer network. Handlers of pending operations share ownership of it, because websocketpp's
 * endpoints must outlive the connections that they created.
 */
class WebSocketPeerCore : public std::enable_shared_from_this<WebSocketPeerCore> {
public:
    WebSocketPeerCore(asio::io_context&, PeerIdentity self, std::string bindAddress, const std::string& clusterKey,
        const PeerNetworkSettings&);

    /** Must be called once after construction. */
    void start();
    Result<Done, std::string> listen();
    bool send(const VmId&, const std::string& address, const Message&);
    bool isConnected(const VmId&) const;
    void setMessageHandler(PeerNetwork::MessageHandler handler) { messageHandler_ = std::move(handler); }
    void setLossHandler(PeerNetwork::LossHandler handler) { lossHandler_ = std::move(handler); }
    void setUnsentHandler(PeerNetwork::UnsentHandler handler) { unsentHandler_ = std::move(handler); }
    const PeerTraffic& traffic() const { return traffic_; }
    void stop();

private:
    /** An encoded message that waits for an authenticated channel. */
    struct QueuedMessage {
        std::string payload;
        bool isForwarded = false;
        /** Correlation of a ForwardRequest or SessionStatement; zero for other messages. */
        std::uint64_t correlation = 0;
    };
    /** State of a peer that was sent a message or that connected. */
    struct Peer {
        /** Authenticated channels; messages are sent on the last one. */
        std::vector<PeerChannelPointer> channels;
        /** The outgoing channel that is being opened, or null. */
        PeerChannelPointer dialled;
        std::deque<QueuedMessage> queue;
        std::size_t queuedBytes = 0;
        int failures = 0;
        TimePoint retryAt;
        TimePoint lastUsedAt;
    };

    bool dial(const VmId&, const std::string& address, Peer&);
    void attach(const PeerChannelPointer&);
    /** Counts a connection whose upgrade to WebSocket has not begun, and closes it if there are too many. */
    void onTcpAccepted(const websocketpp::connection_hdl&);
    bool acceptsPath(const websocketpp::connection_hdl&);
    void onAccepted(const websocketpp::connection_hdl&);
    void onOpen(const PeerChannelPointer&);
    void onClose(const PeerChannelPointer&);
    void onPayload(const PeerChannelPointer&, const PeerConnection::message_ptr&);
    void onHello(const PeerChannelPointer&, const std::string& payload);
    void onHelloProof(const PeerChannelPointer&, const std::string& payload);
    void onPeerMessage(const PeerChannelPointer&, const std::string& payload);
    void refuse(const PeerChannelPointer&, const std::string& reason);
    /** Removes the channel and closes its connection. */
    void close(const PeerChannelPointer&, bool isLoss, bool isGraceful);
    void delayRetry(Peer&);
    void onDialFailed(const VmId&, Peer&);
    bool transmit(PeerChannel&, const std::string& payload, bool isForwarded);
    void count(const PeerChannel&, std::size_t payloadBytes, bool isForwarded, bool isSent);
    void flush(const VmId&, const PeerChannelPointer&);
    void scheduleTick();
    void onTick();
    void checkChannel(const PeerChannelPointer&, TimePoint now);
    void forgetUnusedPeers(TimePoint now);
    void reportLoss(const VmId&);
    void reportUnsent(std::deque<QueuedMessage>);
    std::size_t countUnauthenticatedAccepted() const;

    asio::io_context& context_;
    PeerIdentity self_;
    std::string bindAddress_;
    HandshakeKey key_;
    PeerNetworkSettings settings_;
    PeerClient client_;
    PeerServer server_;
    asio::steady_timer timer_;
    RateLimitedLog log_;
    std::mt19937_64 random_;
    std::unordered_map<VmId, Peer> peers_;
    std::set<PeerChannelPointer> channels_;
    /** Accepted connections that are not upgraded to WebSocket yet. */
    std::set<websocketpp::connection_hdl, std::owner_less<websocketpp::connection_hdl>> upgrading_;
    PeerNetwork::MessageHandler messageHandler_;
    PeerNetwork::LossHandler lossHandler_;
    PeerNetwork::UnsentHandler unsentHandler_;
    PeerTraffic traffic_;
    bool isStopped_ = false;
};

} // namespace almondlever
