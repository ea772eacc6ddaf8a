#include "almondlever/platform/HttpPlatform.h"
#include "almondlever/transport/HttpServer.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <optional>

using namespace almondlever;

namespace {

constexpr Milliseconds callTimeout { 2000 };

/** A server on a free loopback port that sends one prepared response, or none, and records the lastExchange request. */
class ScriptedServer {
public:
    ScriptedServer()
        : server_(makeHttpServer(context, {}, [this](std::shared_ptr<HttpExchange> exchange) { handle(exchange); }))
    {
        const auto started = server_->start();
        cr_assert(started.hasValue());
        address = started.value();
    }

    /** Runs the event loop until the value is set. */
    template <typename Value> Value await(const std::optional<Value>& value)
    {
        const TimePoint deadline = Clock::now() + std::chrono::seconds(10);
        while (!value && Clock::now() < deadline)
            context.run_one_for(Milliseconds(100));
        cr_assert(value.has_value(), "no callback");
        return *value;
    }

    asio::io_context context;
    HttpAddress address;
    std::optional<HttpResponse> answer;
    std::shared_ptr<HttpExchange> lastExchange;

private:
    void handle(const std::shared_ptr<HttpExchange>& exchange)
    {
        lastExchange = exchange;
        if (answer)
            exchange->respond(*answer);
    }

    std::unique_ptr<HttpServer> server_;
};

struct Fixture {
    ScriptedServer server;
    std::unique_ptr<KeyValueService> service = makeHttpKeyValueService(server.context, server.address, VmId("entry-1"));

    KeyValueResult<std::optional<VersionedValue>> get(unsigned status, const std::string& body)
    {
        server.answer = HttpResponse { status, {}, body };
        std::optional<KeyValueResult<std::optional<VersionedValue>>> result;
        service->get("a/b", callTimeout, [&](auto answer) { result.emplace(std::move(answer)); });
        return server.await(result);
    }

    KeyValueResult<std::uint64_t> swap(unsigned status, const std::string& body)
    {
        server.answer = HttpResponse { status, {}, body };
        std::optional<KeyValueResult<std::uint64_t>> result;
        service->compareAndSwap(
            "a/b", 7, "text \"quoted\"", callTimeout, [&](auto answer) { result.emplace(std::move(answer)); });
        return server.await(result);
    }
};

/** Returns a loopback address on which nothing listens. */
HttpAddress closedAddress()
{
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    return { "127.0.0.1", acceptor.local_endpoint().port() };
}

} // namespace

// Guards against requests that do not follow docs/PLATFORM_CONTRACT.md.
Test(HttpKeyValueService, sendsRequestsOfTheContract)
{
    Fixture fixture;
    cr_assert(fixture.swap(200, "{\"revision\":8}").value() == 8);
    cr_assert(fixture.server.lastExchange->method() == "POST");
    cr_assert(fixture.server.lastExchange->path() == "/kv/cas");
    cr_assert(fixture.server.lastExchange->header("Almondlever-Vm") == "entry-1");
    cr_assert(fixture.server.lastExchange->body()
        == "{\"expected_revision\":7,\"key\":\"a/b\",\"value\":\"text \\\"quoted\\\"\"}");

    fixture.server.answer = HttpResponse { 200, {}, "{\"revision\":9}" };
    std::optional<KeyValueResult<std::uint64_t>> removed;
    fixture.service->remove("a/b", 8, callTimeout, [&](auto answer) { removed.emplace(std::move(answer)); });
    cr_assert(fixture.server.await(removed).value() == 9);
    cr_assert(fixture.server.lastExchange->path() == "/kv/delete");
    cr_assert(fixture.server.lastExchange->body() == "{\"expected_revision\":8,\"key\":\"a/b\"}");

    fixture.server.answer = HttpResponse { 200, {}, "{\"keys\":[\"a/b\",\"a/c\"]}" };
    std::optional<KeyValueResult<std::vector<std::string>>> keys;
    fixture.service->list("a/&=% ", callTimeout, [&](auto answer) { keys.emplace(std::move(answer)); });
    cr_assert(fixture.server.await(keys).value().size() == 2);
    cr_assert(fixture.server.lastExchange->path() == "/kv/list");
    cr_assert(fixture.server.lastExchange->query("prefix") == "a/&=% ");

    fixture.server.answer = HttpResponse { 200, {}, "{\"value\":\"v\",\"revision\":9}" };
    std::optional<KeyValueResult<std::optional<VersionedValue>>> watched;
    fixture.service->watch(
        "a/b", 8, Milliseconds(500), callTimeout, [&](auto answer) { watched.emplace(std::move(answer)); });
    cr_assert(fixture.server.await(watched).value()->revision == 9);
    cr_assert(fixture.server.lastExchange->query("key") == "a/b");
    cr_assert(fixture.server.lastExchange->query("known_revision") == "8");
    cr_assert(fixture.server.lastExchange->query("wait_ms") == "500");
}

