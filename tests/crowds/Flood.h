#pragma once

#include "almondlever/common/Time.h"

#include <atomic>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace almondlever::crowds {

/** What each connection of a flood does. */
struct FloodHabits {
    std::size_t connections = 0;
    /** Sent by every connection; empty for silent ones. */
    std::string text;
    /** Bytes sent in each step; 0 for as many as the connection takes. */
    std::size_t bytesInStep = 0;
    /** Time between two steps of a connection that sends in steps. */
    Milliseconds stepInterval { 0 };
    /** False for callers that leave every answer unread. */
    bool reads = false;
};

/**
 * Many connections to one port that all do the same, on a thread of their own, and stay open until the daemon closes
 * them or stop() is called.
 */
class Flood {
public:
    Flood(std::uint16_t port, FloodHabits);
    ~Flood() { stop(); }
    Flood(const Flood&) = delete;
    Flood& operator=(const Flood&) = delete;

    /**
     * Returns once all connections were attempted and nothing has been sent or closed for the quiet time, or the limit
     * has passed.
     */
    void waitUntilQuiet(Milliseconds quiet, Milliseconds limit) const;
    void stop();
    std::size_t openConnections() const { return open_; }

private:
    struct Connection {
        int socket = -1;
        std::size_t sent = 0;
        bool isConnected = false;
    };

    void run();
    void connectNext();
    /** Sends and receives what is possible without waiting; returns true if anything changed. */
    bool serve(Connection&, std::size_t mostBytes) const;

    std::uint16_t port_;
    FloodHabits habits_;
    std::vector<Connection> connections_;
    std::atomic<std::size_t> open_ { 0 };
    std::atomic<bool> hasConnectedAll_ { false };
    std::atomic<std::int64_t> lastChange_ { 0 };
    std::atomic<bool> isStopping_ { false };
    std::thread thread_;
};

} // namespace almondlever::crowds
