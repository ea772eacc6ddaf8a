#pragma once

#include "EndpointServer.h"
#include "NetworkModel.h"
#include "almondlever/common/Finding.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::standin {

struct FailureDomainSettings {
    std::string id;
    std::string region;
};

/** A VM; the daemon's addresses are set only for VMs that run one. */
struct VmSettings {
    std::string id;
    std::string failureDomain;
    /** "ip:port" where the VM's daemon accepts other daemons. */
    std::string daemonAddress;
    /** "ip:port" of the relay in front of the daemon; port 0 picks a free one. */
    std::string relayAddress;
};

struct PlatformSettings {
    HttpAddress address;
    double readsPerSecond = 2000;
    double writesPerSecond = 300;
    /** Time that an answer takes on the way there and back. */
    Duration roundTrip { 0 };
    Milliseconds vmListLag { 0 };
};

/** The configuration file of the stand-in. */
struct StandinConfig {
    NetworkLatencies latencies;
    std::vector<FailureDomainSettings> failureDomains;
    std::vector<VmSettings> vms;
    std::vector<EndpointSettings> endpoints;
    PlatformSettings platform;
};

/** Reads a file in JSON or YAML; JSON is read as the subset of YAML that it is. All findings are reported together. */
Result<StandinConfig, Findings> loadConfig(const std::string& path);
/** As loadConfig, from a text; the file name is used in findings only. */
Result<StandinConfig, Findings> parseConfig(const std::string& text, const std::string& file);

} // namespace almondlever::standin
