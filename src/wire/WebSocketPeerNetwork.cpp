#include "WebSocketPeerNetwork.h"

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>

#include <algorithm>

namespace almondlever {

namespace {

    constexpr const char* pathPrefix = "/peer/";

    /** Size of the WebSocket upgrade, request and response together, as measured on loopback. */
    constexpr std::uint64_t upgradeBytes = 420;

    constexpr std::size_t maskBytes = 4;

    /** Length of the frame header for a payload (RFC 6455), without the mask. */
    std::size_t frameHeaderBytes(std::size_t payloadBytes)
    {
        if (payloadBytes < 126)
            return 2;
        return payloadBytes < 65536 ? 4 : 10;
    }

    /** Interval of the channel checks: a tenth of the shortest time-out, at least 10 ms and at most 1 s. */
    Milliseconds tickInterval(const PeerNetworkSettings& settings)
    {
        const Milliseconds shortest = std::min(
            { settings.handshakeTimeout, settings.idleTimeout, settings.pingInterval, settings.pongTimeout });
        return std::clamp(shortest / 10, Milliseconds(10), Milliseconds(1000));
    }

    /** Peers without a channel are removed after this time without use, since ids of replaced VMs are never reused. */
    constexpr std::chrono::minutes forgetPeerAfter { 10 };

    bool isForwarded(const Message& message)
    {
        return std::holds_alternative<ForwardRequest>(message) || std::holds_alternative<ForwardReply>(message)
            || std::holds_alternative<SessionStatement>(message) || std::holds_alternative<SessionAnswer>(message);
    }

