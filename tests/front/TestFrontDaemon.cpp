#include "almondlever/front/FrontDaemon.h"
#include "mocks/FakeEndpoints.h"
#include "mocks/FakeMetadataStore.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** Decodes every configuration to one group, and endpoints from their keys and roles. */
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
        ++decodedConfigurations;
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
        entry.reportsPrimary = item.value == "primary";
        entry.revision = item.revision;
        return entry;
    }

    mutable std::size_t decodedConfigurations = 0;
};

class FailingPromotions final : public PromotionService {
public:
    void promote(const GroupId&, const EndpointId&, const std::string&, std::uint64_t,
        std::function<void(PromotionResult, const std::string&)>) override
    {
        cr_assert_fail("nothing is to be promoted");
    }
};

/** Records what a daemon sends to its peers, and delivers messages to it. */
class FakePeers final : public PeerNetwork {
public:
    struct Record {
        std::vector<Message> sent;
        MessageHandler handler;
    };

    explicit FakePeers(std::shared_ptr<Record> record)
        : record_(std::move(record))
    {
    }

    Result<Done, std::string> listen() override { return Done {}; }
    bool send(const VmId&, const std::string&, const Message& message) override
    {
        record_->sent.push_back(message);
        return true;
    }
    bool isConnected(const VmId&) const override { return true; }
    void onMessage(MessageHandler handler) override { record_->handler = std::move(handler); }
    void onLoss(LossHandler) override { }
    void onUnsent(UnsentHandler) override { }
    std::uint64_t bytesTransferred() const override { return 0; }
    PeerTraffic traffic() const override { return {}; }
    void stop() override { }

private:
    std::shared_ptr<Record> record_;
};

/** The store and the endpoints of one group, for a daemon under test. */
struct Fixture {
    FakeTimerService timers;
    FakeMetadataStore store { timers };
    FakeEndpoints endpoints { timers };
    FakeInventory inventory;
    FailingPromotions promotions;
    std::shared_ptr<FakePeers::Record> peers = std::make_shared<FakePeers::Record>();
    bool learnsEndpointCapacity = false;

    Fixture()
    {
        endpoints.server(EndpointId("a")).leads = true;
        store.put("config/current", "");
        for (const char* id : { "a", "b", "c" })
            writeEntry(id);
    }

    void writeEntry(const std::string& id) { store.put("endpoints/" + id, id == "a" ? "primary" : "replica"); }

    void putMember(int number) { store.put(storeKeys::members + "vm-" + std::to_string(number), "zone 10.0.0.1:1"); }

    std::unique_ptr<FrontDaemon> makeDaemon(int number, bool isFirstStart = false)
    {
        FrontSettings settings;
        settings.isFirstStart = isFirstStart;
        settings.vm = VmId("vm-" + std::to_string(number));
        settings.failureDomain = FailureDomainId("zone");
        settings.peerAddress = "10.0.0.1:1";
        settings.learnsEndpointCapacity = learnsEndpointCapacity;
        return std::make_unique<FrontDaemon>(settings, store, endpoints, promotions, inventory, timers,
            [this](const std::string&) { return std::make_unique<FakePeers>(peers); });
    }
};

} // namespace

// A large configuration takes a slow VM half a second to decode. Guards against decoding the one in force again
// whenever the store returns.
Test(FrontDaemon, configurationInForceIsNotDecodedAgain)
{
    Fixture fixture;
    const auto daemon = fixture.makeDaemon(1);
    daemon->start();
    fixture.timers.advance(Milliseconds(3000));
    cr_assert(daemon->isReady());
    const std::size_t before = fixture.inventory.decodedConfigurations;
    for (int outage = 0; outage < 3; ++outage) {
        fixture.store.isDown = true;
        fixture.store.cutWatches();
        fixture.timers.advance(Milliseconds(1000));
        fixture.store.isDown = false;
        fixture.timers.advance(Milliseconds(2000));
    }
    cr_assert_eq(fixture.inventory.decodedConfigurations, before);
    fixture.store.put("config/current", "new");
    fixture.timers.advance(Milliseconds(1000));
    cr_assert_eq(fixture.inventory.decodedConfigurations, before + 1);
}

