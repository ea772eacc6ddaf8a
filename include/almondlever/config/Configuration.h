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
    /** Statements that the server runs at the same time. */
    std::size_t slots = 0;
    /** Connections that the server accepts in all. */
    std::size_t connections = 0;
    /** Usual time to open a connection. */
    Milliseconds openTime { 0 };
};

/** A database group: one primary and its replicas. */
struct DatabaseDescription {
    DatabaseId id;
    std::vector<EndpointDescription> endpoints;

    /** Least number of servers that form a majority. */
    std::size_t majority() const { return endpoints.size() / 2 + 1; }
};

/** One rank of work. Ranks are ordered; the first is the most urgent. */
struct RankRule {
    RankName name;
    /** Share of slot time that the rank keeps under any flood, 0 to 1; the sum over ranks is at most 1. */
    double floor = 0;
    /** Longest time that a request of this rank is worth working on. */
    Milliseconds deadline { 0 };
    /** Bound of the queue in requests, for each endpoint. */
    std::size_t queueRequests = 0;
    /** Bound of the queue in bytes, for each endpoint. */
    std::size_t queueBytes = 0;
};

/** One caller with the rules that apply to it. */
struct CallerRule {
    CallerId id;
    /** Index into Configuration::ranks. */
    std::size_t rank = 0;
    /** Databases that the caller may use. */
    std::vector<DatabaseId> databases;
    /** True when a session must see its own writes even if it lost its token. */
    bool readYourWrites = false;
    /** Oldest data that a read may return; zero sends reads that carry no position to the primary. */
    Milliseconds maxStaleness { 0 };
};

/** Inventory and rules together, checked. Immutable once published. */
struct Configuration {
    /** Version in the key-value service; only rises. Zero for a configuration read from files. */
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
