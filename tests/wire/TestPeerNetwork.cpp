#include "almondlever/wire/PeerNetwork.h"
#include "wire/PeerChannel.h"

#include <asio.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <stdexcept>

using namespace almondlever;

namespace {

constexpr const char* clusterKey = "key of the test cluster";

std::string freeAddress()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

PeerNetworkSettings shortTimes()
{
    PeerNetworkSettings settings;
    settings.handshakeTimeout = Milliseconds(300);
    settings.pingInterval = Milliseconds(200);
    settings.pongTimeout = Milliseconds(200);
    settings.firstRetryDelay = Milliseconds(20);
    return settings;
}

/** A daemon's network that records received messages and lost channels. */
struct Daemon {
    Daemon(asio::io_context& context, const std::string& name, const std::string& key = clusterKey,
        const PeerNetworkSettings& settings = shortTimes(), const std::string& listenAddress = "")
        : identity { VmId(name), FailureDomainId("khomas-a"), listenAddress }
    {
        // Another process may take the free port before this one listens on it.
        for (int attempt = 0; attempt < 20 && !isListening; ++attempt) {
            if (listenAddress.empty())
                identity.address = freeAddress();
            network = makePeerNetwork(context, identity, identity.address, key, settings);
            isListening = network->listen().hasValue();
        }
        cr_assert(isListening);
        network->onMessage([this](const PeerIdentity& from, Message message) {
            senders.push_back(from);
            received.push_back(std::move(message));
        });
        network->onLoss([this](const VmId& peer) { losses.push_back(peer); });
    }

    bool sendTo(const Daemon& other, std::uint64_t number)
    {
        return network->send(other.identity.id, other.identity.address, ConfigRequest { number, 0 });
    }
    std::uint64_t number(std::size_t index) const { return std::get<ConfigRequest>(received.at(index)).knownVersion; }

    PeerIdentity identity;
    std::unique_ptr<PeerNetwork> network;
    bool isListening = false;
    std::vector<PeerIdentity> senders;
    std::vector<Message> received;
    std::vector<VmId> losses;
};

/** Runs the loop until a condition holds; false after ten seconds. */
bool runUntil(asio::io_context& context, const std::function<bool()>& isReached)
{
    const TimePoint end = Clock::now() + std::chrono::seconds(10);
    while (!isReached()) {
        if (Clock::now() > end)
            return false;
        context.run_one_for(Milliseconds(10));
    }
    return true;
}

void runFor(asio::io_context& context, Milliseconds span) { context.run_for(span); }

/** A WebSocket client that performs only the steps of the handshake that a test asks for. */
struct RawPeer {
    RawPeer(asio::io_context& context, const std::string& address)
    {
        client.init_asio(&context);
        std::error_code error;
        connection = client.get_connection("ws://" + address + "/peer/raw", error);
        connection->set_open_handler([this](const auto&) { isOpen = true; });
        connection->set_close_handler([this](const auto&) { isClosed = true; });
        connection->set_fail_handler([this](const auto&) { isClosed = true; });
        connection->set_message_handler([this](const auto&, const PeerConnection::message_ptr& message) {
            received.push_back(message->get_payload());
        });
        client.connect(connection);
    }
    ~RawPeer()
    {
        connection->set_close_handler(nullptr);
        connection->set_fail_handler(nullptr);
        connection->terminate({});
    }
    void send(const std::string& payload) const
    {
        cr_assert(!connection->send(payload.data(), payload.size(), websocketpp::frame::opcode::binary));
    }
    /** Sends a Hello, waits for the peer's Hello and sends the proof. */
    void completeHandshake(asio::io_context& context, const std::string& key)
    {
        ownHello = encodeHello(makeHello({ VmId("raw"), FailureDomainId("khomas-a"), "127.0.0.1:1" }));
        cr_assert(runUntil(context, [this] { return isOpen; }));
        send(ownHello);
        cr_assert(runUntil(context, [this] { return !received.empty(); }));
        proof = encodeHelloProof(HandshakeKey(key).computeProof(ChannelEnd::Dialler, ownHello, received.front()));
        send(proof);
    }

