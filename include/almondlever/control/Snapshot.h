#pragma once

#include "almondlever/config/Configuration.h"
#include "almondlever/failover/FailoverCoordinator.h"
#include "almondlever/membership/MembershipView.h"

#include <memory>
#include <set>
#include <string>
#include <unordered_map>

namespace almondlever {

/** The owner of each endpoint. Shared between snapshots, since it changes far less often than they do. */
struct OwnerTable {
    std::unordered_map<EndpointId, VmId> owners;

    /** The owner; empty when there is no live one or the endpoint is unknown. */
    VmId ownerOf(const EndpointId&) const;
};

/**
 * State that the control thread publishes to the traffic thread. Immutable; each change creates a new snapshot, which
 * the traffic thread adopts between two events.
 */
struct Snapshot {
    VmId self;
    FailureDomainId failureDomain;
    /** Null until the first configuration is in force. */
    std::shared_ptr<const Configuration> configuration;
    MembershipView members;
    std::shared_ptr<const OwnerTable> owners;
    /** Endpoints whose VM the platform's list shows as leaving. */
    std::set<EndpointId> leavingEndpoints;
    /** Primaries that this daemon observed or that were announced to it. */
    std::unordered_map<DatabaseId, PrimaryView> primaries;
    /** Databases whose writes are paused until the leaving primary has handed over. */
    std::set<DatabaseId> pausedWrites;
    /** True while this daemon shuts down. */
    bool isShuttingDown = false;

    /** The endpoint of a database, or null when the configuration does not list it. */
    const EndpointDescription* findEndpoint(const DatabaseId&, const EndpointId&) const;
    /** The primary of a database, or null when unknown. */
    const PrimaryView* findPrimary(const DatabaseId&) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace almondlever
