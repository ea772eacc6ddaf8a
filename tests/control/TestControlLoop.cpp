#include "almondlever/control/ControlLoop.h"
#include "mocks/FakeEndpoint.h"
#include "mocks/FakeKeyValueService.h"
#include "mocks/FakeTimerService.h"
#include "mocks/SampleConfiguration.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

struct FakeVmList final : VmList {
    void list(Duration, ListCallback callback) override { callback(entries); }

    std::vector<VmListEntry> entries { { VmId("vm-1"), VmState::Live, FailureDomainId("zone-a"), "127.0.0.1:30001" } };
};

struct ControlFixture {
    ControlFixture()
    {
        FakeServer& primary = connector.servers["127.0.0.1:21001"];
        primary.status.role = EndpointRole::Primary;
        for (const char* address : { "127.0.0.1:21001", "127.0.0.1:21002", "127.0.0.1:21003" }) {
            FakeServer& server = connector.servers[address];
            server.status.promisedTerm = 1;
            server.status.logEnd = { 1, 1 };
            if (&server != &primary)
                server.status.following = EndpointId("ledger-1-a");
        }
    }

    void apply(Milliseconds staleness)
    {
        ConfigurationStore store(keyValue, [](Duration, const std::function<void()>& run) { run(); });
        std::optional<StoredConfiguration> base;
        store.readNewest([&](const auto& result) { base = result.value(); });
        Configuration configuration = *makeSampleConfiguration();
        configuration.callers.back().maxStaleness = staleness;
        store.apply(configuration, base, { "apply", "operator", WallTime { std::chrono::hours(500000) } },
            [](const ApplyResult& result) { cr_assert(std::holds_alternative<ConfigurationApplied>(result)); });
    }

    void run(Duration span)
    {
        for (const TimePoint end = timers.now() + span; timers.now() < end;) {
            timers.advance(ControlLoop::tickInterval);
            loop.onTick(timers.now());
        }
    }

    bool isPrimaryKnown(const SnapshotPtr& snapshot) const
    {
        return snapshot->findPrimary(DatabaseId("ledger-1")) != nullptr;
    }

    FakeTimerService timers;
    FakeEndpointConnector connector;
    FakeKeyValueService keyValue;
    FakeVmList vmList;
    std::vector<SnapshotPtr> snapshots;
    ControlLoop loop { { { VmId("vm-1"), FailureDomainId("zone-a"), "127.0.0.1:30001", false }, timers, connector,
        keyValue, vmList, [](const VmId&, const std::string&, const Message&) {},
        [this](SnapshotPtr next) { snapshots.push_back(std::move(next)); }, {}, {}, 1 } };
};

} // namespace

// Guards against writes in progress that end with an unknown outcome because a new configuration made the daemon forget
// the primary.
Test(ControlLoop, newConfigurationKeepsKnownPrimary)
{
    ControlFixture f;
    f.apply(Milliseconds(2000));
    f.loop.start(f.timers.now());
    f.run(std::chrono::seconds(10));
    cr_assert(f.loop.configurationVersion() == 1);
    cr_assert(f.isPrimaryKnown(f.snapshots.back()));
    const std::size_t before = f.snapshots.size();
    f.apply(Milliseconds(1000));
    f.run(std::chrono::seconds(10));
    cr_assert(f.loop.configurationVersion() == 2);
    for (std::size_t i = before; i < f.snapshots.size(); ++i)
        cr_assert(f.isPrimaryKnown(f.snapshots[i]), "snapshot %zu of %zu", i - before, f.snapshots.size() - before);
}