    PeerClient client;
    PeerConnection::ptr connection;
    std::vector<std::string> received;
    std::string ownHello;
    std::string proof;
    bool isOpen = false;
    bool isClosed = false;
};

const std::string encodedMessage = encodeMessage(ConfigRequest { 7, 0 });

} // namespace

// Guards against messages that are lost or reordered between two daemons, also when both dial at the same moment.
Test(PeerNetwork, exchangesMessagesInOrderWhenBothDial)
{
    asio::io_context context;
    Daemon left(context, "left");
    Daemon right(context, "right");
    constexpr std::uint64_t count = 100;
    for (std::uint64_t number = 0; number < count; ++number)
        cr_assert(left.sendTo(right, number) && right.sendTo(left, number));
    cr_assert_not(left.network->isConnected(right.identity.id));
    cr_assert(runUntil(context, [&] { return left.received.size() == count && right.received.size() == count; }));
    cr_assert(left.network->isConnected(right.identity.id));
    for (std::uint64_t number = 0; number < count; ++number)
        cr_assert(left.number(number) == number && right.number(number) == number);
    cr_assert(right.senders.front().id == left.identity.id);
    cr_assert(right.senders.front().failureDomain == left.identity.failureDomain);
    cr_assert(right.senders.front().address == left.identity.address);
    cr_assert(left.losses.empty() && right.losses.empty());
}

// Guards against an exception in the message handler that terminates the process: only the channel is closed.
Test(PeerNetwork, failingHandlerEndsItsChannelOnly)
{
    asio::io_context context;
    Daemon left(context, "left");
    Daemon right(context, "right");
    Daemon third(context, "third");
    right.network->onMessage([&right](const PeerIdentity& from, Message message) {
        if (from.id == VmId("left") && right.received.empty())
            throw std::runtime_error("unexpected");
        right.received.push_back(std::move(message));
    });
    cr_assert(left.sendTo(right, 1));
    cr_assert(runUntil(context, [&] { return !left.losses.empty(); }));
    cr_assert(third.sendTo(right, 2));
    cr_assert(runUntil(context, [&] { return right.received.size() == 1; }));
    cr_assert_eq(right.number(0), 2U);
    cr_assert(runUntil(context, [&] { return left.sendTo(right, 3); }));
    cr_assert(runUntil(context, [&] { return right.received.size() == 2; }), "the peer comes back");
}

// Guards against forwarded traffic that is counted as control traffic or not at all.
Test(PeerNetwork, countsBytesByClass)
{
    asio::io_context context;
    Daemon left(context, "left");
    Daemon right(context, "right");
    cr_assert(left.sendTo(right, 1));
    cr_assert(runUntil(context, [&] { return !right.received.empty(); }));
    cr_assert(left.network->traffic().forwardedBytes == 0 && left.network->traffic().controlBytes > 0);
    ForwardRequest request;
    request.value = std::string(10000, 'x');
    const auto controlBytes = left.network->traffic().controlBytes;
    cr_assert(left.network->send(right.identity.id, right.identity.address, request));
    cr_assert(runUntil(context, [&] { return right.received.size() == 2; }));
    const PeerTraffic sent = left.network->traffic();
    cr_assert(sent.forwardedBytes > 10000 && sent.forwardedBytes < 10200);
    cr_assert(sent.controlBytes == controlBytes);
    cr_assert(left.network->bytesTransferred() == sent.controlBytes + sent.forwardedBytes);
    cr_assert(right.network->traffic().forwardedBytes == sent.forwardedBytes);
}

// Guards against exchanging messages with a daemon of another cluster.
Test(PeerNetwork, refusesWrongClusterKey)
{
    asio::io_context context;
    Daemon left(context, "left");
    Daemon right(context, "right", "another key");
    left.sendTo(right, 1);
    right.sendTo(left, 1);
    cr_assert(runUntil(context, [&] { return !left.losses.empty() && !right.losses.empty(); }));
    cr_assert(left.received.empty() && right.received.empty());
}