// Guards against reporting a missing key as a failure, and the reverse.
Test(HttpKeyValueService, readsValuesAndMissingKeys)
{
    Fixture fixture;
    const auto found = fixture.get(200, "{\"value\":\"v\",\"revision\":3}");
    cr_assert(found.value()->value == "v" && found.value()->revision == 3);
    cr_assert(!fixture.get(404, "{\"revision\":0}").value().has_value());
    for (const char* body : { "", "[]", "{\"value\":1,\"revision\":3}", "{\"value\":\"v\",\"revision\":-3}" })
        cr_assert(fixture.get(200, body).error().code == KeyValueError::Code::NoAnswer, "%s", body);
}

// Guards against reporting a change that may have taken effect as certainly not done, and the reverse.
Test(HttpKeyValueService, distinguishesErrors)
{
    Fixture fixture;
    const auto conflict = fixture.swap(409, "{\"revision\":12}");
    cr_assert(conflict.error().code == KeyValueError::Code::Conflict && conflict.error().revision == 12);
    cr_assert(fixture.swap(429, "").error().code == KeyValueError::Code::RateLimited);
    cr_assert(fixture.swap(413, "").error().code == KeyValueError::Code::Rejected);
    cr_assert(fixture.swap(400, "").error().code == KeyValueError::Code::Rejected);
    cr_assert(fixture.swap(503, "").error().code == KeyValueError::Code::NoAnswer);
    cr_assert(fixture.swap(200, "not JSON").error().code == KeyValueError::Code::NoAnswer);
}

// Guards against reporting a lost response as a request that was not sent.
Test(HttpKeyValueService, distinguishesLostResponsesFromUnsentRequests)
{
    Fixture fixture;
    std::optional<KeyValueResult<std::uint64_t>> lost;
    fixture.service->compareAndSwap(
        "a", 0, "v", Milliseconds(50), [&](auto answer) { lost.emplace(std::move(answer)); });
    cr_assert(fixture.server.await(lost).error().code == KeyValueError::Code::NoAnswer);
    cr_assert(fixture.server.lastExchange != nullptr, "the request did not arrive");

    const auto unreachable = makeHttpKeyValueService(fixture.server.context, closedAddress(), VmId());
    std::optional<KeyValueResult<std::uint64_t>> refused;
    unreachable->compareAndSwap("a", 0, "v", callTimeout, [&](auto answer) { refused.emplace(std::move(answer)); });
    cr_assert(fixture.server.await(refused).error().code == KeyValueError::Code::NotSent);
}

// Guards against sending, or throwing an exception for, values that are too large for the service or not valid in JSON.
Test(HttpKeyValueService, rejectsValuesThatCannotBeSent)
{
    Fixture fixture;
    for (const std::string& value : { std::string(maximumKeyValueBytes + 1, 'x'), std::string("\xff") }) {
        std::optional<KeyValueResult<std::uint64_t>> result;
        fixture.service->compareAndSwap(
            "a", 0, value, callTimeout, [&](auto answer) { result.emplace(std::move(answer)); });
        cr_assert(result && result->error().code == KeyValueError::Code::Rejected);
    }
    cr_assert(fixture.server.lastExchange == nullptr);
}

// Guards against decoding leaving VMs as live ones, and against a list truncated by one malformed entry.
Test(HttpVmList, readsTheList)
{
    ScriptedServer server;
    const auto vmList = makeHttpVmList(server.context, server.address, VmId());
    const auto read = [&](const std::string& body) {
        server.answer = HttpResponse { 200, {}, body };
        std::optional<Result<std::vector<VmListEntry>, std::string>> result;
        vmList->list(callTimeout, [&](auto answer) { result.emplace(std::move(answer)); });
        return server.await(result);
    };
    const auto listed = read("{\"vms\":[{\"id\":\"e1\",\"state\":\"live\",\"failure_domain\":\"f1\",\"peer_address\":"
                             "\"10.0.0.1:7000\"},{\"id\":\"d1\",\"state\":\"leaving\",\"failure_domain\":\"f2\"}]}");
    cr_assert(listed.hasValue() && listed.value().size() == 2);
    cr_assert(listed.value()[0].peerAddress == "10.0.0.1:7000" && listed.value()[0].state == VmState::Live);
    cr_assert(listed.value()[1].peerAddress.empty() && listed.value()[1].state == VmState::Leaving);
    cr_assert(server.lastExchange->path() == "/vms");
    cr_assert(server.lastExchange->header("Almondlever-Vm").empty());
    cr_assert(!read("{\"vms\":[{\"id\":\"e1\",\"state\":\"gone\",\"failure_domain\":\"f1\"}]}").hasValue());
    cr_assert(!read("{\"vms\":{}}").hasValue());
    cr_assert(!read("x").hasValue());
}
