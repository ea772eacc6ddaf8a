#include "CrowdDeployment.h"

#include "LineCaller.h"

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <unistd.h>

namespace almondlever::crowds {

namespace {

    using Json = nlohmann::json;

    constexpr Milliseconds tickInterval { 4 };
    constexpr Milliseconds heartbeat { 600 };
    constexpr Milliseconds sampleInterval { 10 };
    constexpr Milliseconds startLimit { 15000 };
    constexpr std::size_t largeRows = 16;
    constexpr std::size_t largeRowBytes = 60000;
    constexpr std::size_t bytesInKilobyte = 1024;
    constexpr unsigned statusOk = 200;

    /** A port below the range from which the system draws those of outgoing connections. */
    std::uint16_t findFreePort()
    {
        constexpr int firstPort = 6000;
        constexpr int ports = 3500;
        static int next = static_cast<int>(getpid()) * 7;
        asio::io_context context;
        for (;;) {
            const auto port = static_cast<std::uint16_t>(firstPort + next++ % ports);
            asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::v4());
            std::error_code error;
            acceptor.set_option(asio::socket_base::reuse_address(true), error);
            acceptor.bind({ asio::ip::address_v4::loopback(), port }, error);
            if (!error)
                return port;
        }
    }

    std::string loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    std::string programPath()
    {
        // Another build of the daemon, to show what the same load does to it.
        const char* other = std::getenv("ALMONDLEVER_FRONT");
        return other ? other : ALMONDLEVER_FRONT_PROGRAM;
    }

} // namespace

CrowdDeployment::CrowdDeployment(const VmLimits& limits)
    : limits_(limits)
    , timer_(context_)
    , store_(context_, 1)
    , group_(context_, checker_, GroupId("ledger"), 1, soak::OddData::None)
    , callerPort_(findFreePort())
    , readinessPort_(findFreePort())
    , peerPort_(findFreePort())
    , folder_(std::filesystem::temp_directory_path() / ("almondlever-crowds-" + std::to_string(getpid())))
{
    startStandins();
    std::filesystem::create_directories(folder_);
    const Json boot = { { "node-name", "front-1" }, { "role", "front" }, { "machine-class", "front" },
        { "serves", { "front" } }, { "ip", "127.0.0.1" }, { "zone", "zone-a" }, { "region", "region-a" },
        { "zones", { { "zone-a", "region-a" } } },
        { "listen", { { "front", loopback(callerPort_) }, { "ready-addr", loopback(readinessPort_) } } },
        { "internal-ports", { peerPort_, peerPort_ } }, { "seeds", Json::array() }, { "bootstrap", true },
        { "limits",
            { { "cpu-share", 0.25 }, { "cores", 1 }, { "memory-mb", limits.megabytes },
                { "max-fds", limits.descriptors }, { "link-mbps", 1000.0 }, { "disk-mb", 0 } } },
        { "data-dir", nullptr }, { "discovery", "platform" }, { "entry", "vip" }, { "heartbeat-ms", 600 },
        { "bounds", { { "contact-ms", 5000 }, { "drain-ms", 4000 }, { "grace-s", 4 }, { "enforce-fencing", true } } },
        { "platform",
            { { "address", loopback(storePort_) }, { "form", "kv" }, { "writes-per-s", 400 }, { "reads-per-s", 2000 },
                { "ttl-min-ms", 1000 } } },
        { "cloud",
            { { "address", loopback(promotionPort_) }, { "duties", { "promotion" } }, { "duty-per-s", 50.0 } } } };
    std::ofstream(folder_ + "/boot.json") << boot.dump(2);
    process_ = std::make_unique<soak::DaemonProcess>(programPath(), folder_ + "/boot.json", folder_ + "/front.log");
    const std::string fault = process_->start();
    if (!fault.empty())
        throw std::runtime_error(programPath() + ": " + fault);
    sampler_ = std::thread([this] { sample(); });
    if (!serves("READ first", startLimit))
        throw std::runtime_error("the daemon does not serve before the load begins");
}

CrowdDeployment::~CrowdDeployment()
{
    isStopping_ = true;
    sampler_.join();
    process_.reset();
    context_.stop();
    standins_.join();
    if (!std::getenv("ALMONDLEVER_KEEP_LOGS"))
        std::filesystem::remove_all(folder_);
}

