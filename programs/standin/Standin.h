#pragma once

#include "PlatformServer.h"
#include "Relay.h"
#include "StandinConfig.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::standin {

/** What one process of the stand-in serves. */
struct StandinOptions {
    /** Names of the database servers to run; "all" stands for every server of the configuration. */
    std::vector<std::string> endpoints;
    bool runsPlatform = false;
    bool runsRelays = false;
    std::optional<HttpAddress> control;
    /** Folder of the journals; empty keeps everything in memory. */
    std::string dataFolder;
};

/** Assembles the parts that the options ask for and answers the control interface. */
class Standin {
public:
    /** Throws std::system_error when a journal cannot be used, std::invalid_argument for an unknown endpoint. */
    Standin(asio::io_context&, StandinConfig, const StandinOptions&);
    ~Standin();
    Standin(const Standin&) = delete;
    Standin& operator=(const Standin&) = delete;

    /** Listens everywhere; the error says which address cannot be used. */
    Result<Done, std::string> start();
    /** Actual addresses of everything that listens. */
    nlohmann::json addresses() const;
    nlohmann::json statistics() const;
    /** Carries out one action of the control interface; throws std::invalid_argument with what would be right. */
    nlohmann::json act(const nlohmann::json& action);

private:
    struct RunningRelay {
        std::unique_ptr<Relay> relay;
        HttpAddress address;
    };

    void receiveControl(const StandinHttpServer::Connection&, const StandinRequest&);
    void setUpNetwork();
    Result<HttpAddress, std::string> startRelay(const VmSettings&);
    std::optional<HttpAddress> findReplicationAddress(const EndpointId&) const;
    std::string peerAddress(const VmSettings&) const;
    EndpointServer& endpoint(const nlohmann::json& action);
    PlatformServer& platform();
    bool actOnNetwork(const std::string& name, const nlohmann::json& action);
    bool actOnEndpoint(const std::string& name, const nlohmann::json& action);
    bool actOnPlatform(const std::string& name, const nlohmann::json& action);
    bool actOnVms(const std::string& name, const nlohmann::json& action);
    void addVm(const nlohmann::json& action);

    asio::io_context& context_;
    StandinConfig config_;
    StandinOptions options_;
    NetworkModel network_;
    RelayCounters relayCounters_;
    std::map<std::string, std::unique_ptr<EndpointServer>> endpoints_;
    std::unique_ptr<PlatformServer> platform_;
    std::map<std::string, RunningRelay> relays_;
    std::unique_ptr<StandinHttpServer> control_;
};

} // namespace almondlever::standin
