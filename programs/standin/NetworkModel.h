#pragma once

#include "almondlever/common/Time.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace almondlever::standin {

/** Where a process runs, as far as the emulated network cares. */
struct Place {
    std::string failureDomain;
    std::string vm;
    /** Name of a database server; empty for other processes. */
    std::string endpoint;
};

/** One-way latencies between two processes. */
struct NetworkLatencies {
    Duration insideDomain { 0 };
    Duration betweenDomains { 0 };
    Duration betweenRegions { 0 };
};

/** Latencies and partitions between failure domains. Keeps no queue; DelayLine asks it. */
class NetworkModel {
public:
    /** Failure domain name by which partitions address the platform's services. */
    static constexpr const char* platformDomain = "platform";

    void setLatencies(const NetworkLatencies& latencies) { latencies_ = latencies; }
    /** Time that the platform's services take for the way there and back together. */
    void setPlatformRoundTrip(Duration roundTrip) { platformRoundTrip_ = roundTrip; }
    void addFailureDomain(const std::string& domain, const std::string& region) { regions_[domain] = region; }
    void placeVm(const std::string& vm, const std::string& domain) { vmDomains_[vm] = domain; }
    void setLatencyFactor(double factor) { latencyFactor_ = factor; }

    /** Place of a VM; the failure domain is empty when the VM is unknown, which means no latency. */
    Place placeOfVm(const std::string& vm) const;
    bool hasFailureDomain(const std::string& domain) const { return regions_.count(domain) > 0; }
    bool hasVm(const std::string& vm) const { return vmDomains_.count(vm) > 0; }

    /** One-way latency; zero when one of the places has no failure domain. */
    Duration latency(const Place& from, const Place& to) const;
    /** True while no bytes pass between the places. */
    bool isBlocked(const Place& a, const Place& b) const;

    void partitionDomains(const std::string& a, const std::string& b);
    void healDomains(const std::string& a, const std::string& b);
    void isolateVm(const std::string& vm);
    void rejoinVm(const std::string& vm);
    void isolateEndpoint(const std::string& endpoint);
    void rejoinEndpoint(const std::string& endpoint);
    void healAll();

    using Listener = std::function<void()>;
    /** Registers a function called after each change of partitions; returns a number for removal. */
    std::size_t addListener(Listener);
    void removeListener(std::size_t);

private:
    bool isIsolated(const Place&) const;
    void notify();

    NetworkLatencies latencies_;
    Duration platformRoundTrip_ { 0 };
    double latencyFactor_ = 1;
    std::map<std::string, std::string> regions_;
    std::map<std::string, std::string> vmDomains_;
    std::set<std::pair<std::string, std::string>> partitions_;
    std::set<std::string> isolatedVms_;
    std::set<std::string> isolatedEndpoints_;
    std::map<std::size_t, Listener> listeners_;
    std::size_t nextListener_ = 1;
};

} // namespace almondlever::standin
