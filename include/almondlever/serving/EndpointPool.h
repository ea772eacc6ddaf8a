#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/endpoints/EndpointConnection.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondlever {

/** Limits of an EndpointPool. */
struct EndpointPoolLimits {
    /** Number of connections that are kept open. */
    std::size_t connections = 1;
    /** Largest number of concurrent connection attempts, so that a primary change does not open all connections at
     * once. */
    std::size_t opening = 4;
    Milliseconds openTimeout { 1000 };
};

/**
 * Connections to one endpoint under one claim. Opens them before they are needed, replaces lost ones, and retries with
 * exponential backoff. The user closes a connection whose state is unknown before returning it; closed connections are
 * not pooled again.
 */
class EndpointPool {
public:
    using ConnectionPtr = std::shared_ptr<EndpointConnection>;

    EndpointPool(EndpointConnector&, TimerService&, std::string address, EndpointPoolLimits);
    ~EndpointPool();
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    /** Sets the callback that is called when a new connection is idle, or when an attempt to open one failed. */
    void onChange(std::function<void(TimePoint now)>);
    /** Closes idle connections of an earlier claim and opens new ones under this claim. */
    void start(std::uint64_t claimEpoch);
    /** Closes idle connections and opens no more; connections in use are closed when they are returned. */
    void stop();

    /** Returns an idle connection, or null when there is none. */
    ConnectionPtr acquireConnection();
    /** Returns a connection to the pool, which replaces it when it is closed. */
    void returnConnection(const ConnectionPtr&);

    /** Number of connections: idle, in use and being opened. */
    std::size_t size() const;
    std::size_t idleCount() const;
    /** True when the last attempts to open failed and no connection is open. */
    bool isUnreachable() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