// A fleet of 72 daemons loses power and restarts at once; a group has 53 connections, most of which the endpoints still
// hold for the previous processes. Guards against a daemon that considers itself an owner before it knows the others,
// and uses up the owners' connections.
Test(FrontDaemon, opensNoConnectionBeforeItKnowsTheOwners)
{
    Fixture fixture;
    std::size_t owners = 0;
    for (int number = 1; number <= 72; ++number) {
        // The entries of the whole fleet outlive the power loss; those of the daemons before this one have expired.
        for (int member = 1; member <= 72; ++member)
            fixture.putMember(member);
        const std::size_t before = fixture.endpoints.server(EndpointId("a")).openedConnections;
        fixture.store.slowPrefix = storeKeys::root;
        fixture.store.slowDelay = Milliseconds(300);
        const auto daemon = fixture.makeDaemon(number);
        daemon->start();
        fixture.timers.advance(Milliseconds(250));
        cr_assert(!daemon->isReady(), "the owners are not known yet");
        fixture.timers.advance(Milliseconds(750));
        cr_assert(daemon->isReady());
        owners += fixture.endpoints.server(EndpointId("a")).openedConnections > before ? 1 : 0;
    }
    cr_assert_leq(owners, 9U, "53 connections suffice for nine owners with four each");
    cr_assert_geq(owners, 1U);
}

// Hundreds of endpoints continuously write heartbeats into the store.
// Guards against passing all of them on to every peer: only changes of an endpoint's entry are passed on.
Test(FrontDaemon, passesNoHeartbeatsToPeers)
{
    Fixture fixture;
    fixture.store.put(storeKeys::clusterKey, "key");
    const auto daemon = fixture.makeDaemon(1);
    daemon->start();
    fixture.timers.advance(Milliseconds(1000));
    cr_assert(fixture.peers->handler);
    const auto askSince = [&](std::uint64_t revision) {
        fixture.peers->sent.clear();
        StoreUpdateRequest request;
        request.known.push_back({ "endpoints/", revision });
        fixture.peers->handler({ VmId("vm-2"), FailureDomainId("zone"), "10.0.0.2:1" }, request);
        cr_assert_eq(fixture.peers->sent.size(), 1U);
        return std::get<StoreUpdate>(fixture.peers->sent[0]);
    };
    const std::uint64_t known = fixture.store.revision();
    for (const char* id : { "a", "b", "c" })
        fixture.writeEntry(id);
    fixture.timers.advance(Milliseconds(1000));
    const StoreUpdate heartbeats = askSince(known);
    cr_assert(heartbeats.items.empty());
    cr_assert(!heartbeats.isSnapshot);
    cr_assert_geq(heartbeats.revision, known + 3, "the peer learns that it is up to date");
    fixture.writeEntry("d");
    fixture.timers.advance(Milliseconds(1000));
    cr_assert_eq(askSince(known).items.size(), 1U);
}

// A fleet of 40 daemons starts for the first time, all within 0.3 s.
// Guards against store calls by every daemon for every registration, and against a daemon that never becomes ready.
Test(FrontDaemon, firstStartOfAFleetCausesFewCalls)
{
    Fixture fixture;
    std::vector<std::unique_ptr<FrontDaemon>> daemons;
    for (int number = 1; number <= 40; ++number) {
        daemons.push_back(fixture.makeDaemon(number, true));
        daemons.back()->start();
        fixture.timers.advance(Milliseconds(7));
    }
    fixture.timers.advance(Milliseconds(2200));
    cr_assert(!fixture.store.valueOf(storeKeys::clusterKey).empty());
    for (const auto& daemon : daemons)
        cr_assert(daemon->isReady());
    // Per daemon: a lease, a key, three reads and two more of the members; in addition the writers of the cluster key.
    cr_assert_leq(fixture.store.calls, 40U * 7U + 3U);
}