    /** Correlation of a request whose sender is told when it is dropped unsent; zero for other messages. */
    std::uint64_t correlationOf(const Message& message)
    {
        if (const auto* request = std::get_if<ForwardRequest>(&message))
            return request->correlation;
        if (const auto* statement = std::get_if<SessionStatement>(&message))
            return statement->correlation;
        return 0;
    }

} // namespace

WebSocketPeerCore::WebSocketPeerCore(asio::io_context& context, PeerIdentity self, std::string bindAddress,
    const std::string& clusterKey, const PeerNetworkSettings& settings)
    : context_(context)
    , self_(std::move(self))
    , bindAddress_(std::move(bindAddress))
    , key_(clusterKey)
    , settings_(settings)
    , timer_(context)
    , random_(std::random_device {}())
{
}

void WebSocketPeerCore::start()
{
    client_.init_asio(&context_);
    server_.init_asio(&context_);
    client_.set_user_agent("");
    server_.set_user_agent("");
    scheduleTick();
}

Result<Done, std::string> WebSocketPeerCore::listen()
{
    const std::string errorPrefix = "cannot listen for daemons on " + bindAddress_ + ": ";
    const auto colon = bindAddress_.rfind(':');
    if (colon == std::string::npos)
        return errorPrefix + "address is not ip:port";
    std::error_code error;
    const auto address = asio::ip::make_address(bindAddress_.substr(0, colon), error);
    if (error)
        return errorPrefix + error.message();
    const int port = std::atoi(bindAddress_.c_str() + colon + 1);
    if (port < 1 || port > 65535)
        return errorPrefix + "port is out of range";

    server_.set_reuse_addr(true);
    server_.set_validate_handler(
        [core = shared_from_this()](const websocketpp::connection_hdl& handle) { return core->acceptsPath(handle); });
    server_.set_tcp_pre_init_handler(
        [core = shared_from_this()](const websocketpp::connection_hdl& handle) { core->onTcpAccepted(handle); });
    server_.set_fail_handler(
        [core = shared_from_this()](const websocketpp::connection_hdl& handle) { core->upgrading_.erase(handle); });
    server_.set_open_handshake_timeout(settings_.handshakeTimeout.count());
    server_.set_open_handler(
        [core = shared_from_this()](const websocketpp::connection_hdl& handle) { core->onAccepted(handle); });
    const asio::ip::tcp::endpoint endpoint(address, static_cast<std::uint16_t>(port));
    server_.listen(endpoint, error);
    if (error)
        return errorPrefix + error.message();
    server_.start_accept(error);
    if (error)
        return errorPrefix + error.message();
    return Done {};
}

bool WebSocketPeerCore::send(const VmId& id, const std::string& address, const Message& message)
{
    if (isStopped_ || id == self_.id)
        return false;
    std::string payload = encodeMessage(message);
    if (payload.size() > maximumMessageBytes) {
        log_.warn(
            "event=message_too_large peer=" + id.text() + " bytes=" + std::to_string(payload.size()), Clock::now());
        return false;
    }
    Peer& peer = peers_[id];
    peer.lastUsedAt = Clock::now();
    if (!peer.channels.empty())
        return transmit(*peer.channels.back(), payload, isForwarded(message));
    if (!peer.dialled && !dial(id, address, peer))
        return false;
    if (peer.queuedBytes + payload.size() > settings_.maximumQueuedBytes)
        return false;
    peer.queuedBytes += payload.size();
    peer.queue.push_back({ std::move(payload), isForwarded(message), correlationOf(message) });
    return true;
}

bool WebSocketPeerCore::isConnected(const VmId& id) const
{
    const auto found = peers_.find(id);
    return found != peers_.end() && !found->second.channels.empty();
}

bool WebSocketPeerCore::dial(const VmId& id, const std::string& address, Peer& peer)
{
    const TimePoint now = Clock::now();
    if (address.empty() || now < peer.retryAt)
        return false;
    std::error_code error;
    const PeerConnection::ptr connection
        = client_.get_connection("ws://" + address + pathPrefix + self_.id.text(), error);
    if (error || !connection) {
        log_.warn("event=dial_failed peer=" + id.text() + " address=" + address + " reason=" + error.message(), now);
        return false;
    }
    auto channel = std::make_shared<PeerChannel>();
    channel->end = ChannelEnd::Dialler;
    channel->connection = connection;
    channel->peer = { id, {}, address };
    attach(channel);
    connection->set_open_handler(
        [core = shared_from_this(), weak = std::weak_ptr<PeerChannel>(channel)](const websocketpp::connection_hdl&) {
            if (const auto owned = weak.lock())
                core->onOpen(owned);
        });
    peer.dialled = channel;
    client_.connect(connection);
    // connect can report a failure, which clears peer.dialled, before it returns.
    return peer.dialled == channel;
}

void WebSocketPeerCore::attach(const PeerChannelPointer& channel)
{
    channel->openedAt = channel->lastMessageAt = channel->lastReceivedAt = Clock::now();
    channels_.insert(channel);
    PeerConnection& connection = *channel->connection;
    // The handlers hold the channel weakly to avoid a cycle: the channel owns the connection, which owns the handlers.
    const std::weak_ptr<PeerChannel> weak = channel;
    const auto onEnd = [core = shared_from_this(), weak](const websocketpp::connection_hdl&) {
        if (const auto owned = weak.lock())
            core->onClose(owned);
    };
    connection.set_fail_handler(onEnd);
    connection.set_close_handler(onEnd);
    connection.set_message_handler([core = shared_from_this(), weak](
                                       const websocketpp::connection_hdl&, const PeerConnection::message_ptr& message) {
        if (const auto owned = weak.lock())
            core->onPayload(owned, message);
    });
    const auto markReceived = [weak] {
        const auto owned = weak.lock();
        if (!owned)
            return;
        owned->lastReceivedAt = Clock::now();
        owned->awaitsPong = false;
    };
    connection.set_pong_handler([markReceived](const auto&, const std::string&) { markReceived(); });
    connection.set_ping_handler([markReceived](const auto&, const std::string&) {
        markReceived();
        return true;
    });
}

bool WebSocketPeerCore::acceptsPath(const websocketpp::connection_hdl& handle)
{
    std::error_code error;
    const PeerConnection::ptr connection = server_.get_con_from_hdl(handle, error);
    if (error || isStopped_)
        return false;
    if (connection->get_resource().rfind(pathPrefix, 0) == 0
        && countUnauthenticatedAccepted() < settings_.maximumUnauthenticatedChannels)
        return true;
    log_.warn(
        "event=channel_refused remote=" + connection->get_remote_endpoint() + " reason=path_or_too_many", Clock::now());
    return false;
}

std::size_t WebSocketPeerCore::countUnauthenticatedAccepted() const
{
    return std::count_if(channels_.begin(), channels_.end(), [](const PeerChannelPointer& channel) {
        return channel->end == ChannelEnd::Acceptor && channel->state != PeerChannel::State::Authenticated;
    });
}

void WebSocketPeerCore::onTcpAccepted(const websocketpp::connection_hdl& handle)
{
    std::error_code error;
    const PeerConnection::ptr connection = server_.get_con_from_hdl(handle, error);
    if (error)
        return;
    upgrading_.insert(handle);
    if (upgrading_.size() + countUnauthenticatedAccepted() <= settings_.maximumUnauthenticatedChannels)
        return;
    log_.warn("event=channel_refused reason=too_many", Clock::now());
    // Reading then fails, which ends the connection through the fail handler.
    connection->get_raw_socket().close(error);
}

void WebSocketPeerCore::onAccepted(const websocketpp::connection_hdl& handle)
{
    std::error_code error;
    const PeerConnection::ptr connection = server_.get_con_from_hdl(handle, error);
    if (error)
        return;
    upgrading_.erase(handle);
    auto channel = std::make_shared<PeerChannel>();
    channel->end = ChannelEnd::Acceptor;
    channel->connection = connection;
    attach(channel);
    onOpen(channel);
}

void WebSocketPeerCore::onOpen(const PeerChannelPointer& channel)
{
    if (channel->state != PeerChannel::State::Opening || isStopped_)
        return;
    std::error_code ignored;
    channel->connection->get_raw_socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    traffic_.controlBytes += upgradeBytes;
    channel->state = PeerChannel::State::AwaitsHello;
    channel->ownHello = encodeHello(makeHello(self_));
    transmit(*channel, channel->ownHello, false);
}

void WebSocketPeerCore::onClose(const PeerChannelPointer& channel)
{
    if (channel->state == PeerChannel::State::Closed)
        return;
    // A peer closes idle channels normally. If no message was sent or received recently, none can have been lost.
    const bool isIdleClose = channel->connection->get_remote_close_code() == websocketpp::close::status::normal
        && Clock::now() - channel->lastMessageAt > settings_.idleTimeout / 2;
    close(channel, !isIdleClose, false);
}

void WebSocketPeerCore::onPayload(const PeerChannelPointer& channel, const PeerConnection::message_ptr& message)
{
    if (channel->state == PeerChannel::State::Closed)
        return;
    const std::string& payload = message->get_payload();
    channel->lastReceivedAt = channel->lastMessageAt = Clock::now();
    channel->awaitsPong = false;
    if (message->get_opcode() != websocketpp::frame::opcode::binary) {
        refuse(channel, "message is not binary");
        return;
    }
    switch (channel->state) {
    case PeerChannel::State::AwaitsHello:
        count(*channel, payload.size(), false, false);
        onHello(channel, payload);
        return;
    case PeerChannel::State::AwaitsProof:
        count(*channel, payload.size(), false, false);
        onHelloProof(channel, payload);
        return;
    default:
        onPeerMessage(channel, payload);
    }
}

void WebSocketPeerCore::onHello(const PeerChannelPointer& channel, const std::string& payload)
{
    const auto hello = decodeHello(payload);
    if (!hello) {
        refuse(channel, hello.error());
        return;
    }
    const PeerIdentity& peer = hello.value().identity;
    if (peer.id == self_.id) {
        refuse(channel, "peer has this daemon's own id");
        return;
    }
    if (channel->end == ChannelEnd::Dialler && peer.id != channel->peer.id) {
        refuse(channel, "another VM answers at the address");
        return;
    }
    if (channel->end == ChannelEnd::Acceptor)
        channel->peer = peer;
    channel->peer.failureDomain = peer.failureDomain;
    channel->peerHello = payload;
    channel->state = PeerChannel::State::AwaitsProof;
    const bool isDialler = channel->end == ChannelEnd::Dialler;
    const std::string proof = isDialler ? key_.computeProof(channel->end, channel->ownHello, channel->peerHello)
                                        : key_.computeProof(channel->end, channel->peerHello, channel->ownHello);
    transmit(*channel, encodeHelloProof(proof), false);
}

void WebSocketPeerCore::onHelloProof(const PeerChannelPointer& channel, const std::string& payload)
{
    const bool isDialler = channel->end == ChannelEnd::Dialler;
    const std::string expected = isDialler
        ? key_.computeProof(ChannelEnd::Acceptor, channel->ownHello, channel->peerHello)
        : key_.computeProof(ChannelEnd::Dialler, channel->peerHello, channel->ownHello);
    const auto proof = decodeHelloProof(payload);
    if (!proof || !isEqualInConstantTime(*proof, expected)) {
        refuse(channel, "peer did not prove the cluster key");
        return;
    }
    channel->state = PeerChannel::State::Authenticated;
    Peer& peer = peers_[channel->peer.id];
    peer.lastUsedAt = Clock::now();
    peer.failures = 0;
    peer.retryAt = {};
    if (peer.dialled == channel)
        peer.dialled = nullptr;
    peer.channels.push_back(channel);
    flush(channel->peer.id, channel);
}

void WebSocketPeerCore::onPeerMessage(const PeerChannelPointer& channel, const std::string& payload)
{
    auto message = decodeMessage(payload);
    if (!message) {
        refuse(channel, message.error());
        return;
    }
    count(*channel, payload.size(), isForwarded(message.value()), false);
    if (!messageHandler_)
        return;
    try {
        messageHandler_(channel->peer, std::move(message.value()));
    } catch (const std::exception& exception) {
        refuse(channel, std::string("the message could not be handled: ") + exception.what());
    }
}

void WebSocketPeerCore::refuse(const PeerChannelPointer& channel, const std::string& reason)
{
    log_.warn("event=channel_closed peer=" + channel->peer.id.text()
            + " remote=" + channel->connection->get_remote_endpoint() + " reason=\"" + reason + '"',
        Clock::now());
    close(channel, true, false);
}

void WebSocketPeerCore::close(const PeerChannelPointer& channel, bool isLoss, bool isGraceful)
{
    const bool wasAuthenticated = channel->state == PeerChannel::State::Authenticated;
    channel->state = PeerChannel::State::Closed;
    channels_.erase(channel);
    std::error_code ignored;
    if (isGraceful)
        channel->connection->close(websocketpp::close::status::normal, "", ignored);
    else
        channel->connection->terminate({});
    const VmId id = channel->peer.id;
    const auto position = peers_.find(id);
    if (position == peers_.end())
        return;
    Peer& peer = position->second;
    auto& open = peer.channels;
    open.erase(std::remove(open.begin(), open.end(), channel), open.end());
    if (peer.dialled == channel) {
        peer.dialled = nullptr;
        onDialFailed(id, peer);
        return;
    }
    if (!wasAuthenticated || !isLoss)
        return;
    if (open.empty())
        delayRetry(peer);
    reportLoss(id);
}

void WebSocketPeerCore::delayRetry(Peer& peer)
{
    const auto doubled = settings_.firstRetryDelay * (1 << std::min(peer.failures, 10));
    const Milliseconds longest = std::min<Milliseconds>(doubled, settings_.longestRetryDelay);
    ++peer.failures;
    // Jitter keeps daemons from reconnecting to a restarted peer all at once.
    std::uniform_int_distribution<Milliseconds::rep> delay(longest.count() / 2, longest.count());
    peer.retryAt = Clock::now() + Milliseconds(delay(random_));
}

void WebSocketPeerCore::onDialFailed(const VmId& id, Peer& peer)
{
    delayRetry(peer);
    if (!peer.channels.empty())
        return;
    if (peer.queue.empty())
        return;
    std::deque<QueuedMessage> unsent;
    unsent.swap(peer.queue);
    peer.queuedBytes = 0;
    reportUnsent(std::move(unsent));
    reportLoss(id);
}

void WebSocketPeerCore::reportUnsent(std::deque<QueuedMessage> messages)
{
    if (isStopped_ || !unsentHandler_)
        return;
    asio::post(context_, [core = shared_from_this(), messages = std::move(messages)] {
        for (const QueuedMessage& message : messages) {
            if (message.correlation != 0 && !core->isStopped_)
                core->unsentHandler_(message.correlation);
        }
    });
}

void WebSocketPeerCore::reportLoss(const VmId& id)
{
    if (isStopped_ || !lossHandler_)
        return;
    // Posted, because the handler may send messages, which would modify the peers that the caller still works on.
    asio::post(context_, [core = shared_from_this(), id] {
        if (!core->isStopped_ && core->lossHandler_)
            core->lossHandler_(id);
    });
}

bool WebSocketPeerCore::transmit(PeerChannel& channel, const std::string& payload, bool isForwardedMessage)
{
    if (channel.connection->get_buffered_amount() + payload.size() > settings_.maximumBufferedBytes)
        return false;
    if (channel.connection->send(payload.data(), payload.size(), websocketpp::frame::opcode::binary))
        return false;
    channel.lastMessageAt = Clock::now();
    count(channel, payload.size(), isForwardedMessage, true);
    return true;
}

void WebSocketPeerCore::count(
    const PeerChannel& channel, std::size_t payloadBytes, bool isForwardedMessage, bool isSent)
{
    // Only the WebSocket client, which is the dialling side, masks its frames.
    const bool isMasked = isSent == (channel.end == ChannelEnd::Dialler);
    const std::size_t bytes = payloadBytes + frameHeaderBytes(payloadBytes) + (isMasked ? maskBytes : 0);
    (isForwardedMessage ? traffic_.forwardedBytes : traffic_.controlBytes) += bytes;
}

void WebSocketPeerCore::flush(const VmId& id, const PeerChannelPointer& channel)
{
    Peer& peer = peers_[id];
    std::deque<QueuedMessage> queue;
    queue.swap(peer.queue);
    peer.queuedBytes = 0;
    while (!queue.empty()) {
        if (!transmit(*channel, queue.front().payload, queue.front().isForwarded)) {
            reportUnsent(std::move(queue));
            reportLoss(id);
            return;
        }
        queue.pop_front();
    }
}

void WebSocketPeerCore::scheduleTick()
{
    timer_.expires_after(tickInterval(settings_));
    timer_.async_wait([weak = weak_from_this()](const std::error_code& error) {
        const auto core = weak.lock();
        if (!error && core && !core->isStopped_)
            core->onTick();
    });
}

void WebSocketPeerCore::onTick()
{
    const TimePoint now = Clock::now();
    const std::vector<PeerChannelPointer> channels(channels_.begin(), channels_.end());
    for (const PeerChannelPointer& channel : channels)
        checkChannel(channel, now);
    forgetUnusedPeers(now);
    scheduleTick();
}

void WebSocketPeerCore::checkChannel(const PeerChannelPointer& channel, TimePoint now)
{
    if (channel->state == PeerChannel::State::Closed)
        return;
    if (channel->state != PeerChannel::State::Authenticated) {
        if (now - channel->openedAt > settings_.handshakeTimeout)
            refuse(channel, "handshake timed out");
        return;
    }
    if (now - channel->lastMessageAt > settings_.idleTimeout) {
        close(channel, false, true);
        return;
    }
    if (channel->awaitsPong) {
        if (now - channel->lastPingAt > settings_.pongTimeout)
            refuse(channel, "peer answers no ping");
        return;
    }
    if (now - channel->lastReceivedAt < settings_.pingInterval)
        return;
    std::error_code ignored;
    channel->connection->ping("", ignored);
    channel->awaitsPong = true;
    channel->lastPingAt = now;
    count(*channel, 0, false, true);
}

void WebSocketPeerCore::forgetUnusedPeers(TimePoint now)
{
    for (auto position = peers_.begin(); position != peers_.end();) {
        const Peer& peer = position->second;
        const bool isUnused = peer.channels.empty() && !peer.dialled && now - peer.lastUsedAt > forgetPeerAfter;
        position = isUnused ? peers_.erase(position) : std::next(position);
    }
}

void WebSocketPeerCore::stop()
{
    if (isStopped_)
        return;
    isStopped_ = true;
    timer_.cancel();
    std::error_code ignored;
    if (server_.is_listening())
        server_.stop_listening(ignored);
    // The handlers share ownership of this object and would keep it alive.
    server_.set_validate_handler(nullptr);
    server_.set_open_handler(nullptr);
    const std::vector<PeerChannelPointer> channels(channels_.begin(), channels_.end());
    for (const PeerChannelPointer& channel : channels)
        close(channel, false, channel->state == PeerChannel::State::Authenticated);
    peers_.clear();
}

namespace {

