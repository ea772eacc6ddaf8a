#include "almondlever/endpoints/HttpEndpointConnector.h"
#include "almondlever/transport/HttpClient.h"
#include "standin/Standin.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace almondlever;
using namespace almondlever::standin;
using Json = nlohmann::json;

namespace {

constexpr Milliseconds patience { 3000 };

const char* const configuration = R"(
network: { inside_domain_ms: 0, between_regions_ms: 1 }
failure_domains: [{ id: khomas-a, region: khomas }, { id: erongo-a, region: erongo }]
vms:
  - { id: vm-1, failure_domain: khomas-a, daemon_address: "127.0.0.1:1" }
  - { id: db-1, failure_domain: khomas-a }
  - { id: db-2, failure_domain: erongo-a }
endpoints:
  - { id: a, database: lots, vm: db-1, slots: 2, connections: 2, initial_primary: true }
  - { id: b, database: lots, vm: db-2, slots: 2, connections: 4 }
)";

/** Both servers, the platform and the control interface in one process on free ports. */
struct Fixture {
    asio::io_context context;
    Standin standin;
    HttpClient client;
    HttpEndpointConnector connector;

    Fixture()
        : standin(context, parseConfig(configuration, "test").value(),
            { { "all" }, true, false, HttpAddress { "127.0.0.1", 0 }, "" })
        , client(context)
        , connector(context, VmId())
    {
        cr_assert(standin.start().hasValue());
    }

    std::string address(const std::string& endpoint) const
    {
        return standin.addresses()["endpoints"][endpoint]["address"];
    }

    /** Runs the loop until the condition holds. */
    template <typename Condition> bool runUntil(Condition condition)
    {
        const TimePoint end = Clock::now() + patience;
        while (!condition() && Clock::now() < end)
            context.run_one_for(Milliseconds(20));
        return condition();
    }

    HttpResult request(const std::string& target, const HttpRequest& request, Milliseconds timeout = patience)
    {
        std::optional<HttpResult> result;
        client.request(parseHttpAddress(target).value(), request, timeout,
            [&result](HttpResult answer) { result = std::move(answer); });
        cr_assert(runUntil([&result] { return result.has_value(); }));
        return *result;
    }

    Json post(const std::string& target, const std::string& path, const Json& body)
    {
        const HttpResult result = request(target, { "POST", path, {}, body.dump() });
        cr_assert(result.hasValue());
        return Json::parse(result.value().body);
    }

    std::shared_ptr<EndpointConnection> open(const std::string& endpoint)
    {
        std::shared_ptr<EndpointConnection> connection;
        connector.open(address(endpoint), 1, patience,
            [&connection](const auto& result) { connection = result ? result.value() : nullptr; });
        cr_assert(runUntil([&connection] { return connection != nullptr; }));
        return connection;
    }

    EndpointResult<EndpointReply> execute(EndpointConnection& connection, const EndpointStatement& statement)
    {
        std::optional<EndpointResult<EndpointReply>> result;
        connection.execute(statement, patience, [&result](auto reply) { result = std::move(reply); });
        cr_assert(runUntil([&result] { return result.has_value(); }));
        return *result;
    }
};

EndpointStatement writeOf(const std::string& id, std::uint64_t epoch)
{
    EndpointStatement statement;
    statement.requestId = RequestId(id);
    statement.kind = OperationKind::Write;
    statement.key = "lot";
    statement.value = "graded";
    statement.claimEpoch = epoch;
    statement.term = 1;
    return statement;
}

} // namespace

// Smoke test: guards against parts that work alone but not together, such as replication that stops when an unrelated
// connection closes.
Test(Standin, replicatesWriteAndHoldsItDuringPartition)
{
    Fixture fixture;
    cr_assert(
        fixture.post(fixture.address("a"), "/claim", { { "expected_epoch", 0 }, { "owner", "vm-1" } })["claim_epoch"]
        == 1);
    fixture.client.closeAll();
    const auto replicaHas = [&fixture](std::uint64_t index) {
        return fixture.runUntil([&fixture, index] {
            return fixture.standin.statistics()["endpoints"]["b"]["log_end"] == Json::array({ 1, index });
        });
    };
    const auto connection = fixture.open("a");
    cr_assert(fixture.execute(*connection, writeOf("r1", 1)).value().position == (LogPosition { 1, 2 }));
    cr_assert(replicaHas(2));
    fixture.standin.act({ { "action", "partition" }, { "between", { "khomas-a", "erongo-a" } } });
    cr_assert(fixture.execute(*connection, writeOf("r2", 1)).hasValue());
    fixture.context.run_for(Milliseconds(150));
    cr_assert(fixture.standin.statistics()["endpoints"]["b"]["log_end"] == Json::array({ 1, 2 }));
    fixture.standin.act({ { "action", "heal" } });
    cr_assert(replicaHas(3));
}

