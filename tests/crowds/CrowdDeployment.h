#pragma once

#include "soak/DaemonProcess.h"
#include "soak/StandinGroup.h"
#include "soak/StandinStore.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace almondlever::crowds {

/** Limits that the settings file of the daemon states, as the platform enforces them. */
struct VmLimits {
    std::size_t megabytes = 64;
    std::size_t descriptors = 1000;
};

/** Memory and descriptors of a process as /proc shows them. */
struct Usage {
    std::size_t peakBytes = 0;
    std::size_t residentBytes = 0;
    std::size_t descriptors = 0;
};

/**
 * One real almondlever-front with the stand-ins of a store, a promotion service and one group of three endpoints, which
 * run on a thread of their own. Reads of an item that begins with "large" return about 960 kB in rows.
 */
class CrowdDeployment {
public:
    explicit CrowdDeployment(const VmLimits&);
    ~CrowdDeployment();
    CrowdDeployment(const CrowdDeployment&) = delete;
    CrowdDeployment& operator=(const CrowdDeployment&) = delete;

    std::uint16_t callerPort() const { return callerPort_; }
    std::uint16_t readinessPort() const { return readinessPort_; }
    std::uint16_t peerPort() const { return peerPort_; }

    /** True while the process runs. */
    bool isAlive();
    Usage usage() const;
    /** The largest number of descriptors that was seen since the start; sampled every few milliseconds. */
    std::size_t peakDescriptors() const { return peakDescriptors_; }
    /** True once the daemon holds at most this many descriptors; false if it does not get there within the time. */
    bool waitForDescriptors(std::size_t atMost, Milliseconds limit) const;

    /** True once something listens on the port; the port for other daemons opens seconds after the start. */
    static bool waitForPort(std::uint16_t port, Milliseconds limit);

    /**
     * Opens a session and runs the statement until it is answered with COMPLETE. Rejections and closed connections are
     * retried until the time has passed, as an ordinary caller does.
     */
    bool serves(const std::string& statement, Milliseconds limit = Milliseconds(20000)) const;

private:
    void startStandins();
    void writeEntries();
    void tick();
    void sample();

    VmLimits limits_;
    asio::io_context context_ { 1 };
    asio::steady_timer timer_;
    soak::PromiseChecker checker_;
    soak::StandinStore store_;
    std::unique_ptr<HttpServer> promotions_;
    soak::StandinGroup group_;
    std::uint64_t sequence_ = 0;
    TimePoint entriesAt_ {};
    std::uint16_t storePort_ = 0;
    std::uint16_t promotionPort_ = 0;
    std::uint16_t callerPort_ = 0;
    std::uint16_t readinessPort_ = 0;
    std::uint16_t peerPort_ = 0;
    std::string folder_;
    std::unique_ptr<soak::DaemonProcess> process_;
    std::atomic<bool> isStopping_ { false };
    std::atomic<std::size_t> peakDescriptors_ { 0 };
    std::thread standins_;
    std::thread sampler_;
};

} // namespace almondlever::crowds
