#include "StandinConfig.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iterator>
#include <set>
#include <yaml-cpp/yaml.h>

namespace almondlever::standin {

namespace {

    constexpr double defaultPlatformLatencyMs = 2;

    Duration fromMilliseconds(double milliseconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
    }

    /** Reads the nodes of one file and collects the findings. */
    class Reader {
    public:
        explicit Reader(std::string file)
            : file_(std::move(file))
        {
        }

        StandinConfig read(const YAML::Node& root)
        {
            if (!root.IsMap()) {
                report(root, "the file is not a map", "write failure_domains, vms, endpoints and platform");
                return {};
            }
            checkKeys(root, { "deployment", "seed", "network", "failure_domains", "vms", "endpoints", "platform" });
            seed_ = scalar<std::uint32_t>(root, "seed", 1);
            readNetwork(root["network"]);
            for (const YAML::Node& node : root["failure_domains"])
                readFailureDomain(node);
            for (const YAML::Node& node : root["vms"])
                readVm(node);
            for (const YAML::Node& node : root["endpoints"])
                readEndpoint(node);
            readPlatform(root["platform"]);
            checkInitialPrimaries();
            return std::move(config_);
        }

        void report(const YAML::Node& node, std::string problem, std::string advice)
        {
            const YAML::Mark mark = node.Mark();
            findings_.push_back({ file_, mark.line + 1, mark.column + 1, std::move(problem), std::move(advice) });
        }

        Findings takeFindings() { return std::move(findings_); }

    private:
        template <typename Value> Value scalar(const YAML::Node& node, const char* key, Value fallback)
        {
            const YAML::Node child = node[key];
            if (!child)
                return fallback;
            try {
                return child.as<Value>();
            } catch (const YAML::Exception&) {
                report(child, std::string("'") + key + "' cannot be read", "write a number or a text of that kind");
                return fallback;
            }
        }

        std::string required(const YAML::Node& node, const char* key)
        {
            auto value = scalar<std::string>(node, key, "");
            if (value.empty())
                report(node, std::string("'") + key + "' is missing", std::string("add ") + key);
            return value;
        }

        void checkKeys(const YAML::Node& node, const std::set<std::string>& known)
        {
            for (const auto& pair : node) {
                const auto key = pair.first.as<std::string>();
                if (known.count(key) == 0)
                    report(pair.first, "unknown key '" + key + "'", "remove it or correct its spelling");
            }
        }

        /** Reads "ip:port"; unlike addresses of daemons, port 0 stands for a free port. */
        HttpAddress address(const YAML::Node& node, const char* key)
        {
            const std::string text = scalar<std::string>(node, key, "127.0.0.1:0");
            HttpAddress address;
            const std::size_t colon = std::min(text.rfind(':'), text.size());
            address.host = text.substr(0, colon);
            const char* end = text.data() + text.size();
            const char* begin = std::min(text.data() + colon + 1, end);
            const auto parsed = std::from_chars(begin, end, address.port);
            if (address.host.empty() || parsed.ec != std::errc() || parsed.ptr != end)
                report(node[key], "'" + text + "' is not an address", "write ip:port; port 0 picks a free one");
            return address;
        }

        void readNetwork(const YAML::Node& node)
        {
            if (!node)
                return;
            checkKeys(node, { "inside_domain_ms", "between_domains_ms", "between_regions_ms" });
            config_.latencies.insideDomain = fromMilliseconds(scalar<double>(node, "inside_domain_ms", 0));
            config_.latencies.betweenDomains = fromMilliseconds(scalar<double>(node, "between_domains_ms", 0));
            config_.latencies.betweenRegions = fromMilliseconds(scalar<double>(node, "between_regions_ms", 0));
        }

        void readFailureDomain(const YAML::Node& node)
        {
            checkKeys(node, { "id", "region" });
            config_.failureDomains.push_back({ required(node, "id"), required(node, "region") });
        }

        void readVm(const YAML::Node& node)
        {
            checkKeys(node, { "id", "failure_domain", "daemon_address", "relay_address" });
            VmSettings vm { required(node, "id"), required(node, "failure_domain"),
                scalar<std::string>(node, "daemon_address", ""), scalar<std::string>(node, "relay_address", "") };
            const bool isKnown = std::any_of(config_.failureDomains.begin(), config_.failureDomains.end(),
                [&vm](const FailureDomainSettings& domain) { return domain.id == vm.failureDomain; });
            if (!isKnown)
                report(node, "unknown failure domain '" + vm.failureDomain + "'", "list it under failure_domains");
            if (!vm.relayAddress.empty() && vm.daemonAddress.empty())
                report(node, "a relay without a daemon", "add daemon_address, to which the relay forwards");
            config_.vms.push_back(std::move(vm));
        }

