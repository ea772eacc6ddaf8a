#include "almondlever/common/StoreEra.h"
#include "almondlever/transport/HttpServer.h"
#include "platform/HttpMetadataStore.h"

#include <asio.hpp>
#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** A store that answers each call with the response set by the test and records the requests. */
struct ScriptedStore {
    ScriptedStore()
    {
        HttpServerSettings settings;
        settings.host = "127.0.0.1";
        server = makeHttpServer(context, settings, [this](const std::shared_ptr<HttpExchange>& exchange) {
            targets.push_back(exchange->path() + " after " + exchange->query("after"));
            HttpResponse response;
            response.status = status;
            response.body = body;
            if (!era.empty())
                response.headers.emplace_back("Store-Era", era);
            exchange->respond(response);
        });
        const auto port = server->start();
        cr_assert(port);
        address = port.value();
        store = std::make_unique<HttpMetadataStore>(context, address, metrics);
    }

    /** Runs the event loop until a callback has set the result. */
    template <typename Value> StoreResult<Value> await(std::optional<StoreResult<Value>>& result)
    {
        while (!result)
            context.run_one_for(Milliseconds(100));
        return *result;
    }

    StoreResult<StorePage> readAll()
    {
        std::optional<StoreResult<StorePage>> result;
        store->readRange("a/", "", [&](StoreResult<StorePage> page) { result = std::move(page); });
        return await(result);
    }

    asio::io_context context;
    Metrics metrics;
    std::unique_ptr<HttpServer> server;
    HttpAddress address;
    std::unique_ptr<HttpMetadataStore> store;
    std::vector<std::string> targets;
    unsigned status = 200;
    std::string body;
    std::string era;
};

constexpr const char* emptyPage = R"({"items":[],"as-of":50,"truncated":false})";

} // namespace

// Guards against revisions that decrease after a restore of the store: changes of the new era would be ignored as
// outdated.
Test(StoreEra, revisionsIncreaseAcrossRestores)
{
    ScriptedStore store;
    store.body = R"({"items":[{"key":"a/x","value":"","revision":60,"lease":7}],"as-of":900,"truncated":false})";
    store.era = "3";
    const auto before = store.readAll();
    store.body = R"({"items":[{"key":"a/x","value":"","revision":40,"lease":0}],"as-of":50,"truncated":false})";
    store.era = "4";
    const auto after = store.readAll();
    cr_assert(before.hasValue() && after.hasValue());
    cr_assert_gt(after.value().asOf, before.value().asOf);
    cr_assert_gt(after.value().items[0].revision, before.value().items[0].revision);
}

// Guards against accepting a delayed response that the store sent before the restore.
Test(StoreEra, responseOfAnEarlierEraIsNoAnswer)
{
    ScriptedStore store;
    store.body = emptyPage;
    store.era = "4";
    cr_assert(store.readAll().hasValue());
    store.era = "3";
    const auto late = store.readAll();
    cr_assert(!late.hasValue());
    cr_assert(late.error().kind == StoreFailure::Kind::NoAnswer);
    store.era = "four";
    cr_assert(!store.readAll().hasValue());
    store.era = "";
    cr_assert(store.readAll().hasValue(), "a response without an era is accepted");
}

// Guards against a watch that resumes at a revision number which the restored store reuses, and so misses the changes
// of the new era before that number.
Test(StoreEra, watchOfAnEarlierEraIsRejected)
{
    ScriptedStore store;
    store.body = emptyPage;
    store.era = "3";
    const std::uint64_t known = store.readAll().value().asOf;
    store.body = R"({"events":[],"as-of":70})";
    store.era = "4";
    const auto watch = [&] {
        std::optional<StoreResult<StorePage>> result;
        store.store->watch(
            "a/", known, Milliseconds(10), [&](StoreResult<StorePage> page) { result = std::move(page); });
        return store.await(result);
    };
    cr_assert(watch().error().kind == StoreFailure::Kind::HistoryGone, "the response names the new era");
    const std::size_t calls = store.targets.size();
    cr_assert(watch().error().kind == StoreFailure::Kind::HistoryGone);
    cr_assert_eq(store.targets.size(), calls, "the client knows the new era and rejects the watch without a call");
    cr_assert_eq(store.targets.back(), "/-/kv-watch after 50");
}

// Guards against renewing, or writing with, a lease whose number was granted to another daemon after the restore, and
// against deleting another daemon's claim whose revision has the same number.
Test(StoreEra, leasesAndRevisionsOfAnEarlierEraAreRejected)
{
    ScriptedStore store;
    store.body = R"({"lease":18446744073709551557,"ttl-ms":2500})";
    store.era = "3";
    std::optional<StoreResult<StoreLease>> granted;
    store.store->grantLease(Milliseconds(2500), [&](StoreResult<StoreLease> lease) { granted = std::move(lease); });
    const LeaseId lease = store.await(granted).value().id;
    const auto renew = [&] {
        std::optional<StoreResult<Done>> result;
        store.store->renewLease(lease, [&](StoreResult<Done> done) { result = std::move(done); });
        return store.await(result);
    };
    store.body = "{}";
    cr_assert(renew().hasValue());
    cr_assert_eq(store.targets.back(), "/-/kv-keep/18446744073709551557 after ", "any 64-bit number is a valid lease");
    store.era = "4";
    cr_assert(renew().error().kind == StoreFailure::Kind::LeaseGone);
    const auto transact = [&](const StoreTransaction& transaction) {
        std::optional<StoreResult<std::uint64_t>> result;
        store.store->transact(transaction, [&](StoreResult<std::uint64_t> revision) { result = std::move(revision); });
        return store.await(result);
    };
    store.body = R"({"revision":61})";
    StoreTransaction write;
    write.puts.push_back({ "a/x", "1", lease });
    cr_assert(transact(write).error().kind == StoreFailure::Kind::LeaseGone);
    StoreTransaction release;
    release.expected.push_back({ "a/x", storeEra::combine(3, 60) });
    release.deletes.emplace_back("a/x");
    cr_assert(transact(release).error().kind == StoreFailure::Kind::Conflict);
    release.expected[0].revision = storeEra::combine(4, 60);
    cr_assert_eq(transact(release).value(), storeEra::combine(4, 61));
}

// Guards against a revision that overflows into the bits of the era and is then treated as one of a later era.
Test(StoreEra, tooLargeRevisionIsNoAnswer)
{
    ScriptedStore store;
    store.body = R"({"items":[],"as-of":1099511627776,"truncated":false})";
    cr_assert(!store.readAll().hasValue());
}