// Guards against processing a message whose sender has not proved knowledge of the cluster key.
Test(PeerNetwork, closesChannelThatSendsBeforeProof)
{
    asio::io_context context;
    Daemon daemon(context, "daemon");
    RawPeer early(context, daemon.identity.address);
    cr_assert(runUntil(context, [&] { return early.isOpen; }));
    early.send(encodedMessage);
    cr_assert(runUntil(context, [&] { return early.isClosed; }));
    RawPeer afterHello(context, daemon.identity.address);
    cr_assert(runUntil(context, [&] { return afterHello.isOpen; }));
    afterHello.send(encodeHello(makeHello({ VmId("raw"), FailureDomainId(), "" })));
    afterHello.send(encodedMessage);
    cr_assert(runUntil(context, [&] { return afterHello.isClosed; }));
    cr_assert(daemon.received.empty());
}

// Guards against a recorded handshake that opens another channel, and against a proof reflected to its sender.
Test(PeerNetwork, refusesReplayedAndReflectedProof)
{
    asio::io_context context;
    Daemon daemon(context, "daemon");
    RawPeer honest(context, daemon.identity.address);
    honest.completeHandshake(context, clusterKey);
    honest.send(encodedMessage);
    cr_assert(runUntil(context, [&] { return daemon.received.size() == 1; }));

    RawPeer replaying(context, daemon.identity.address);
    cr_assert(runUntil(context, [&] { return replaying.isOpen; }));
    replaying.send(honest.ownHello);
    replaying.send(honest.proof);
    replaying.send(encodedMessage);
    cr_assert(runUntil(context, [&] { return replaying.isClosed; }));

    RawPeer reflecting(context, daemon.identity.address);
    cr_assert(runUntil(context, [&] { return reflecting.isOpen; }));
    reflecting.send(encodeHello(makeHello({ VmId("raw"), FailureDomainId(), "" })));
    cr_assert(runUntil(context, [&] { return reflecting.received.size() == 2; }));
    reflecting.send(reflecting.received[1]);
    reflecting.send(encodedMessage);
    cr_assert(runUntil(context, [&] { return reflecting.isClosed; }));
    cr_assert(daemon.received.size() == 1);
}

// Guards against a malformed or oversized message that has any effect other than closing its channel.
Test(PeerNetwork, closesChannelOnMalformedMessage)
{
    asio::io_context context;
    Daemon daemon(context, "daemon");
    RawPeer peer(context, daemon.identity.address);
    peer.completeHandshake(context, clusterKey);
    peer.send("no message");
    cr_assert(runUntil(context, [&] { return peer.isClosed; }));
    RawPeer large(context, daemon.identity.address);
    large.completeHandshake(context, clusterKey);
    large.send(encodeMessage(ConfigReply { 1, 0, 1, std::string(maximumMessageBytes, 'x') }));
    cr_assert(runUntil(context, [&] { return large.isClosed; }));
    cr_assert(daemon.received.empty());
}

// Guards against a peer that keeps a channel open indefinitely without completing the handshake.
Test(PeerNetwork, closesChannelWithoutHandshakeInTime)
{
    asio::io_context context;
    Daemon daemon(context, "daemon");
    RawPeer silent(context, daemon.identity.address);
    cr_assert(runUntil(context, [&] { return silent.isClosed; }));
}

// Guards against outsiders that use up the descriptors with connections that never begin a channel, and against a
// daemon that refuses its peers after such a flood.
Test(PeerNetwork, boundsConnectionsThatBeginNoChannel)
{
    asio::io_context context;
    PeerNetworkSettings settings = shortTimes();
    settings.maximumUnauthenticatedChannels = 4;
    Daemon daemon(context, "daemon", clusterKey, settings);
    const std::string& address = daemon.identity.address;
    const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
    std::vector<asio::ip::tcp::socket> silent;
    for (int i = 0; i < 12; ++i) {
        silent.emplace_back(context);
        silent.back().connect({ asio::ip::address_v4::loopback(), port });
        silent.back().non_blocking(true);
        runFor(context, Milliseconds(5));
    }
    const auto countOpen = [&silent] {
        std::size_t open = 0;
        for (auto& socket : silent) {
            char byte = 0;
            std::error_code error;
            socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
            open += error == asio::error::would_block ? 1 : 0;
        }
        return open;
    };
    cr_assert_leq(countOpen(), settings.maximumUnauthenticatedChannels);
    cr_assert(runUntil(context, [&] { return countOpen() == 0; }), "silent connections are not closed");
    Daemon peer(context, "peer");
    peer.sendTo(daemon, 1);
    cr_assert(runUntil(context, [&] { return !daemon.received.empty(); }));
}

