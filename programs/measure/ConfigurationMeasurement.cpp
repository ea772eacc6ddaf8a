#include "ConfigurationMeasurement.h"

#include "almondlever/config/ConfigurationCodec.h"
#include "almondlever/config/ConfigurationParts.h"
#include "almondlever/control/Snapshot.h"
#include "almondlever/placement/PlacementIndex.h"

#include <malloc.h>

#include <ctime>
#include <memory>

namespace almondlever::measure {

namespace {

    using nlohmann::json;

    constexpr std::size_t domainCount = 15;
    constexpr std::size_t regionCount = 4;
    constexpr std::size_t serversPerDatabase = 3;
    constexpr std::size_t lookUps = 20000;

    struct Size {
        std::size_t daemons;
        std::size_t databases;
    };

    FailureDomainId domainId(std::size_t index)
    {
        return FailureDomainId("region-" + std::to_string(index % regionCount) + "-domain-" + std::to_string(index));
    }

    Configuration makeConfiguration(std::size_t databases)
    {
        Configuration configuration;
        configuration.version = 1;
        configuration.deployment = "capacity";
        for (std::size_t index = 0; index < domainCount; ++index)
            configuration.failureDomains.push_back(
                { domainId(index), RegionId("region-" + std::to_string(index % regionCount)) });
        for (std::size_t index = 0; index < databases; ++index) {
            DatabaseDescription database;
            database.id = DatabaseId("database-" + std::to_string(10000 + index));
            for (std::size_t server = 0; server < serversPerDatabase; ++server) {
                const std::string suffix = std::to_string(10000 + index) + '-' + std::to_string(server);
                database.endpoints.push_back({ EndpointId("endpoint-" + suffix), VmId("database-vm-" + suffix),
                    domainId((index + server) % domainCount),
                    "10." + std::to_string(index / 250) + '.' + std::to_string(index % 250) + '.'
                        + std::to_string(10 + server) + ":5432",
                    5, 35, Milliseconds(10) });
            }
            configuration.databases.push_back(std::move(database));
        }
        configuration.ranks.push_back({ RankName("urgent"), 0.6, Milliseconds(1000), 400, 4194304 });
        configuration.callers.push_back({ CallerId("caller"), 0, {}, true, Milliseconds(0) });
        return configuration;
    }

    MembershipView makeView(std::size_t daemons)
    {
        MembershipView view;
        for (std::size_t index = 0; index < daemons; ++index)
            view.daemons.push_back({ VmId("vm-" + std::to_string(100000 + index)), domainId(index % domainCount),
                "10.200.0.1:7000", false });
        return view;
    }

    /** CPU time of this thread, since other processes share the machine. */
    double cpuMilliseconds()
    {
        timespec used {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
        return static_cast<double>(used.tv_sec) * 1e3 + static_cast<double>(used.tv_nsec) * 1e-6;
    }

    template <typename Function> double cpuMillisecondsOf(Function function)
    {
        const double begin = cpuMilliseconds();
        function();
        return cpuMilliseconds() - begin;
    }

    /** Microseconds of one look-up of a database, averaged over databases of the whole list. */
    double lookUpMicroseconds(const Configuration& configuration)
    {
        std::size_t found = 0;
        const double milliseconds = cpuMillisecondsOf([&] {
            for (std::size_t round = 0; round < lookUps; ++round) {
                const DatabaseId& id = configuration.databases[round * 7919 % configuration.databases.size()].id;
                found += configuration.findDatabase(id)->endpoints.size();
            }
        });
        return found == lookUps * serversPerDatabase ? milliseconds * 1000 / lookUps : -1;
    }

    /** Pause of the traffic thread when it looks for endpoints of its own in a new snapshot. */
    double ownEndpointsMilliseconds(const Configuration& configuration, const OwnerTable& owners, const VmId& self)
    {
        std::size_t own = 0;
        return cpuMillisecondsOf([&] {
            for (const DatabaseDescription& database : configuration.databases)
                for (const EndpointDescription& endpoint : database.endpoints)
                    own += owners.ownerOf(endpoint.id) == self ? 1 : 0;
        });
    }

    json measureSize(const Size& size)
    {
        const Configuration original = makeConfiguration(size.databases);
        const MembershipView view = makeView(size.daemons);
        std::string bytes;
        const double encode = cpuMillisecondsOf([&] { bytes = encodeConfiguration(original); });
        const std::size_t heapBefore = mallinfo2().uordblks;
        std::shared_ptr<const Configuration> configuration;
        const double decode = cpuMillisecondsOf(
            [&] { configuration = std::make_shared<const Configuration>(decodeConfiguration(bytes, 1).value()); });
        const std::size_t heapDecoded = mallinfo2().uordblks;
        const double hash = cpuMillisecondsOf([&] { hashContent(bytes); });
        auto index = std::make_unique<PlacementIndex>(configuration);
        const double place = cpuMillisecondsOf([&] { index->update(view); });
        const std::size_t heapPlaced = mallinfo2().uordblks;
        OwnerTable owners;
        const double table = cpuMillisecondsOf([&] {
            for (const DatabaseDescription& database : configuration->databases)
                for (const EndpointDescription& endpoint : database.endpoints)
                    owners.owners[endpoint.id] = index->ownerOf(endpoint.id);
        });
        const std::size_t heapOwners = mallinfo2().uordblks;
        std::unique_ptr<MembershipView> membersCopy;
        const double copyMembers = cpuMillisecondsOf([&] { membersCopy = std::make_unique<MembershipView>(view); });
        const std::size_t heapMembers = mallinfo2().uordblks;
        const double copyOwners = cpuMillisecondsOf([&] { std::make_unique<OwnerTable>(owners); });
        const double observers = cpuMillisecondsOf([&] {
            for (const DatabaseDescription& database : configuration->databases)
                index->observersOf(database.id, view);
        });
        return { { "daemons", size.daemons }, { "databases", size.databases },
            { "endpoints", size.databases * serversPerDatabase }, { "bytes", bytes.size() },
            { "stored_parts", splitIntoParts(bytes).size() }, { "encode_ms", encode }, { "decode_ms", decode },
            { "hash_ms", hash }, { "place_ms", place }, { "owner_table_ms", table },
            { "heap_configuration_bytes", heapDecoded - heapBefore },
            { "heap_placement_bytes", heapPlaced - heapDecoded }, { "heap_owners_bytes", heapOwners - heapPlaced },
            { "heap_members_copy_bytes", heapMembers - heapOwners }, { "copy_members_ms", copyMembers },
            { "copy_owners_ms", copyOwners }, { "all_observers_ms", observers },
            { "find_database_us", lookUpMicroseconds(*configuration) },
            { "own_endpoints_ms", ownEndpointsMilliseconds(*configuration, owners, view.daemons.front().id) } };
    }

} // namespace

json measureConfiguration()
{
    json results = json::array();
    for (const Size& size : { Size { 9, 3 }, Size { 65, 100 }, Size { 430, 667 }, Size { 4400, 6800 } })
        results.push_back(measureSize(size));
    return { { "failure_domains", domainCount }, { "results", results } };
}

} // namespace almondlever::measure
