#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/endpoints/EndpointConnection.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace almondlever {

/** Bounds of a pool. */
struct EndpointPoolLimits {
    /** Connections kept open; the pool opens this many ahead of need. */
    std::size_t connections = 1;
    /** Connections that may be opening at the same time, so that a primary change does not open all at once. */
    std::size_t opening = 4;
    Milliseconds openTimeout { 1000 };
};

/**
 * Warm connections to one endpoint under one claim. Opens ahead of need, replaces lost ones, and waits with a growing
 * delay after failures. A connection whose state is in doubt is closed by its user and never returns.
 */
class EndpointPool {
public:
    using ConnectionPtr = std::shared_ptr<EndpointConnection>;

    EndpointPool(EndpointConnector&, TimerService&, std::string address, EndpointPoolLimits);
    ~EndpointPool();
    EndpointPool(const EndpointPool&) = delete;
    EndpointPool& operator=(const EndpointPool&) = delete;

    /** Called when a connection has become idle, or when opening failed. */
    void onChange(std::function<void(TimePoint now)>);
    /** Starts to open connections under a claim. */
    void start(std::uint64_t claimEpoch);
    /** Closes idle connections and opens no more; connections in use are closed when they are given back. */
    void stop();

    /** An idle connection, or null. */
    ConnectionPtr take();
    /** Returns a connection; it is pooled when it is still open, and replaced otherwise. */
    void giveBack(const ConnectionPtr&);

    /** Open connections, idle or in use, and those being opened. */
    std::size_t size() const;
    std::size_t idleCount() const;
    /** True when the last attempts to open failed and no connection is open. */
    bool isUnreachable() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