// Guards against requests that wait indefinitely on a channel whose peer vanished without closing it.
Test(PeerNetwork, findsHalfOpenChannel)
{
    asio::io_context context;
    asio::io_context frozenContext;
    Daemon daemon(context, "daemon");
    Daemon frozen(frozenContext, "frozen");
    cr_assert(daemon.sendTo(frozen, 1));
    const TimePoint end = Clock::now() + std::chrono::seconds(10);
    while (frozen.received.empty() && Clock::now() < end) {
        context.run_one_for(Milliseconds(1));
        frozenContext.run_one_for(Milliseconds(1));
    }
    cr_assert(frozen.received.size() == 1);
    cr_assert(daemon.losses.empty());
    // The kernel still acknowledges for the frozen process, so only the missing pong shows that it is gone.
    cr_assert(runUntil(context, [&] { return !daemon.losses.empty(); }));
    cr_assert(daemon.losses.front() == frozen.identity.id);
}

// Guards against a lost channel that is never opened again, and against a loss that is not reported.
Test(PeerNetwork, reopensLostChannel)
{
    asio::io_context context;
    Daemon left(context, "left");
    auto right = std::make_unique<Daemon>(context, "right");
    const std::string address = right->identity.address;
    cr_assert(left.sendTo(*right, 1));
    cr_assert(runUntil(context, [&] { return !right->received.empty(); }));
    right.reset();
    cr_assert(runUntil(context, [&] { return !left.losses.empty(); }));
    right = std::make_unique<Daemon>(context, "right", clusterKey, shortTimes(), address);
    cr_assert(runUntil(context, [&] {
        left.sendTo(*right, 2);
        return !right->received.empty();
    }));
    cr_assert(right->number(0) == 2);
}

// Guards against unbounded memory use while dialling a peer, and against queueing messages for an unreachable one.
Test(PeerNetwork, boundsQueueAndRefusesWhileUnreachable)
{
    asio::io_context context;
    Daemon left(context, "left");
    Daemon right(context, "right");
    ForwardRequest request;
    request.value = std::string(300 * 1024, 'x');
    int accepted = 0;
    while (accepted < 10 && left.network->send(right.identity.id, right.identity.address, request))
        ++accepted;
    cr_assert(accepted == 3);
    cr_assert(runUntil(context, [&] { return right.received.size() == 3; }));

    const std::string unused = freeAddress();
    cr_assert(left.network->send(VmId("absent"), unused, ConfigRequest {}));
    cr_assert(runUntil(context, [&] { return !left.losses.empty(); }));
    cr_assert(left.losses.front() == VmId("absent"));
    cr_assert(!left.network->send(VmId("absent"), unused, ConfigRequest {}));
}

// Guards against delivering requests for a replaced VM to the VM that now has its address.
Test(PeerNetwork, refusesAnotherVmAtTheAddress)
{
    asio::io_context context;
    Daemon left(context, "left");
    Daemon right(context, "right");
    cr_assert(left.network->send(VmId("predecessor"), right.identity.address, ConfigRequest {}));
    cr_assert(runUntil(context, [&] { return !left.losses.empty(); }));
    cr_assert(right.received.empty());
}

// Guards against idle channels that are never closed, and against reporting their closing as a loss.
Test(PeerNetwork, closesIdleChannelWithoutLoss)
{
    asio::io_context context;
    PeerNetworkSettings settings = shortTimes();
    settings.idleTimeout = Milliseconds(100);
    Daemon left(context, "left", clusterKey, settings);
    Daemon right(context, "right", clusterKey, settings);
    cr_assert(left.sendTo(right, 1));
    cr_assert(runUntil(context, [&] { return right.received.size() == 1; }));
    const auto afterFirst = left.network->traffic().controlBytes;
    runFor(context, Milliseconds(400));
    cr_assert(left.losses.empty() && right.losses.empty());
    cr_assert(left.sendTo(right, 2));
    cr_assert(runUntil(context, [&] { return right.received.size() == 2; }));
    // A second handshake shows that the first channel was closed.
    cr_assert(left.network->traffic().controlBytes > afterFirst + 400);
}