        void readEndpoint(const YAML::Node& node)
        {
            checkKeys(node,
                { "id", "database", "vm", "address", "replication_address", "slots", "connections", "open_ms",
                    "service_ms", "service_spread_ms", "lag_ms", "initial_primary" });
            EndpointSettings endpoint;
            endpoint.id = EndpointId(required(node, "id"));
            endpoint.database = required(node, "database");
            endpoint.address = address(node, "address");
            endpoint.replicationAddress = address(node, "replication_address");
            endpoint.slots = scalar<std::size_t>(node, "slots", 1);
            endpoint.connections = scalar<std::size_t>(node, "connections", 10);
            endpoint.openTime = Milliseconds(scalar<std::int64_t>(node, "open_ms", 0));
            endpoint.serviceTime.mean = decltype(endpoint.serviceTime.mean)(scalar<double>(node, "service_ms", 0));
            endpoint.serviceTime.spread
                = decltype(endpoint.serviceTime.spread)(scalar<double>(node, "service_spread_ms", 0));
            endpoint.lag = Milliseconds(scalar<std::int64_t>(node, "lag_ms", 0));
            endpoint.seed = seed_ + static_cast<std::uint32_t>(config_.endpoints.size());
            const std::string vm = required(node, "vm");
            const auto found = std::find_if(config_.vms.begin(), config_.vms.end(),
                [&vm](const VmSettings& candidate) { return candidate.id == vm; });
            if (found == config_.vms.end())
                report(node, "unknown VM '" + vm + "'", "list it under vms");
            else
                endpoint.place = { found->failureDomain, vm, endpoint.id.text() };
            if (scalar<bool>(node, "initial_primary", false)
                && !primaries_.emplace(endpoint.database, endpoint.id).second)
                report(node, "second initial primary of a database", "keep one initial_primary for each database");
            config_.endpoints.push_back(std::move(endpoint));
        }

        void readPlatform(const YAML::Node& node)
        {
            PlatformSettings& platform = config_.platform;
            platform.address = { "127.0.0.1", 0 };
            platform.roundTrip = fromMilliseconds(defaultPlatformLatencyMs);
            if (!node)
                return;
            checkKeys(node, { "address", "reads_per_second", "writes_per_second", "latency_ms", "vm_list_lag_ms" });
            platform.address = address(node, "address");
            platform.readsPerSecond = scalar<double>(node, "reads_per_second", platform.readsPerSecond);
            platform.writesPerSecond = scalar<double>(node, "writes_per_second", platform.writesPerSecond);
            platform.roundTrip = fromMilliseconds(scalar<double>(node, "latency_ms", defaultPlatformLatencyMs));
            platform.vmListLag = Milliseconds(scalar<std::int64_t>(node, "vm_list_lag_ms", 0));
        }

        void checkInitialPrimaries()
        {
            for (EndpointSettings& endpoint : config_.endpoints) {
                const auto found = primaries_.find(endpoint.database);
                if (found != primaries_.end())
                    endpoint.initialPrimary = found->second;
            }
        }

        std::string file_;
        Findings findings_;
        StandinConfig config_;
        std::map<std::string, EndpointId> primaries_;
        std::uint32_t seed_ = 1;
    };

} // namespace

Result<StandinConfig, Findings> parseConfig(const std::string& text, const std::string& file)
{
    Reader reader(file);
    StandinConfig config;
    try {
        config = reader.read(YAML::Load(text));
    } catch (const YAML::Exception& error) {
        return Findings { { file, error.mark.line + 1, error.mark.column + 1, error.msg, "correct the syntax" } };
    }
    Findings findings = reader.takeFindings();
    if (!findings.empty())
        return findings;
    return config;
}

Result<StandinConfig, Findings> loadConfig(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Findings { { path, 0, 0, "the file cannot be read", "name a file in JSON or YAML" } };
    return parseConfig(std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>()), path);
}

} // namespace almondlever::standin
