#pragma once

#include "Handshake.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <memory>
#include <string>

namespace almondlever {

/** websocketpp set up for one thread, without its own logs, and with the size limits of peer messages. */
struct PeerSocketConfig : websocketpp::config::asio_client {
    // The names below are set by websocketpp. NOLINTBEGIN(readability-identifier-naming)
    using type = PeerSocketConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::elevel>;
    using alog_type = websocketpp::log::basic<concurrency_type, websocketpp::log::alevel>;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    static const bool enable_multithreading = false;

    struct transport_config : websocketpp::config::asio_client::transport_config {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    static const websocketpp::log::level elog_level = websocketpp::log::elevel::none;
    static const websocketpp::log::level alog_level = websocketpp::log::alevel::none;
    /** Channels are many and their messages short: a daemon of a large fleet keeps a hundred or more open. */
    static const std::size_t connection_read_buffer_size = 4096;
    static const std::size_t max_message_size = maximumMessageBytes;
    static const std::size_t max_http_body_size = 1024;
    static const long timeout_close_handshake = 1000;
    // NOLINTEND(readability-identifier-naming)
};

using PeerClient = websocketpp::client<PeerSocketConfig>;
using PeerServer = websocketpp::server<PeerSocketConfig>;
using PeerConnection = websocketpp::connection<PeerSocketConfig>;

/** One WebSocket connection to another daemon with the state of its handshake. */
struct PeerChannel {
    enum class State {
        /** The TCP connection or WebSocket is being opened. */
        Opening,
        /** Hello was sent; waits for the peer's Hello. */
        AwaitsHello,
        /** HelloProof was sent; waits for the peer's HelloProof. */
        AwaitsProof,
        /** The peer proved the cluster key. */
        Proven,
        Closed,
    };

    State state = State::Opening;
    ChannelEnd end = ChannelEnd::Dialler;
    PeerConnection::ptr connection;
    /** The peer as dialled, later as it named itself in its Hello. */
    PeerIdentity peer;
    std::string ownHello;
    std::string peerHello;
    TimePoint openedAt;
    /** Last message other than a ping or pong, in either direction. */
    TimePoint lastMessageAt;
    /** Last thing of any kind that was received. */
    TimePoint lastReceivedAt;
    TimePoint lastPingAt;
    bool isPinged = false;
};

using PeerChannelPointer = std::shared_ptr<PeerChannel>;

} // namespace almondlever
