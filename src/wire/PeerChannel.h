#pragma once

#include "Handshake.h"

#include <websocketpp/client.hpp>
#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

#include <memory>
#include <string>

namespace almondlever {

/** websocketpp configuration: single-threaded, logging disabled, size limits for peer messages. */
struct PeerSocketConfig : websocketpp::config::asio_client {
    // websocketpp requires the names below. NOLINTBEGIN(readability-identifier-naming)
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
    /** Small, because messages are short and a daemon of a large fleet keeps 100 or more channels open. */
    static const std::size_t connection_read_buffer_size = 4096;
    static const std::size_t max_message_size = maximumMessageBytes;
    static const std::size_t max_http_body_size = 1024;
    static const long timeout_close_handshake = 1000;
    // NOLINTEND(readability-identifier-naming)
};

using PeerClient = websocketpp::client<PeerSocketConfig>;
using PeerServer = websocketpp::server<PeerSocketConfig>;
using PeerConnection = websocketpp::connection<PeerSocketConfig>;

/** A WebSocket connection to another daemon and the state of its handshake. */
struct PeerChannel {
    enum class State {
        /** The TCP connection or the WebSocket upgrade is in progress. */
        Opening,
        /** Own Hello sent; awaiting the peer's Hello. */
        AwaitsHello,
        /** Own HelloProof sent; awaiting the peer's HelloProof. */
        AwaitsProof,
        /** The peer has proved knowledge of the cluster key. */
        Authenticated,
        Closed,
    };

    State state = State::Opening;
    ChannelEnd end = ChannelEnd::Dialler;
    PeerConnection::ptr connection;
    /** The identity in the peer's Hello; in a dialled channel, the id and address are those that were dialled. */
    PeerIdentity peer;
    std::string ownHello;
    std::string peerHello;
    TimePoint openedAt;
    /** Time of the last message other than a ping or pong, in either direction. */
    TimePoint lastMessageAt;
    /** Time of the last received message, ping or pong. */
    TimePoint lastReceivedAt;
    TimePoint lastPingAt;
    /** True while a ping is unanswered. */
    bool awaitsPong = false;
};

using PeerChannelPointer = std::shared_ptr<PeerChannel>;

} // namespace almondlever
