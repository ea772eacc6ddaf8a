#include "Standin.h"

#include <algorithm>
#include <asio.hpp>
#include <stdexcept>

namespace almondlever::standin {

namespace {

    using Json = nlohmann::json;

    std::string toText(const HttpAddress& address) { return address.host + ':' + std::to_string(address.port); }

    HttpResponse jsonResponse(unsigned status, const Json& body)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }

    /** Reads "ip:port" where port 0 stands for a free one. */
    HttpAddress parseListenAddress(const std::string& text)
    {
        static const std::string anyPort = ":0";
        const bool isAnyPort
            = text.size() > anyPort.size() && text.compare(text.size() - anyPort.size(), anyPort.size(), anyPort) == 0;
        if (isAnyPort)
            return { text.substr(0, text.size() - anyPort.size()), 0 };
        const auto address = parseHttpAddress(text);
        if (!address)
            throw std::invalid_argument(address.error());
        return address.value();
    }

} // namespace

Standin::Standin(asio::io_context& context, StandinConfig config, const StandinOptions& options)
    : context_(context)
    , config_(std::move(config))
    , options_(options)
{
    setUpNetwork();
    const auto isWanted = [this](const std::string& id) {
        return std::any_of(options_.endpoints.begin(), options_.endpoints.end(),
            [&id](const std::string& name) { return name == "all" || name == id; });
    };
    for (EndpointSettings settings : config_.endpoints) {
        const std::string id = settings.id.text();
        if (!isWanted(id))
            continue;
        if (!options_.dataFolder.empty())
            settings.journalPath = options_.dataFolder + '/' + id + ".journal";
        endpoints_[id] = std::make_unique<EndpointServer>(context_, network_, std::move(settings),
            [this](const EndpointId& endpointId) { return findReplicationAddress(endpointId); });
    }
    for (const std::string& name : options_.endpoints) {
        if (name != "all" && endpoints_.count(name) == 0)
            throw std::invalid_argument("the configuration has no endpoint '" + name + "'");
    }
    if (options_.runsPlatform) {
        const PlatformSettings& platform = config_.platform;
        platform_ = std::make_unique<PlatformServer>(context_, network_,
            PlatformServer::Settings { platform.address, platform.readsPerSecond, platform.writesPerSecond });
        platform_->vms().setLag(platform.vmListLag);
    }
    if (options_.control) {
        control_ = std::make_unique<StandinHttpServer>(context_, network_,
            StandinHttpServer::Settings { *options_.control, {}, 0, {} },
            StandinHttpServer::Handlers { [this](const StandinHttpServer::Connection& connection,
                                              const StandinRequest& request) { receiveControl(connection, request); },
                nullptr, nullptr });
    }
}

Standin::~Standin() = default;

void Standin::setUpNetwork()
{
    network_.setLatencies(config_.latencies);
    network_.setPlatformRoundTrip(config_.platform.roundTrip);
    for (const FailureDomainSettings& domain : config_.failureDomains)
        network_.addFailureDomain(domain.id, domain.region);
    for (const VmSettings& vm : config_.vms)
        network_.placeVm(vm.id, vm.failureDomain);
}

Result<Done, std::string> Standin::start()
{
    for (const auto& [id, endpoint] : endpoints_) {
        if (auto started = endpoint->start(); !started)
            return started;
    }
    for (const auto& [id, endpoint] : endpoints_)
        endpoint->beginReplication();
    for (const VmSettings& vm : config_.vms) {
        if (!options_.runsRelays || vm.relayAddress.empty())
            continue;
        if (const auto started = startRelay(vm); !started)
            return started.error();
    }
    if (platform_) {
        if (const auto started = platform_->start(); !started)
            return started.error();
        for (const VmSettings& vm : config_.vms) {
            platform_->vms().addInitially(
                { VmId(vm.id), VmState::Live, FailureDomainId(vm.failureDomain), peerAddress(vm) });
        }
    }
    if (control_) {
        if (const auto started = control_->start(); !started)
            return started.error();
    }
    return Done {};
}

Result<HttpAddress, std::string> Standin::startRelay(const VmSettings& vm)
{
    const Relay::Settings settings { parseListenAddress(vm.relayAddress), parseListenAddress(vm.daemonAddress),
        network_.placeOfVm(vm.id) };
    auto relay = std::make_unique<Relay>(context_, network_, settings, relayCounters_);
    auto address = relay->start();
    if (address)
        relays_[vm.id] = { std::move(relay), address.value() };
    return address;
}

std::optional<HttpAddress> Standin::findReplicationAddress(const EndpointId& id) const
{
    const auto local = endpoints_.find(id.text());
    if (local != endpoints_.end())
        return local->second->replicationAddress();
    for (const EndpointSettings& settings : config_.endpoints) {
        if (settings.id == id && settings.replicationAddress.port != 0)
            return settings.replicationAddress;
    }
    return std::nullopt;
}

std::string Standin::peerAddress(const VmSettings& vm) const
{
    const auto relay = relays_.find(vm.id);
    if (relay != relays_.end())
        return toText(relay->second.address);
    return vm.relayAddress.empty() ? vm.daemonAddress : vm.relayAddress;
}

Json Standin::addresses() const
{
    Json addresses { { "endpoints", Json::object() }, { "relays", Json::object() } };
    for (const auto& [id, endpoint] : endpoints_) {
        addresses["endpoints"][id] = { { "address", toText(endpoint->address()) },
            { "replication_address", toText(endpoint->replicationAddress()) } };
    }
    for (const auto& [vm, relay] : relays_)
        addresses["relays"][vm] = toText(relay.address);
    if (platform_)
        addresses["platform"] = toText(platform_->address());
    if (control_)
        addresses["control"] = toText(control_->address());
    return addresses;
}

Json Standin::statistics() const
{
    Json statistics { { "endpoints", Json::object() }, { "relays", Json::object() } };
    for (const auto& [id, endpoint] : endpoints_)
        statistics["endpoints"][id] = endpoint->statistics();
    if (platform_)
        statistics["platform"] = platform_->statistics();
    Json bytes = Json::object();
    for (const auto& [vm, counters] : relayCounters_)
        bytes[vm] = { { "sent", counters.sent }, { "received", counters.received } };
    std::size_t open = 0;
    for (const auto& [vm, relay] : relays_)
        open += relay.relay->openConnections();
    statistics["relays"] = { { "bytes_by_vm", bytes }, { "connections_open", open } };
    return statistics;
}

void Standin::receiveControl(const StandinHttpServer::Connection& connection, const StandinRequest& request)
{
    try {
        if (request.method == "GET" && request.path == "/control/stats")
            return connection->respond(jsonResponse(200, statistics()));
        if (request.method == "GET" && request.path == "/control/log") {
            const Json action { { "endpoint", request.parameter("endpoint") } };
            return connection->respond(jsonResponse(200, { { "entries", endpoint(action).describeLog() } }));
        }
        if (request.method == "POST" && request.path == "/control")
            return connection->respond(jsonResponse(200, act(Json::parse(request.body))));
        connection->respond(
            jsonResponse(404, { { "error", "use POST /control, GET /control/stats or /control/log" } }));
    } catch (const std::exception& error) {
        connection->respond(jsonResponse(400, { { "error", error.what() } }));
    }
}

} // namespace almondlever::standin
