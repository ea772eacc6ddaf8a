#include "almondlever/caller_api/CallerApi.h"
#include "daemon/StatusPages.h"

#include <criterion/criterion.h>
#include <nlohmann/json.hpp>

using namespace almondlever;

namespace {

/** An HTTP exchange with preset contents that records its response. */
struct FakeExchange final : HttpExchange {
    const std::string& method() const override { return method_; }
    const std::string& path() const override { return path_; }
    std::string query(const std::string&) const override { return {}; }
    std::string header(const std::string& name) const override
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    const std::string& body() const override { return body_; }
    std::uint64_t connection() const override { return 1; }
    void respond(const HttpResponse& response, bool) override { answer = response; }

    std::string method_ = "POST";
    std::string path_ = "/v1/databases/lots/statements";
    std::string body_ = R"({"op":"write","key":"lot-1","value":"booked"})";
    std::map<std::string, std::string> headers { { "Almondlever-Caller", "customs" } };
    std::optional<HttpResponse> answer;
};

struct FakeHandler final : CallerRequestHandler {
    void handle(CallerRequest request, TimePoint, CallerCallback callback) override
    {
        requests.push_back(std::move(request));
        callback(reply);
    }

    std::vector<CallerRequest> requests;
    CallerReply reply { CallerSuccess {}, "", RequestId("r1") };
};

struct ApiFixture {
    HttpResponse send(const std::shared_ptr<FakeExchange>& exchange)
    {
        api.handle(exchange);
        cr_assert(exchange->answer.has_value());
        return *exchange->answer;
    }
    std::string outcomeOf(const HttpResponse& response) { return nlohmann::json::parse(response.body).at("outcome"); }

    FakeHandler handler;
    CallerApi api { handler,
        { [] { return true; }, [] { return std::string(); }, [] { return std::string(); },
            [](const CallerId&, const DatabaseId&, OperationKind) { return std::string(); } } };
    std::shared_ptr<FakeExchange> exchange = std::make_shared<FakeExchange>();
};

} // namespace

// Guards P6: the idempotency key and the `repeatable` flag must reach the router.
Test(CallerApi, passesKeyRepeatableFlagAndTransactionToRouter)
{
    ApiFixture f;
    f.exchange->headers["Idempotency-Key"] = "order-1";
    f.exchange->body_ = R"({"op":"write","key":"k","value":"v","repeatable":false,"transaction":"vm-1.7"})";
    cr_assert(f.send(f.exchange).status == 200);
    const CallerRequest& request = f.handler.requests.at(0);
    cr_assert(request.idempotencyKey == "order-1" && !request.isRepeatable);
    cr_assert(request.transaction == TransactionId("vm-1.7") && request.database == DatabaseId("lots"));
}

// Guards against a dropped connection instead of a response that names the exceeded limit and says that nothing ran.
Test(CallerApi, reportsExceededLimit)
{
    ApiFixture f;
    f.exchange->body_ = std::string(1024 * 1024 + 1, 'x');
    const HttpResponse tooLong = f.send(f.exchange);
    cr_assert(tooLong.status == 413);
    cr_assert(f.outcomeOf(tooLong) == "not_run");
    const auto longKey = std::make_shared<FakeExchange>();
    longKey->headers["Idempotency-Key"] = std::string(257, 'k');
    cr_assert(f.send(longKey).status == 400);
    cr_assert(f.handler.requests.empty());
}

// Guards P5: every malformed request must be refused as not run and never reach the router.
Test(CallerApi, refusesMalformedRequestsAsNotRun)
{
    ApiFixture f;
    for (const char* body : { "", "[]", "{\"op\":\"drop\",\"key\":\"k\"}", "{\"op\":\"write\",\"key\":\"k\"}",
             "{\"op\":\"read\"}", "{\"op\":\"read\",\"key\":7}", "{\"op\":\"read\",\"key\":\"k\",\"repeatable\":1}" }) {
        const auto exchange = std::make_shared<FakeExchange>();
        exchange->body_ = body;
        const HttpResponse response = f.send(exchange);
        cr_assert(response.status == 400, "body %s", body);
        cr_assert(f.outcomeOf(response) == "not_run");
    }
    cr_assert(f.handler.requests.empty());
}

