#pragma once

#include "BoundedLog.h"
#include "PeerChannel.h"

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include <deque>
#include <random>
#include <set>
#include <unordered_map>

namespace almondlever {

/**
 * State behind the peer network. Handlers of pending operations share its ownership, because websocketpp's endpoints
 * must outlive the connections that they made.
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
    /** An encoded message that waits for a proven channel. */
    struct QueuedMessage {
        std::string payload;
        bool isForwarded = false;
        /** Number of a ForwardRequest; zero for other messages. */
        std::uint64_t correlation = 0;
    };
    /** What is kept for each peer that was sent to or that connected. */
    struct Peer {
        /** Proven channels; the last one opened is used. */
        std::vector<PeerChannelPointer> channels;
        /** The channel being opened from here, or null. */
        PeerChannelPointer dialled;
        std::deque<QueuedMessage> queue;
        std::size_t queuedBytes = 0;
        int failures = 0;
        TimePoint retryAt;
        TimePoint lastUsedAt;
    };

    bool dial(const VmId&, const std::string& address, Peer&);
    void attach(const PeerChannelPointer&);
    bool acceptsPath(const websocketpp::connection_hdl&);
    void onAccepted(const websocketpp::connection_hdl&);
    void onOpen(const PeerChannelPointer&);
    void onClose(const PeerChannelPointer&);
    void onPayload(const PeerChannelPointer&, const PeerConnection::message_ptr&);
    void onHello(const PeerChannelPointer&, const std::string& payload);
    void onHelloProof(const PeerChannelPointer&, const std::string& payload);
    void onPeerMessage(const PeerChannelPointer&, const std::string& payload);
    void refuse(const PeerChannelPointer&, const std::string& reason);
    /** Takes the channel out of use and closes the connection. */
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
    std::size_t unprovedAccepted() const;

    asio::io_context& context_;
    PeerIdentity self_;
    std::string bindAddress_;
    HandshakeKey key_;
    PeerNetworkSettings settings_;
    PeerClient client_;
    PeerServer server_;
    asio::steady_timer timer_;
    BoundedLog log_;
    std::mt19937_64 random_;
    std::unordered_map<VmId, Peer> peers_;
    std::set<PeerChannelPointer> channels_;
    PeerNetwork::MessageHandler messageHandler_;
    PeerNetwork::LossHandler lossHandler_;
    PeerNetwork::UnsentHandler unsentHandler_;
    PeerTraffic traffic_;
    bool isStopped_ = false;
};

} // namespace almondlever
