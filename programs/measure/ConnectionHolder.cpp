#include "ConnectionHolder.h"

#include <asio.hpp>

#include <iostream>
#include <thread>
#include <vector>

namespace almondlever::measure {

std::size_t holdConnections(const std::string& address, std::size_t count, std::chrono::seconds time)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        return 0;
    std::error_code error;
    const auto host = asio::ip::make_address(address.substr(0, colon), error);
    if (error)
        return 0;
    const asio::ip::tcp::endpoint daemon(host, static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: " + address + "\r\n\r\n";
    asio::io_context context;
    std::vector<asio::ip::tcp::socket> sockets;
    std::string answer(4096, '\0');
    while (sockets.size() < count) {
        asio::ip::tcp::socket socket(context);
        socket.connect(daemon, error);
        if (error)
            break;
        asio::write(socket, asio::buffer(request), error);
        if (error || socket.read_some(asio::buffer(answer), error) == 0)
            break;
        sockets.push_back(std::move(socket));
    }
    std::cout << "held " << sockets.size() << std::endl;
    std::this_thread::sleep_for(time);
    return sockets.size();
}

} // namespace almondlever::measure
