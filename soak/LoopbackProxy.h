#pragma once

#include "almondlever/common/Time.h"

#include <asio.hpp>
#include <memory>
#include <set>
#include <string>

namespace almondlever::soak {

/** Forwards the bytes of loopback connections and harms them on request. */
class LoopbackProxy {
public:
    /** Harm to all connections, also to those that are open. */
    struct Faults {
        /** Added to each piece of data, in both directions. */
        Milliseconds delay { 0 };
        /** What the connecting side sends does not arrive; it notices nothing. */
        bool isCutUpwards = false;
        /** What the other side answers does not arrive. */
        bool isCutDownwards = false;
    };

    explicit LoopbackProxy(asio::io_context& context)
        : acceptor_(context)
    {
    }

    /** Listens on a free port, or on one that it had before; "" or what went wrong. */
    std::string start();
    std::uint16_t port() const { return port_; }
    void setTarget(std::uint16_t port) { target_ = port; }
    Faults& faults() { return faults_; }
    /** Ends all connections. */
    void reset();

private:
    class Pipe;

    void accept();

    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::uint16_t target_ = 0;
    Faults faults_;
    std::set<std::shared_ptr<Pipe>> pipes_;
};

} // namespace almondlever::soak