// Guards against rejections without a retry delay, and against a delay rounded down to zero.
Test(CallerApi, reportsRetryDelay)
{
    ApiFixture f;
    f.handler.reply.result = CallerError { CallerErrorCode::Overloaded, Outcome::NotRun, "queue", Milliseconds(120) };
    const HttpResponse response = f.send(f.exchange);
    cr_assert(response.status == 429);
    cr_assert(response.header("Retry-After") == "1");
    cr_assert(response.header("Almondlever-Retry-After-Ms") == "120");
}

// Guards against a connection that ends without a response because a caller's bytes are no UTF-8 text.
Test(CallerApi, answersAlthoughTheDetailIsNoText)
{
    ApiFixture f;
    f.handler.reply.result
        = CallerError { CallerErrorCode::UnknownCaller, Outcome::NotRun, "caller '\xff\xc3' is not known", {} };
    const HttpResponse response = f.send(f.exchange);
    cr_assert(response.status == 403);
    cr_assert(f.outcomeOf(response) == "not_run");
}

// Guards against the same for the page that explains a route, whose reason quotes the query.
Test(CallerApi, explainsAlthoughTheReasonIsNoText)
{
    RouteExplanation explanation;
    explanation.reason = "caller '\xff' is not known";
    cr_assert(nlohmann::json::parse(explanationPage(explanation)).at("accepted") == false);
}

// Guards against a message that the daemon of the transaction refuses, whereupon it closes the channel and with it ends
// the requests of other callers.
Test(CallerApi, refusesTransactionThatCannotBeForwarded)
{
    const std::string transaction = "vm-1." + std::string(256, '7');
    for (const bool isInPath : { false, true }) {
        ApiFixture f;
        if (isInPath)
            f.exchange->path_ = "/v1/databases/lots/transactions/" + transaction + "/commit";
        else
            f.exchange->body_ = R"({"op":"read","key":"k","transaction":")" + transaction + "\"}";
        const HttpResponse response = f.send(f.exchange);
        cr_assert(response.status == 400);
        cr_assert(f.outcomeOf(response) == "not_run");
        cr_assert(f.handler.requests.empty());
    }
}

// Guards against the same for a header that callers may set to anything; it must not keep the request from running.
Test(CallerApi, dropsTraceparentThatCannotBeForwarded)
{
    ApiFixture f;
    f.exchange->headers["traceparent"] = std::string(257, 'a');
    cr_assert(f.send(f.exchange).status == 200);
    cr_assert(f.handler.requests.at(0).traceparent.empty());
    f.exchange->headers["traceparent"] = std::string(256, 'a');
    f.exchange->answer.reset();
    cr_assert(f.send(f.exchange).status == 200);
    cr_assert_eq(f.handler.requests.at(1).traceparent.size(), 256U);
}

// Guards against an exception instead of a response when an error quotes bytes that are not UTF-8, such as the name of
// an unknown caller from a header.
Test(CallerApi, reportsErrorsWithBytesThatAreNotUtf8)
{
    ApiFixture f;
    f.handler.reply.result
        = CallerError { CallerErrorCode::UnknownCaller, Outcome::NotRun, "caller 'a\xff\"\r\n' is unknown", {} };
    const HttpResponse response = f.send(f.exchange);
    cr_assert(response.status == 403);
    cr_assert(f.outcomeOf(response) == "not_run");
    const std::string detail = nlohmann::json::parse(response.body).at("detail");
    cr_assert_eq(detail, "caller 'a\xef\xbf\xbd\"\r\n' is unknown");
}
