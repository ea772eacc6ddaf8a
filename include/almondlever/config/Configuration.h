#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/Time.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace almondlever {

/** A zone whose VMs may fail together, and the region that contains it. */
struct FailureDomain {
    FailureDomainId id;
    RegionId region;
};

/** One database server as listed in the inventory. */
struct EndpointDescription {
    EndpointId id;
    /** VM that runs the server, as named in the platform's VM list. */
    VmId vm;
    FailureDomainId failureDomain;
    /** "ip:port". */
    std::string address;
    /** Maximum number of statements that the server runs concurrently. */
    std::size_t slots = 0;
    /** Maximum number of connections that the server accepts. */
    std::size_t connections = 0;
    /** Typical time to open a connection. */
    Milliseconds openTime { 0 };
};

/** A database group: one primary and its replicas. */
struct DatabaseDescription {
    DatabaseId id;
    std::vector<EndpointDescription> endpoints;

    /** Minimum number of servers that form a majority. */
    std::size_t majority() const { return endpoints.size() / 2 + 1; }
};

/** A priority class of requests. Ranks are ordered; the first has the highest priority. */
struct RankRule {
    RankName name;
    /** Guaranteed share of slot time under overload by other ranks, 0 to 1; the sum over all ranks is at most 1. */
    double floor = 0;
    /** Time after arrival at which a request of this rank is no longer worth running. */
    Milliseconds deadline { 0 };
    /** Maximum queue length in requests, per endpoint. */
    std::size_t queueRequests = 0;
    /** Maximum queue size in bytes, per endpoint. */
    std::size_t queueBytes = 0;
};

/** A caller and the rules that apply to it. */
struct CallerRule {
    CallerId id;
    /** Index into Configuration::ranks. */
    std::size_t rank = 0;
    /** Databases that the caller may use. */
    std::vector<DatabaseId> databases;
    /** True when a session must see its own writes even after it has lost its session token. */
    bool readYourWrites = false;
    /** Maximum staleness of the data that a read returns; zero routes reads without a log position to the primary. */
    Milliseconds maxStaleness { 0 };
};

/** The validated inventory and rules. Immutable once published. */
struct Configuration {
    /** Version in the key-value service, monotonically increasing. Zero for a configuration read from files. */
    std::uint64_t version = 0;
    std::string deployment;
    std::vector<FailureDomain> failureDomains;
    std::vector<DatabaseDescription> databases;
    std::vector<RankRule> ranks;
    std::vector<CallerRule> callers;

    /** The caller's rules, or null when the configuration does not list the caller. */
    const CallerRule* findCaller(const CallerId& id) const;
    /** The database, or null when the configuration does not list it. */
    const DatabaseDescription* findDatabase(const DatabaseId& id) const;
    /** The region of a failure domain; empty when unknown. */
    RegionId regionOf(const FailureDomainId& id) const;
};

} // namespace almondlever
