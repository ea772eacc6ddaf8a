#include "almondlever/placement/Placement.h"
#include "almondlever/placement/PlacementIndex.h"
#include "placement/Rendezvous.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

using namespace almondlever;

namespace {

constexpr std::size_t domainCount = 6;

FailureDomainId domainId(std::size_t index) { return FailureDomainId("domain-" + std::to_string(index)); }

/** Six failure domains in three regions, three endpoints for each database in three regions. */
Configuration makeConfiguration(std::size_t databases)
{
    Configuration configuration;
    for (std::size_t index = 0; index < domainCount; ++index)
        configuration.failureDomains.push_back({ domainId(index), RegionId("region-" + std::to_string(index / 2)) });
    for (std::size_t index = 0; index < databases; ++index) {
        DatabaseDescription database;
        database.id = DatabaseId("database-" + std::to_string(index));
        for (std::size_t server = 0; server < 3; ++server) {
            EndpointDescription endpoint;
            endpoint.id = EndpointId(database.id.text() + "-" + std::to_string(server));
            endpoint.failureDomain = domainId((index + 2 * server) % domainCount);
            database.endpoints.push_back(endpoint);
        }
        configuration.databases.push_back(database);
    }
    return configuration;
}

MembershipView makeView(std::size_t daemons)
{
    MembershipView view;
    for (std::size_t index = 0; index < daemons; ++index)
        view.daemons.push_back(
            { VmId("vm-" + std::to_string(1000 + index)), domainId(index % domainCount), "", false });
    return view;
}

std::map<EndpointId, VmId> ownersIn(const Configuration& configuration, const MembershipView& view)
{
    std::map<EndpointId, VmId> owners;
    for (const DatabaseDescription& database : configuration.databases)
        for (const EndpointDescription& endpoint : database.endpoints)
            owners[endpoint.id] = ownerOf(endpoint, configuration, view);
    return owners;
}

} // namespace

// Guards against statements that cross a WAN although there is a daemon near the endpoint.
Test(Placement, prefersDomainThenRegionThenOthers)
{
    const Configuration configuration = makeConfiguration(1);
    const EndpointDescription& endpoint = configuration.databases.front().endpoints.front();
    MembershipView view = makeView(12);
    const auto domainOfOwner = [&] { return view.find(ownerOf(endpoint, configuration, view))->failureDomain; };
    const auto remove = [&](std::size_t domain) {
        const auto isThere = [&](const LiveDaemon& daemon) { return daemon.failureDomain == domainId(domain); };
        view.daemons.erase(std::remove_if(view.daemons.begin(), view.daemons.end(), isThere), view.daemons.end());
    };
    cr_assert(domainOfOwner() == domainId(0));
    remove(0);
    cr_assert(domainOfOwner() == domainId(1));
    remove(1);
    cr_assert(!ownerOf(endpoint, configuration, view).isEmpty());
    for (std::size_t domain = 2; domain < domainCount; ++domain)
        remove(domain);
    cr_assert(ownerOf(endpoint, configuration, view).isEmpty());
}

// Guards against a hash that differs between builds or releases, which would make daemons disagree on owners.
Test(Placement, givesSamePlacementInEveryBuild)
{
    // Published value of XXH3 (64 bits) for the empty input.
    cr_assert(hashName("") == 0x2d06800538d394c2ULL);
    const Configuration configuration = makeConfiguration(3);
    const MembershipView view = makeView(60);
    const auto owners = ownersIn(configuration, view);
    cr_assert(owners.at(EndpointId("database-0-0")) == VmId("vm-1012"));
    cr_assert(owners.at(EndpointId("database-1-1")) == VmId("vm-1015"));
    cr_assert(owners.at(EndpointId("database-2-2")) == VmId("vm-1030"));
}

// Guards against results that depend on the order of the list, on which daemons may differ.
Test(Placement, ignoresOrderOfList)
{
    const bool holds = rc::check("owners, observers and watchers do not depend on the order", [] {
        const Configuration configuration = makeConfiguration(5);
        MembershipView view = makeView(*rc::gen::inRange<std::size_t>(1, 40));
        MembershipView shuffled = view;
        std::mt19937_64 generator(*rc::gen::arbitrary<std::uint32_t>());
        std::shuffle(shuffled.daemons.begin(), shuffled.daemons.end(), generator);
        RC_ASSERT(ownersIn(configuration, view) == ownersIn(configuration, shuffled));
        RC_ASSERT(watchersOf(view, 3) == watchersOf(shuffled, 3));
        for (const DatabaseDescription& database : configuration.databases)
            RC_ASSERT(observersOf(database, configuration, view) == observersOf(database, configuration, shuffled));
    });
    cr_assert(holds);
}