    class WebSocketPeerNetwork final : public PeerNetwork {
    public:
        explicit WebSocketPeerNetwork(std::shared_ptr<WebSocketPeerCore> core)
            : core_(std::move(core))
        {
            core_->start();
        }
        ~WebSocketPeerNetwork() override { core_->stop(); }

        Result<Done, std::string> listen() override { return core_->listen(); }
        bool send(const VmId& id, const std::string& address, const Message& message) override
        {
            return core_->send(id, address, message);
        }
        bool isConnected(const VmId& id) const override { return core_->isConnected(id); }
        void onMessage(MessageHandler handler) override { core_->setMessageHandler(std::move(handler)); }
        void onLoss(LossHandler handler) override { core_->setLossHandler(std::move(handler)); }
        void onUnsent(UnsentHandler handler) override { core_->setUnsentHandler(std::move(handler)); }
        std::uint64_t bytesTransferred() const override
        {
            return core_->traffic().controlBytes + core_->traffic().forwardedBytes;
        }
        PeerTraffic traffic() const override { return core_->traffic(); }
        void stop() override { core_->stop(); }

    private:
        std::shared_ptr<WebSocketPeerCore> core_;
    };

} // namespace

std::unique_ptr<PeerNetwork> makePeerNetwork(asio::io_context& context, const PeerIdentity& self,
    const std::string& bindAddress, const std::string& clusterKey, const PeerNetworkSettings& settings)
{
    return std::make_unique<WebSocketPeerNetwork>(
        std::make_shared<WebSocketPeerCore>(context, self, bindAddress, clusterKey, settings));
}

} // namespace almondlever
