#pragma once

#include "almondlever/common/Time.h"

#include <asio.hpp>
#include <functional>
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
    /**
     * Cuts the connections whose connecting side has a port for which the function returns true, or refuses them;
     * decided once for each connection, open or new.
     */
    void exclude(std::function<bool(std::uint16_t)> isExcluded, bool refuses);
    /** Ends what exclude() began; what it held back is dropped. */
    void include();

private:
    class Pipe;

    void accept();

    asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::uint16_t target_ = 0;
    Faults faults_;
    std::function<bool(std::uint16_t)> isExcluded_;
    bool refusesExcluded_ = false;
    std::set<std::shared_ptr<Pipe>> pipes_;
};

} // namespace almondlever::soak