// Guards against connections beyond the limit, and against an old owner's connections that keep theirs.
Test(Standin, limitsConnectionsAndClosesThoseOfOldClaim)
{
    Fixture fixture;
    fixture.post(fixture.address("a"), "/claim", { { "expected_epoch", 0 }, { "owner", "vm-1" } });
    fixture.client.closeAll();
    const auto statistics = [&fixture] { return fixture.standin.statistics()["endpoints"]["a"]; };
    cr_assert(fixture.runUntil([&statistics] { return statistics()["connections_open"] == 0; }));
    const auto first = fixture.open("a");
    cr_assert(fixture.execute(*first, writeOf("r1", 1)).hasValue());
    const auto second = fixture.open("a");
    const auto third = fixture.open("a");
    cr_assert(fixture.runUntil([&third] { return !third->isOpen(); }));
    cr_assert(statistics()["connections_refused"] == 1 && statistics()["connections_peak"] == 2);
    second->close();
    cr_assert(fixture.runUntil([&statistics] { return statistics()["connections_open"] == 1; }));
    fixture.post(fixture.address("a"), "/claim", { { "expected_epoch", 1 }, { "owner", "vm-2" } });
    cr_assert(fixture.runUntil([&first] { return !first->isOpen(); }));
}

// Guards transactions during a hand-over: a release leaves them open, a claim taken by force ends them.
Test(Standin, releaseKeepsAndForcedClaimEndsTransactions)
{
    Fixture fixture;
    fixture.post(fixture.address("a"), "/claim", { { "expected_epoch", 0 }, { "owner", "vm-1" } });
    const auto connection = fixture.open("a");
    bool hasBegun = false;
    connection->begin(writeOf("t1", 1), patience, [&hasBegun](const auto& reply) { hasBegun = reply.hasValue(); });
    cr_assert(fixture.runUntil([&hasBegun] { return hasBegun; }));
    fixture.post(fixture.address("a"), "/claim", { { "expected_epoch", 1 }, { "owner", "" } });
    fixture.post(fixture.address("a"), "/claim", { { "expected_epoch", 2 }, { "owner", "vm-2" } });
    cr_assert(fixture.execute(*connection, writeOf("t2", 1)).hasValue());
    fixture.post(fixture.address("a"), "/claim", { { "expected_epoch", 3 }, { "owner", "vm-3" } });
    cr_assert(fixture.runUntil([&connection] { return !connection->isOpen(); }));
}

// Guards against more statements at once than slots, and against answers of a paused server.
Test(Standin, refusesStatementsBeyondSlotsAndHoldsPaused)
{
    Fixture fixture;
    fixture.standin.act({ { "action", "service_time" }, { "endpoint", "b" }, { "ms", 100 } });
    EndpointStatement read;
    read.key = "lot";
    std::size_t served = 0;
    std::size_t busy = 0;
    std::vector<std::shared_ptr<EndpointConnection>> connections;
    for (int i = 0; i < 3; ++i) {
        connections.push_back(fixture.open("b"));
        connections.back()->execute(read, patience, [&served, &busy](const auto& reply) {
            served += reply ? 1 : 0;
            busy += !reply && reply.error().code == EndpointErrorCode::Busy ? 1 : 0;
        });
    }
    cr_assert(fixture.runUntil([&busy] { return busy == 1; }));
    fixture.standin.act({ { "action", "pause" }, { "endpoint", "b" } });
    fixture.context.run_for(Milliseconds(200));
    cr_assert(served == 0);
    fixture.standin.act({ { "action", "resume" }, { "endpoint", "b" } });
    cr_assert(fixture.runUntil([&served] { return served == 2; }));
    cr_assert(fixture.standin.statistics()["endpoints"]["b"]["slots_peak"] == 2);
}

// Guards against a lost answer whose change did not happen, which would hide the case that apply must resolve.
Test(Standin, losesAnswerOfChangeThatTookEffect)
{
    Fixture fixture;
    const std::string platform = fixture.standin.addresses()["platform"];
    fixture.standin.act({ { "action", "kv_lose_answers" }, { "changes", 1 } });
    const Json change { { "key", "head" }, { "expected_revision", 0 }, { "value", "7" } };
    cr_assert(!fixture.request(platform, { "POST", "/kv/cas", {}, change.dump() }, Milliseconds(200)).hasValue());
    const HttpResult found = fixture.request(platform, { "GET", "/kv?key=head", {}, "" });
    cr_assert(found.hasValue() && Json::parse(found.value().body)["value"] == "7");
    cr_assert(fixture.request(platform, { "POST", "/kv/cas", {}, change.dump() }).value().status == 409);
}