// Guards against a change of one VM moving endpoints that it does not concern.
Test(Placement, movesOnlyEndpointsOfChangedDaemon)
{
    const bool holds = rc::check("only endpoints of the leaving daemon move", [] {
        const Configuration configuration = makeConfiguration(40);
        MembershipView view = makeView(*rc::gen::inRange<std::size_t>(2, 40));
        const auto before = ownersIn(configuration, view);
        LiveDaemon& changed = view.daemons[*rc::gen::inRange<std::size_t>(0, view.daemons.size())];
        changed.isLeaving = true;
        const auto after = ownersIn(configuration, view);
        for (const auto& [endpoint, owner] : before) {
            RC_ASSERT(after.at(endpoint) != changed.id);
            if (owner != changed.id)
                RC_ASSERT(after.at(endpoint) == owner);
        }
    });
    cr_assert(holds);
}

// Guards against a daemon that owns far more endpoints than the others.
Test(Placement, spreadsEndpointsEvenly)
{
    const Configuration configuration = makeConfiguration(2000);
    std::map<VmId, std::size_t> load;
    for (const auto& [endpoint, owner] : ownersIn(configuration, makeView(60)))
        ++load[owner];
    cr_assert(load.size() == 60);
    for (const auto& [owner, endpoints] : load)
        cr_assert(endpoints > 60 && endpoints < 150, "%s owns %zu", owner.text().c_str(), endpoints);
}

// Guards against observers or watchers that fail together although other failure domains have daemons.
Test(Placement, spreadsObserversAndWatchersOverDomains)
{
    const bool holds = rc::check("as many failure domains as possible", [] {
        const Configuration configuration = makeConfiguration(6);
        const MembershipView view = makeView(*rc::gen::inRange<std::size_t>(1, 30));
        const auto domainsOf = [&](const std::vector<VmId>& chosen) {
            std::set<FailureDomainId> domains;
            for (const VmId& id : chosen)
                domains.insert(view.find(id)->failureDomain);
            return domains.size();
        };
        const std::size_t expected = std::min<std::size_t>(3, view.daemons.size());
        const auto watchers = watchersOf(view, 3);
        RC_ASSERT(watchers.size() == expected);
        RC_ASSERT(domainsOf(watchers) == expected);
        for (const DatabaseDescription& database : configuration.databases) {
            const auto observers = observersOf(database, configuration, view);
            RC_ASSERT(observers.size() == expected);
            RC_ASSERT(domainsOf(observers) == expected);
        }
    });
    cr_assert(holds);
}

// Guards against an incremental update that misses a move, and against one that reports the wrong endpoints.
Test(PlacementIndex, agreesWithFullComputationAfterAnyChanges)
{
    const bool holds = rc::check("index equals ownerOf and observersOf", [] {
        const auto configuration = std::make_shared<const Configuration>(makeConfiguration(12));
        PlacementIndex index(configuration);
        const MembershipView all = makeView(18);
        auto before = ownersIn(*configuration, MembershipView());
        for (int change = 0; change < 6; ++change) {
            MembershipView view;
            const auto kept = *rc::gen::container<std::vector<int>>(all.daemons.size(), rc::gen::inRange(0, 4));
            for (std::size_t daemon = 0; daemon < all.daemons.size(); ++daemon) {
                if (kept[daemon] == 0)
                    continue;
                view.daemons.push_back(all.daemons[daemon]);
                view.daemons.back().isLeaving = kept[daemon] == 1;
            }
            const auto moved = index.update(view);
            const auto after = ownersIn(*configuration, view);
            std::size_t changed = 0;
            for (const auto& [endpoint, owner] : after) {
                RC_ASSERT(index.ownerOf(endpoint) == owner);
                const bool isReported = std::find(moved.begin(), moved.end(), endpoint) != moved.end();
                RC_ASSERT(isReported == (owner != before.at(endpoint)));
                changed += owner != before.at(endpoint) ? 1 : 0;
            }
            RC_ASSERT(moved.size() == changed);
            for (const DatabaseDescription& database : configuration->databases)
                RC_ASSERT(index.observersOf(database.id, view) == observersOf(database, *configuration, view));
            before = after;
        }
    });
    cr_assert(holds);
}

// Guards against recomputing all owners on each membership change.
Test(PlacementIndex, recomputesOnlyEndpointsOfLostDaemon)
{
    const auto configuration = std::make_shared<const Configuration>(makeConfiguration(500));
    PlacementIndex index(configuration);
    MembershipView view = makeView(120);
    index.update(view);
    view.daemons.erase(view.daemons.begin() + 7);
    const auto moved = index.update(view);
    cr_assert(!moved.empty());
    cr_assert(index.recomputedCount() == moved.size());
}

// Guards against a lookup that misses the first or last daemon or returns an adjacent one.
Test(MembershipView, findsDaemonById)
{
    const MembershipView view = makeView(5);
    for (const LiveDaemon& daemon : view.daemons)
        cr_assert(view.find(daemon.id) == &daemon);
    cr_assert(view.find(VmId("vm-0")) == nullptr);
    cr_assert(view.find(VmId("vm-9")) == nullptr);
}
