#pragma once

#include "DelayLine.h"
#include "almondlever/transport/HttpMessage.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace almondlever::standin {

/** Bytes that VMs sent and received through the relays. */
struct RelayBytes {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};
using RelayCounters = std::map<std::string, RelayBytes>;

/**
 * TCP relay in front of one daemon, through which other daemons reach it with the latency and the partitions of the
 * emulated network. It learns the connecting VM from the first line, "GET /peer/<vm id> HTTP/1.1".
 */
class Relay {
public:
    struct Settings {
        HttpAddress listen;
        HttpAddress daemon;
        /** Place of the daemon. */
        Place place;
    };

    Relay(asio::io_context&, NetworkModel&, const Settings&, RelayCounters&);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /** Listens; the error says why that fails. */
    Result<HttpAddress, std::string> start();
    std::size_t openConnections() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever::standin
