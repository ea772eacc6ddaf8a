#pragma once

#include "KeyValueStore.h"
#include "StandinHttpServer.h"
#include "VmRegistry.h"

#include <list>
#include <nlohmann/json.hpp>

namespace almondlever::standin {

/**
 * The platform's key-value service and VM list over HTTP, with the faults that the control interface sets.
 *
 * @see docs/PLATFORM_CONTRACT.md
 */
class PlatformServer {
public:
    struct Settings {
        HttpAddress address;
        double readsPerSecond = 0;
        double writesPerSecond = 0;
    };

    PlatformServer(asio::io_context&, NetworkModel&, const Settings&);
    ~PlatformServer();
    PlatformServer(const PlatformServer&) = delete;
    PlatformServer& operator=(const PlatformServer&) = delete;

    Result<HttpAddress, std::string> start() { return server_.start(); }
    HttpAddress address() const { return server_.address(); }
    VmRegistry& vms() { return vms_; }

    /** During an outage calls of the key-value service get no answer; their connections close when it ends. */
    void setOutage(bool isOut);
    /** Delays each answer of the key-value service. */
    void setSlowness(Milliseconds delay) { slowness_ = delay; }
    /** The next changes take effect but are not answered. */
    void loseAnswers(std::size_t changes) { answersToLose_ = changes; }
    nlohmann::json statistics() const;

private:
    using Connection = StandinHttpServer::Connection;

    struct Watch {
        Connection connection;
        std::string key;
        std::uint64_t knownRevision = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    void receive(const Connection&, const StandinRequest&);
    void get(const Connection&, const StandinRequest&);
    void change(const Connection&, const StandinRequest&);
    void list(const Connection&, const StandinRequest&);
    void listVms(const Connection&);
    void watch(const Connection&, const StandinRequest&, std::uint64_t knownRevision);
    void answerChange(const Connection&, const KeyValueChange&);
    void answerKey(const Connection&, const std::string& key);
    void answer(const Connection&, unsigned status, const nlohmann::json&);
    void answerWatches();
    void endWatch(std::uint64_t connection);
    void expireLeases();
    void forget(const Connection&);

    asio::io_context& context_;
    KeyValueStore store_;
    VmRegistry vms_;
    CallRate reads_;
    CallRate writes_;
    StandinHttpServer server_;
    std::list<Watch> watches_;
    std::list<Connection> unanswered_;
    asio::steady_timer leaseTimer_;
    bool isOut_ = false;
    Milliseconds slowness_ { 0 };
    std::size_t answersToLose_ = 0;
    std::uint64_t watchCalls_ = 0;
    std::uint64_t vmListCalls_ = 0;
    std::uint64_t lostAnswers_ = 0;
    std::shared_ptr<bool> isAlive_ = std::make_shared<bool>(true);
};

} // namespace almondlever::standin