// Rolling shutdown of all daemons under load. Guards against an owner that is still sent statements of other daemons,
// and against one that exits while such a statement runs: accepted requests would get no answer.
Test(FrontDaemon, stoppingOwnerFinishesForwardedStatements)
{
    Fixture fixture;
    fixture.store.put(storeKeys::clusterKey, "key");
    const auto daemon = fixture.makeDaemon(1);
    daemon->start();
    fixture.timers.advance(Milliseconds(1500));
    fixture.endpoints.server(EndpointId("a")).isSilent = true;
    SessionStatement statement;
    statement.correlation = 5;
    statement.statement.kind = StatementKind::Write;
    statement.statement.id = "w1";
    statement.statement.text = "WRITE x 1";
    statement.group = GroupId("ledger");
    statement.isWrite = true;
    statement.needsPrimary = true;
    statement.timeLeft = Milliseconds(4500);
    fixture.peers->handler({ VmId("vm-2"), FailureDomainId("zone"), "10.0.0.2:1" }, statement);
    bool isStopped = false;
    daemon->beginStop([&isStopped] { isStopped = true; });
    fixture.timers.advance(Milliseconds(100));
    cr_assert_neq(fixture.store.valueOf(storeKeys::members + "vm-1").find("leaving"), std::string::npos);
    fixture.timers.advance(Milliseconds(4100));
    cr_assert(!isStopped, "the other daemon's write is not answered yet");
    fixture.timers.advance(Milliseconds(1000));
    const bool isAnswered = std::any_of(fixture.peers->sent.begin(), fixture.peers->sent.end(),
        [](const Message& message) { return std::holds_alternative<SessionAnswer>(message); });
    cr_assert(isAnswered);
    cr_assert(isStopped);
}

// The store is restored from a copy that lacks the members and the cluster key. Guards against daemons that seem to
// have left, against a second cluster key, and against a configuration that goes back.
Test(FrontDaemon, rewritesKeysThatARestoredStoreLacks)
{
    Fixture fixture;
    fixture.store.takeCopy();
    fixture.store.put(storeKeys::clusterKey, "key");
    const auto daemon = fixture.makeDaemon(1);
    daemon->start();
    fixture.timers.advance(Milliseconds(1500));
    cr_assert(fixture.store.has(storeKeys::members + "vm-1"));
    const auto configuration = daemon->routing();
    fixture.store.restoreCopy();
    cr_assert_not(fixture.store.has(storeKeys::members + "vm-1"));
    fixture.timers.advance(Milliseconds(2500));
    cr_assert(fixture.store.has(storeKeys::members + "vm-1"));
    cr_assert_eq(fixture.store.valueOf(storeKeys::clusterKey), "key");
    cr_assert(daemon->isReady());
    cr_assert_eq(daemon->routing()->version, configuration->version);
    // A second restore during the registration that follows the first one.
    fixture.store.restoreCopy();
    fixture.timers.advance(Milliseconds(100));
    fixture.store.restoreCopy();
    fixture.timers.advance(Milliseconds(2500));
    cr_assert(fixture.store.has(storeKeys::members + "vm-1"));
    fixture.timers.advance(Milliseconds(30000));
    cr_assert(fixture.store.has(storeKeys::members + "vm-1"), "the new lease is renewed");
}

// The store of a fleet of 40 daemons is restored. Guards against a burst of calls when it is available again.
Test(FrontDaemon, storeRestoreCausesFewCalls)
{
    Fixture fixture;
    std::vector<std::unique_ptr<FrontDaemon>> daemons;
    for (int number = 1; number <= 40; ++number)
        daemons.push_back(fixture.makeDaemon(number));
    fixture.store.takeCopy();
    fixture.store.put(storeKeys::clusterKey, "key");
    for (const auto& daemon : daemons)
        daemon->start();
    fixture.timers.advance(Milliseconds(3000));
    fixture.store.restoreCopy();
    const std::size_t before = fixture.store.calls;
    fixture.timers.advance(Milliseconds(2000));
    for (int number = 1; number <= 40; ++number)
        cr_assert(fixture.store.has(storeKeys::members + "vm-" + std::to_string(number)));
    // Per daemon: a lease and a key, reads of three prefixes, and the watches.
    cr_assert_leq(fixture.store.calls - before, 40U * 14U);
}

// A daemon is told to stop while its member entry is being written. Guards against an entry that does not say that the
// daemon leaves.
Test(FrontDaemon, stopDuringTheRegistrationIsAnnounced)
{
    Fixture fixture;
    const auto daemon = fixture.makeDaemon(1);
    daemon->start();
    fixture.timers.advance(Milliseconds(6));
    cr_assert_not(fixture.store.has(storeKeys::members + "vm-1"));
    daemon->beginStop([] {});
    fixture.timers.advance(Milliseconds(100));
    const std::string entry = fixture.store.valueOf(storeKeys::members + "vm-1");
    cr_assert(entry.empty() || entry.find("leaving") != std::string::npos, "%s", entry.c_str());
}

