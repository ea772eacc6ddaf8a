#include "Flood.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondlever::crowds {

namespace {

    /** Connections opened before all are served once, so that the daemon's queue of new connections does not overflow.
     */
    constexpr std::size_t connectionsInRound = 100;
    constexpr Milliseconds roundPause { 2 };
    constexpr std::size_t mostBytesInRound = 256 * 1024;
    /** Small, so that unread answers stay with the daemon and not in the caller's kernel buffers. */
    constexpr int receiveBufferBytes = 4096;

    bool wouldBlock() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINPROGRESS || errno == ENOTCONN; }

    std::int64_t nowInMilliseconds()
    {
        return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
    }

} // namespace

Flood::Flood(std::uint16_t port, FloodHabits habits)
    : port_(port)
    , habits_(std::move(habits))
    , lastChange_(nowInMilliseconds())
    , thread_([this] { run(); })
{
}

void Flood::stop()
{
    isStopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

void Flood::waitUntilQuiet(Milliseconds quiet, Milliseconds limit) const
{
    const TimePoint until = Clock::now() + limit;
    while (Clock::now() < until && (!hasConnectedAll_ || nowInMilliseconds() - lastChange_ < quiet.count()))
        std::this_thread::sleep_for(Milliseconds(20));
}

void Flood::connectNext()
{
    Connection connection;
    connection.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!habits_.reads)
        setsockopt(connection.socket, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port_);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isRefused
        = connect(connection.socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 // NOLINT
        && !wouldBlock();
    if (isRefused) {
        ::close(connection.socket);
        connection.socket = -1;
    }
    connections_.push_back(connection);
}

bool Flood::serve(Connection& connection, std::size_t mostBytes) const
{
    std::array<char, 16384> buffer {};
    bool hasChanged = false;
    // Looks at one byte without taking it, so that a caller that does not read still notices the end.
    const ssize_t size = habits_.reads ? ::recv(connection.socket, buffer.data(), buffer.size(), 0)
                                       : ::recv(connection.socket, buffer.data(), 1, MSG_PEEK);
    bool hasEnded = size == 0 || (size < 0 && !wouldBlock());
    hasChanged = habits_.reads && size > 0;
    const std::size_t left = std::min(mostBytes, habits_.text.size() - connection.sent);
    if (!hasEnded && left > 0) {
        const ssize_t written = ::send(connection.socket, habits_.text.data() + connection.sent, left, MSG_NOSIGNAL);
        hasEnded = written < 0 && !wouldBlock();
        if (written > 0)
            connection.sent += static_cast<std::size_t>(written);
        hasChanged = hasChanged || written > 0;
    }
    if (!hasEnded)
        return hasChanged;
    ::close(connection.socket);
    connection.socket = -1;
    return true;
}

void Flood::run()
{
    TimePoint stepAt = Clock::now();
    while (!isStopping_) {
        for (std::size_t i = 0; i < connectionsInRound && connections_.size() < habits_.connections; ++i)
            connectNext();
        hasConnectedAll_ = connections_.size() >= habits_.connections;
        const bool isInSteps = habits_.bytesInStep > 0;
        const bool isStepDue = Clock::now() >= stepAt;
        if (isStepDue)
            stepAt = Clock::now() + habits_.stepInterval;
        const std::size_t mostBytes = !isInSteps ? mostBytesInRound : isStepDue ? habits_.bytesInStep : 0;
        std::size_t open = 0;
        bool hasChanged = !hasConnectedAll_;
        for (Connection& connection : connections_) {
            if (connection.socket >= 0 && serve(connection, mostBytes))
                hasChanged = true;
            open += connection.socket >= 0 ? 1 : 0;
        }
        open_ = open;
        if (hasChanged)
            lastChange_ = nowInMilliseconds();
        std::this_thread::sleep_for(roundPause);
    }
    for (const Connection& connection : connections_) {
        if (connection.socket >= 0)
            ::close(connection.socket);
    }
}

} // namespace almondlever::crowds
