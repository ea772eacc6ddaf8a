#include "almondlever/front/FrontDaemon.h"
#include "mocks/FakeEndpoints.h"
#include "mocks/FakeMetadataStore.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** Reads a configuration with one group, and endpoints from their keys alone. */
class FakeInventory final : public InventoryDecoder {
public:
    std::string configurationPrefix() const override { return "config/"; }
    std::string endpointPrefix() const override { return "endpoints/"; }
    EndpointId endpointOf(const std::string& key) const override
    {
        return EndpointId(key.substr(endpointPrefix().size()));
    }
    Result<RoutingConfiguration, std::string> decodeConfiguration(const StoreItem&) const override
    {
        RoutingConfiguration configuration;
        configuration.version = 1;
        configuration.groups[GroupId("ledger")] = { GroupId("ledger"), 53, 1 };
        return configuration;
    }
    Result<EndpointEntry, std::string> decodeEndpoint(const StoreItem& item) const override
    {
        EndpointEntry entry;
        entry.id = endpointOf(item.key);
        entry.group = GroupId("ledger");
        entry.address = "10.0.0.1:1";
        entry.saysPrimary = item.value == "primary";
        entry.revision = item.revision;
        return entry;
    }
};

class NoPromotions final : public PromotionService {
public:
    void promote(const GroupId&, const EndpointId&, const std::string&, std::uint64_t,
        std::function<void(PromotionAnswer, const std::string&)>) override
    {
        cr_assert_fail("nothing is to be promoted");
    }
};

} // namespace

// Pattern: a fleet of 72 daemons loses power; all start again at once, and a group has 53 connections, most of which
// the endpoints still hold for the former daemons. Guards against a daemon that takes itself for an owner before it
// knows the others, and takes the owners' connections.
Test(FrontDaemon, opensNoConnectionBeforeItKnowsTheOwners)
{
    FakeTimerService timers;
    FakeMetadataStore store(timers);
    FakeEndpoints endpoints(timers);
    FakeInventory inventory;
    NoPromotions promotions;
    endpoints.server(EndpointId("a")).leads = true;
    store.put("config/current", "");
    for (const char* id : { "a", "b", "c" })
        store.put(std::string("endpoints/") + id, std::string(id) == "a" ? "primary" : "replica");
    std::size_t owners = 0;
    for (int number = 1; number <= 72; ++number) {
        // The entries of the whole fleet outlive its loss of power; those of the daemons before this one have lapsed.
        for (int member = 1; member <= 72; ++member)
            store.put(storeKeys::members + "vm-" + std::to_string(member), "zone 10.0.0.1:1");
        FrontSettings settings;
        settings.vm = VmId("vm-" + std::to_string(number));
        settings.failureDomain = FailureDomainId("zone");
        settings.peerAddress = "10.0.0.1:1";
        const std::size_t before = endpoints.server(EndpointId("a")).openedConnections;
        FrontDaemon daemon(settings, store, endpoints, promotions, inventory, timers, nullptr);
        daemon.start();
        timers.advance(Milliseconds(1000));
        cr_assert(daemon.isReady());
        owners += endpoints.server(EndpointId("a")).openedConnections > before ? 1 : 0;
    }
    cr_assert_leq(owners, 9U, "53 connections bear nine owners with four each");
    cr_assert_geq(owners, 1U);
}
