#include "LineCaller.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace almondlever::crowds {

LineCaller::LineCaller(std::uint16_t port)
    : socket_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // A refused connection shows as one that ends at the first read.
    (void)connect(socket_, reinterpret_cast<const sockaddr*>(&address), sizeof address); // NOLINT
}

LineCaller::~LineCaller() { ::close(socket_); }

bool LineCaller::write(std::string_view text) const
{
    while (!text.empty()) {
        const ssize_t written = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
        if (written <= 0)
            return false;
        text.remove_prefix(static_cast<std::size_t>(written));
    }
    return true;
}

std::string LineCaller::readLine(Milliseconds limit)
{
    const TimePoint until = Clock::now() + limit;
    for (;;) {
        const std::size_t end = received_.find("\r\n");
        if (end != std::string::npos) {
            std::string line = received_.substr(0, end);
            received_.erase(0, end + 2);
            return line;
        }
        const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now());
        pollfd waiting { socket_, POLLIN, 0 };
        if (left.count() <= 0 || poll(&waiting, 1, static_cast<int>(left.count())) <= 0)
            return {};
        std::array<char, 65536> buffer {};
        const ssize_t size = ::recv(socket_, buffer.data(), buffer.size(), 0);
        if (size <= 0)
            return {};
        received_.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

bool LineCaller::isClosed() const
{
    std::array<char, 4096> buffer {};
    for (;;) {
        const ssize_t size = ::recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size == 0)
            return true;
        if (size < 0)
            return errno != EAGAIN && errno != EWOULDBLOCK;
    }
}

} // namespace almondlever::crowds