void CrowdDeployment::startStandins()
{
    storePort_ = store_.start();
    promotions_ = makeHttpServer(context_, {}, [](const auto& exchange) {
        HttpResponse response;
        response.status = statusOk;
        response.body = "{}";
        exchange->respond(response);
    });
    const auto started = promotions_->start();
    if (storePort_ == 0 || !started)
        throw std::runtime_error("the stand-ins cannot listen");
    promotionPort_ = started.value().port;
    for (const char* name : { "ledger-a", "ledger-b", "ledger-c" }) {
        soak::StandinEndpoint& endpoint = group_.add(EndpointId(name));
        endpoint.setLargeReads("large", largeRows, largeRowBytes);
        if (!endpoint.start(findFreePort()).empty())
            throw std::runtime_error("an endpoint cannot listen");
    }
    group_.setFirstLeader(EndpointId("ledger-a"));
    const Json route = { { "database", "orders" }, { "service", "ledger" }, { "type", "primary" },
        { "timeout-ms", 10000 }, { "target-latency-ms", 5000 }, { "priority", 0 } };
    const Json configuration = { { "version", 1 }, { "routes", { route } },
        { "services", { { { "name", "ledger" }, { "max-conns", 60 }, { "sync-replicas", 1 } } } },
        { "limits", { { "tx-idle-ms", 2000 }, { "max-body-bytes", 1024 * 1024 } } } };
    store_.put("op/config", configuration.dump());
    tick();
    standins_ = std::thread([this] { context_.run(); });
}

void CrowdDeployment::writeEntries()
{
    for (const auto& [id, endpoint] : group_.endpoints()) {
        const Json entry = { { "service", "ledger" }, { "address", loopback(endpoint->port()) }, { "zone", "zone-a" },
            { "version", "v1" }, { "slots", 6 }, { "phase", "ready" }, { "cold-remaining-ms", 0 },
            { "sequence", ++sequence_ }, { "db-role", group_.leads(*endpoint) ? "primary" : "replica" },
            { "born", 1 } };
        store_.put("servers/" + id.text(), entry.dump());
    }
}

void CrowdDeployment::tick()
{
    const TimePoint now = Clock::now();
    if (now - entriesAt_ >= heartbeat) {
        entriesAt_ = now;
        writeEntries();
    }
    group_.tick(now);
    store_.tick(now);
    timer_.expires_after(tickInterval);
    timer_.async_wait([this](std::error_code error) {
        if (!error)
            tick();
    });
}

void CrowdDeployment::sample()
{
    while (!isStopping_) {
        peakDescriptors_ = std::max(peakDescriptors_.load(), usage().descriptors);
        std::this_thread::sleep_for(sampleInterval);
    }
}

bool CrowdDeployment::isAlive() { return process_->isRunning() && !process_->takeEnd(); }

Usage CrowdDeployment::usage() const
{
    Usage usage;
    const std::string root = "/proc/" + std::to_string(process_->id());
    std::ifstream status(root + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmHWM:", 0) == 0)
            usage.peakBytes = std::stoull(line.substr(6)) * bytesInKilobyte;
        else if (line.rfind("VmRSS:", 0) == 0)
            usage.residentBytes = std::stoull(line.substr(6)) * bytesInKilobyte;
    }
    std::error_code error;
    for (std::filesystem::directory_iterator entry(root + "/fd", error), end; !error && entry != end;
         entry.increment(error))
        ++usage.descriptors;
    return usage;
}

bool CrowdDeployment::waitForDescriptors(std::size_t atMost, Milliseconds limit) const
{
    const TimePoint until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (usage().descriptors <= atMost)
            return true;
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

bool CrowdDeployment::waitForPort(std::uint16_t port, Milliseconds limit)
{
    const TimePoint until = Clock::now() + limit;
    while (Clock::now() < until) {
        if (!LineCaller(port).isClosed())
            return true;
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

bool CrowdDeployment::serves(const std::string& statement, Milliseconds limit) const
{
    constexpr Milliseconds answerLimit { 12000 };
    const TimePoint until = Clock::now() + limit;
    while (Clock::now() < until) {
        LineCaller caller(callerPort_);
        caller.write("STARTUP orders who\r\n");
        if (caller.readLine(answerLimit).rfind("READY", 0) == 0) {
            caller.write("QUERY 1 " + statement + "\r\n");
            for (std::string line = caller.readLine(answerLimit); !line.empty(); line = caller.readLine(answerLimit)) {
                if (line.rfind("COMPLETE", 0) == 0)
                    return true;
                if (line.rfind("READY", 0) == 0)
                    break;
            }
        }
        std::this_thread::sleep_for(Milliseconds(100));
    }
    return false;
}

} // namespace almondlever::crowds
