#include "almondlever/control/ControlLoop.h"

#include "almondlever/config/ConfigurationCodec.h"
#include "mocks/FakeEndpoint.h"
#include "mocks/FakeKeyValueService.h"
#include "mocks/FakeTimerService.h"
#include "mocks/SampleConfiguration.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const DatabaseId database("ledger-1");

/** Three daemons, one in each failure domain. */
class ThreeDaemons final : public VmList {
public:
    void list(Duration, ListCallback callback) override
    {
        std::vector<VmListEntry> entries;
        for (const char* number : { "1", "2", "3" })
            entries.push_back({ VmId(std::string("vm-") + number), VmState::Live,
                FailureDomainId(std::string("zone-") + "abc"[number[0] - '1']),
                std::string("127.0.0.1:300") + number });
        callback(entries);
    }
};

/** The control loop of vm-1; its database servers answer immediately. */
struct Fixture {
    Fixture()
    {
        const auto configuration = makeSampleConfiguration();
        for (const EndpointDescription& endpoint : configuration->databases.front().endpoints) {
            EndpointStatus& status = connector.servers[endpoint.address].status;
            status.endpoint = endpoint.id;
            status.promisedTerm = 1;
            status.logEnd = { 1, 1 };
            if (endpoint.id == EndpointId("ledger-1-a"))
                status.role = EndpointRole::Primary;
            else
                status.following = EndpointId("ledger-1-a");
        }
        loop.start(timers.now());
    }

    void tick(int times)
    {
        for (int count = 0; count < times; ++count) {
            timers.advance(ControlLoop::tickInterval);
            loop.onTick(timers.now());
        }
    }

    void answerControl(bool answers)
    {
        for (auto& [unused, server] : connector.servers)
            server.answersControl = answers;
    }

    /** Delivers a configuration to the loop as if vm-2 had sent it. */
    void receive(const Configuration& configuration)
    {
        const PeerIdentity peer { VmId("vm-2"), FailureDomainId("zone-b"), "127.0.0.1:3002" };
        Gossip gossip;
        gossip.configurationVersion = configuration.version;
        loop.onMessage(peer, gossip, timers.now());
        tick(1);
        loop.onMessage(
            peer, ConfigReply { configuration.version, 0, 1, encodeConfiguration(configuration) }, timers.now());
    }

    bool knowsPrimary() const { return snapshot && snapshot->findPrimary(database) != nullptr; }

    FakeTimerService timers;
    FakeEndpointConnector connector;
    FakeKeyValueService keyValue;
    ThreeDaemons vmList;
    SnapshotPtr snapshot;
    ControlLoop loop { { { VmId("vm-1"), FailureDomainId("zone-a"), "127.0.0.1:3001", false }, timers, connector,
        keyValue, vmList, [](const VmId&, const std::string&, const Message&) {},
        [this](SnapshotPtr next) { snapshot = std::move(next); }, {}, {}, 1 } };
};

} // namespace

// Guards against observers that lose the primary, or abandon a failover in progress, at each change of the rules.
Test(ControlLoopObservers, keepsObserversOfUnchangedGroups)
{
    Fixture fixture;
    auto configuration = makeSampleConfiguration();
    fixture.receive(*configuration);
    fixture.tick(20);
    cr_assert(fixture.loop.observedCount() == 1);
    cr_assert(fixture.knowsPrimary());

    fixture.answerControl(false);
    configuration->version = 2;
    configuration->ranks.front().deadline = Milliseconds(900);
    fixture.receive(*configuration);
    cr_assert(fixture.loop.configurationVersion() == 2);
    cr_assert(fixture.knowsPrimary());
}

// Guards against an observer that keeps probing addresses that are no longer in the configuration.
Test(ControlLoopObservers, replacesObserversOfChangedGroups)
{
    Fixture fixture;
    auto configuration = makeSampleConfiguration();
    fixture.receive(*configuration);
    fixture.tick(20);
    cr_assert(fixture.knowsPrimary());

    configuration->version = 2;
    configuration->databases.front().endpoints.front().address = "127.0.0.1:29999";
    fixture.connector.servers["127.0.0.1:29999"].answersControl = false;
    fixture.receive(*configuration);
    fixture.tick(20);
    cr_assert(!fixture.connector.servers["127.0.0.1:29999"].controlCalls.empty());
}
