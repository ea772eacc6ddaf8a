#pragma once

#include "almondlever/config/Configuration.h"
#include "almondlever/failover/FailoverCoordinator.h"
#include "almondlever/membership/MembershipView.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace almondlever {

/** Where an endpoint is served. Kept in a table of its own since it changes far less often than the snapshot. */
struct OwnerTable {
    std::unordered_map<EndpointId, VmId> owners;

    /** The owner; empty when none lives or the endpoint is unknown. */
    VmId ownerOf(const EndpointId&) const;
};

/**
 * What the control thread tells the traffic thread. Immutable; each change gives a new one, which the traffic thread
 * takes over between two events.
 */
struct Snapshot {
    VmId self;
    FailureDomainId failureDomain;
    /** Null until a first configuration is in force. */
    std::shared_ptr<const Configuration> configuration;
    MembershipView members;
    std::shared_ptr<const OwnerTable> owners;
    /** Endpoints whose VM the platform's list shows as leaving. */
    std::set<EndpointId> leavingEndpoints;
    /** Primaries that this daemon observed or was told of. */
    std::unordered_map<DatabaseId, PrimaryView> primaries;
    /** Databases whose writes pause until the leaving primary has handed over. */
    std::set<DatabaseId> pausedWrites;
    /** True while this daemon shuts down. */
    bool isShuttingDown = false;

    /** The endpoint with its database, or nulls when the configuration does not list it. */
    const EndpointDescription* findEndpoint(const DatabaseId&, const EndpointId&) const;
    /** The primary of a database, or null when unknown. */
    const PrimaryView* findPrimary(const DatabaseId&) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace almondlever