// 300 daemons and 460 groups: the endpoints' entries reach a daemon before the configuration does. Guards against each
// daemon opening a connection to every endpoint meanwhile: 414,000 connections, most of them refused and tried again.
Test(FrontDaemon, opensNoConnectionBeforeItKnowsTheConfiguration)
{
    Fixture fixture;
    fixture.store.slowPrefix = "config/";
    fixture.store.slowDelay = Milliseconds(1200);
    const auto daemon = fixture.makeDaemon(1);
    daemon->start();
    fixture.timers.advance(Milliseconds(1200));
    cr_assert(!daemon->isReady());
    cr_assert_eq(fixture.endpoints.server(EndpointId("a")).openedConnections, 0U);
    fixture.timers.advance(Milliseconds(1500));
    cr_assert(daemon->isReady());
    cr_assert_geq(fixture.endpoints.server(EndpointId("a")).openedConnections, 1U);
}

// Guards against reports of another owner that do not reach the decision, and against a daemon that uses or sends
// reports although its settings do not ask for it.
Test(FrontDaemon, usesReportsOfOtherOwnersOnlyWhereCapacityIsLearned)
{
    for (const bool learns : { true, false }) {
        Fixture fixture;
        fixture.learnsEndpointCapacity = learns;
        fixture.store.put(storeKeys::clusterKey, "key");
        fixture.putMember(2);
        const auto daemon = fixture.makeDaemon(1);
        daemon->start();
        fixture.timers.advance(Milliseconds(1500));
        cr_assert(daemon->isReady() && fixture.peers->handler);
        GroupReport report;
        report.group = GroupId("ledger");
        report.number = 1;
        report.period = Milliseconds(4000);
        EndpointReport entry;
        entry.endpoint = EndpointId("b");
        entry.failures = 20;
        report.endpoints.push_back(entry);
        fixture.peers->sent.clear();
        fixture.peers->handler({ VmId("vm-2"), FailureDomainId("zone"), "10.0.0.1:1" }, OwnerProbe { { report } });
        cr_assert_eq(fixture.peers->sent.size(), 1U);
        cr_assert(std::holds_alternative<OwnerProbeAnswer>(fixture.peers->sent[0]));
        fixture.timers.advance(Milliseconds(500));
        const std::uint64_t ejections = daemon->metrics().counter("almondlever_endpoint_capacity_changes_total",
            "endpoint=\"b\",change=\"endpoint_ejected\",reason=\"failures\"");
        cr_assert_eq(ejections, learns ? 1U : 0U);
        const bool hasSentReports
            = std::any_of(fixture.peers->sent.begin(), fixture.peers->sent.end(), [](const Message& message) {
                  const auto* probe = std::get_if<OwnerProbe>(&message);
                  return probe && !probe->reports.empty();
              });
        cr_assert(!hasSentReports, "no statement was observed");
    }
}

// Guards against writes that are held until the limit after a suspension although the store answers, and against taking
// a store that does not answer for news.
Test(FrontDaemon, readsTheRecordsOfChangesAfterASuspension)
{
    Fixture fixture;
    const auto daemon = fixture.makeDaemon(1);
    daemon->start();
    fixture.timers.advance(Milliseconds(3000));
    const auto events = [&daemon](const std::string& event) {
        return daemon->metrics().counter("almondlever_suspension_holds_total", "event=\"" + event + '"');
    };
    cr_assert_eq(events("begun"), 0U);
    fixture.timers.skip(Milliseconds(2000));
    fixture.timers.advance(Milliseconds(100));
    cr_assert_eq(events("begun"), 1U);
    cr_assert_eq(events("news"), 1U);
    fixture.store.isDown = true;
    fixture.timers.skip(Milliseconds(2000));
    fixture.timers.advance(Milliseconds(5000));
    cr_assert_eq(events("begun"), 2U);
    cr_assert_eq(events("news"), 1U);
    fixture.store.isDown = false;
    fixture.timers.advance(Milliseconds(500));
    cr_assert_eq(events("news"), 2U);
    cr_assert_eq(events("time_out"), 0U);
}
