#pragma once

#include "almondlever/control/Snapshot.h"

#include <memory>
#include <string>

namespace almondlever {

/** A configuration with one database of three endpoints in three failure domains, three ranks and three callers. */
inline std::shared_ptr<Configuration> makeSampleConfiguration()
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->deployment = "sample";
    DatabaseDescription database { DatabaseId("ledger-1"), {} };
    int number = 0;
    for (const char* zone : { "a", "b", "c" }) {
        ++number;
        configuration->failureDomains.push_back(
            { FailureDomainId(std::string("zone-") + zone), RegionId(std::string("region-") + zone) });
        EndpointDescription endpoint;
        endpoint.id = EndpointId(std::string("ledger-1-") + zone);
        endpoint.vm = VmId("db-" + std::to_string(number));
        endpoint.failureDomain = FailureDomainId(std::string("zone-") + zone);
        endpoint.address = "127.0.0.1:" + std::to_string(21000 + number);
        endpoint.slots = 2;
        endpoint.connections = 20;
        endpoint.openTime = Milliseconds(10);
        database.endpoints.push_back(endpoint);
    }
    configuration->databases.push_back(database);
    configuration->ranks = { { RankName("urgent"), 0.6, Milliseconds(1000), 100, 1 << 20 },
        { RankName("middle"), 0.2, Milliseconds(2000), 100, 1 << 20 },
        { RankName("lowest"), 0.1, Milliseconds(3000), 100, 1 << 20 } };
    configuration->callers = { { CallerId("clerk"), 0, { DatabaseId("ledger-1") }, true, Milliseconds(0) },
        { CallerId("shed"), 1, { DatabaseId("ledger-1") }, false, Milliseconds(1000) },
        { CallerId("buyer"), 2, { DatabaseId("ledger-1") }, false, Milliseconds(2000) } };
    return configuration;
}

/** A snapshot for vm-1 in zone-a where vm-1..vm-3 own one endpoint each and ledger-1-a leads in term 1. */
inline std::shared_ptr<Snapshot> makeSampleSnapshot()
{
    auto snapshot = std::make_shared<Snapshot>();
    snapshot->self = VmId("vm-1");
    snapshot->failureDomain = FailureDomainId("zone-a");
    snapshot->configuration = makeSampleConfiguration();
    auto owners = std::make_shared<OwnerTable>();
    int number = 0;
    for (const char* zone : { "a", "b", "c" }) {
        const std::string vm = "vm-" + std::to_string(++number);
        snapshot->members.daemons.push_back({ VmId(vm), FailureDomainId(std::string("zone-") + zone),
            "127.0.0.1:3000" + std::to_string(number), false });
        owners->owners[EndpointId(std::string("ledger-1-") + zone)] = VmId(vm);
    }
    snapshot->owners = owners;
    snapshot->primaries[DatabaseId("ledger-1")] = { DatabaseId("ledger-1"), 1, EndpointId("ledger-1-a") };
    return snapshot;
}

} // namespace almondlever
