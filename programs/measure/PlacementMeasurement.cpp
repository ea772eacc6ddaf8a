#include "PlacementMeasurement.h"

#include "almondlever/placement/Placement.h"
#include "almondlever/placement/PlacementIndex.h"

#include <malloc.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace almondlever::measure {

namespace {

    using nlohmann::json;

    constexpr std::size_t domainCount = 15;
    constexpr std::size_t regionCount = 4;
    constexpr std::size_t serversPerDatabase = 3;
    /** Single VM changes that each figure averages. */
    constexpr std::size_t changes = 50;

    struct FleetSize {
        std::size_t daemons;
        std::size_t databases;
    };

    FailureDomainId domainId(std::size_t index) { return FailureDomainId("domain-" + std::to_string(index)); }

    std::shared_ptr<const Configuration> makeConfiguration(std::size_t databases)
    {
        auto configuration = std::make_shared<Configuration>();
        for (std::size_t index = 0; index < domainCount; ++index)
            configuration->failureDomains.push_back(
                { domainId(index), RegionId("region-" + std::to_string(index % regionCount)) });
        for (std::size_t index = 0; index < databases; ++index) {
            DatabaseDescription database;
            database.id = DatabaseId("database-" + std::to_string(index));
            for (std::size_t server = 0; server < serversPerDatabase; ++server) {
                EndpointDescription endpoint;
                endpoint.id = EndpointId(database.id.text() + "-" + std::to_string(server));
                endpoint.failureDomain = domainId((index + server) % domainCount);
                database.endpoints.push_back(std::move(endpoint));
            }
            configuration->databases.push_back(std::move(database));
        }
        return configuration;
    }

    MembershipView makeView(std::size_t daemons)
    {
        constexpr std::size_t firstNumber = 100000;
        MembershipView view;
        for (std::size_t index = 0; index < daemons; ++index)
            view.daemons.push_back(
                { VmId("vm-" + std::to_string(firstNumber + index)), domainId(index % domainCount), "", false });
        return view;
    }

    template <typename Function> double millisecondsOf(Function function)
    {
        const auto begin = std::chrono::steady_clock::now();
        function();
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
    }

    struct ChangeTimes {
        std::vector<double> milliseconds;
        std::size_t moved = 0;
    };

    json describe(ChangeTimes& times, std::size_t endpoints, std::size_t daemons)
    {
        std::sort(times.milliseconds.begin(), times.milliseconds.end());
        const double moved = static_cast<double>(times.moved) / static_cast<double>(changes * endpoints);
        return { { "median_ms", times.milliseconds[times.milliseconds.size() / 2] },
            { "max_ms", times.milliseconds.back() }, { "moved_share", moved },
            { "ideal_moved_share", 1.0 / static_cast<double>(daemons) } };
    }

    double measurePlainFunction(const Configuration& configuration, const MembershipView& view)
    {
        return millisecondsOf([&] {
            for (const DatabaseDescription& database : configuration.databases)
                for (const EndpointDescription& endpoint : database.endpoints)
                    if (ownerOf(endpoint, configuration, view).isEmpty())
                        return;
        });
    }

    /** Loses a whole failure domain, then gets it back. */
    json measureDomainLoss(PlacementIndex& index, const MembershipView& view)
    {
        MembershipView reduced = view;
        const auto isLost = [](const LiveDaemon& daemon) { return daemon.failureDomain == domainId(0); };
        reduced.daemons.erase(
            std::remove_if(reduced.daemons.begin(), reduced.daemons.end(), isLost), reduced.daemons.end());
        const double lost = millisecondsOf([&] { index.update(reduced); });
        const double returned = millisecondsOf([&] { index.update(view); });
        return { { "lost_ms", lost }, { "returned_ms", returned } };
    }

    json measureSize(const FleetSize& size)
    {
        const auto configuration = makeConfiguration(size.databases);
        const MembershipView view = makeView(size.daemons);
        const std::size_t endpoints = size.databases * serversPerDatabase;
        const std::size_t heapBefore = mallinfo2().uordblks;
        auto index = std::make_unique<PlacementIndex>(configuration);
        const double whole = millisecondsOf([&] { index->update(view); });
        const std::size_t heapAfter = mallinfo2().uordblks;

        ChangeTimes leaving;
        ChangeTimes joining;
        for (std::size_t change = 0; change < changes; ++change) {
            MembershipView reduced = view;
            const std::size_t victim = change * 7919 % size.daemons;
            reduced.daemons.erase(reduced.daemons.begin() + static_cast<std::ptrdiff_t>(victim));
            leaving.milliseconds.push_back(millisecondsOf([&] { leaving.moved += index->update(reduced).size(); }));
            joining.milliseconds.push_back(millisecondsOf([&] { joining.moved += index->update(view).size(); }));
        }
        const double unchanged = millisecondsOf([&] { index->update(view); });
        const double observers = millisecondsOf([&] {
            for (const DatabaseDescription& database : configuration->databases)
                index->observersOf(database.id, view);
        });
        const double watchers = millisecondsOf([&] { watchersOf(view, 3); });
        return { { "daemons", size.daemons }, { "databases", size.databases }, { "endpoints", endpoints },
            { "plain_function_all_ms", measurePlainFunction(*configuration, view) }, { "index_whole_ms", whole },
            { "index_heap_bytes", heapAfter - heapBefore }, { "vm_leaves", describe(leaving, endpoints, size.daemons) },
            { "vm_joins", describe(joining, endpoints, size.daemons) },
            { "failure_domain", measureDomainLoss(*index, view) }, { "unchanged_ms", unchanged },
            { "all_observers_ms", observers }, { "watchers_ms", watchers } };
    }

} // namespace

json measurePlacement()
{
    json results = json::array();
    for (const FleetSize& size : { FleetSize { 9, 3 }, FleetSize { 100, 155 }, FleetSize { 550, 850 },
             FleetSize { 1100, 1700 }, FleetSize { 2200, 3400 }, FleetSize { 4400, 6800 } })
        results.push_back(measureSize(size));
    return { { "failure_domains", domainCount }, { "regions", regionCount }, { "results", results } };
}

} // namespace almondlever::measure
