#include "almondlever/caller_api/CallerApi.h"

#include "ProblemDetails.h"
#include "almondlever/common/JsonWriter.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    constexpr const char* databasePrefix = "/v1/databases/";
    constexpr std::size_t maximumKeyBytes = 1024;
    constexpr std::size_t maximumIdempotencyKeyBytes = 256;
    /** Other daemons refuse a message with a longer id of a transaction or a longer traceparent. */
    constexpr std::size_t maximumForwardedNameBytes = 256;
    /** Larger bodies are answered with 413; the server closes connections only far above this limit, so callers get a
     * response. */
    constexpr std::size_t maximumBodyBytes = 1024 * 1024;

    HttpResponse textResponse(unsigned status, const std::string& type, std::string body)
    {
        return { status, { { "Content-Type", type } }, std::move(body) };
    }

    CallerError badRequest(std::string detail)
    {
        return { CallerErrorCode::BadRequest, Outcome::NotRun, std::move(detail), {} };
    }

    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> parts;
        std::size_t begin = 0;
        while (begin <= path.size()) {
            const std::size_t end = std::min(path.find('/', begin), path.size());
            parts.push_back(path.substr(begin, end - begin));
            begin = end + 1;
        }
        return parts;
    }

    /** Parses the database, request kind and transaction from the path; std::nullopt if the path is unknown. */
    std::optional<CallerRequest> requestFromPath(const std::string& path)
    {
        const auto parts = splitPath(path.substr(std::string(databasePrefix).size()));
        CallerRequest request;
        request.database = DatabaseId(parts[0]);
        if (parts.size() == 2 && parts[1] == "statements")
            return request;
        const bool isTransaction = parts.size() >= 2 && parts[1] == "transactions";
        if (isTransaction && parts.size() == 2) {
            request.kind = ForwardKind::Begin;
            request.operation = OperationKind::Write;
            return request;
        }
        if (!isTransaction || parts.size() != 4 || parts[2].empty())
            return std::nullopt;
        if (parts[3] != "commit" && parts[3] != "rollback")
            return std::nullopt;
        request.kind = parts[3] == "commit" ? ForwardKind::Commit : ForwardKind::Rollback;
        request.operation = OperationKind::Write;
        request.transaction = TransactionId(parts[2]);
        return request;
    }

    /** Parses the headers into the request; the error names the invalid header. */
    std::optional<CallerError> readHeaders(const HttpExchange& exchange, CallerRequest& request)
    {
        request.caller = CallerId(exchange.header("Almondlever-Caller"));
        if (request.caller.isEmpty())
            return badRequest("the header Almondlever-Caller is missing");
        request.sessionToken = exchange.header("Almondlever-Session");
        request.idempotencyKey = exchange.header("Idempotency-Key");
        if (request.idempotencyKey.size() > maximumIdempotencyKeyBytes)
            return badRequest("the header Idempotency-Key is longer than 256 bytes");
        request.traceparent = exchange.header("traceparent");
        if (request.traceparent.size() > maximumForwardedNameBytes)
            request.traceparent.clear();
        const std::string deadline = exchange.header("Almondlever-Deadline-Ms");
        if (deadline.empty())
            return std::nullopt;
        std::int64_t milliseconds = 0;
        const auto parsed = std::from_chars(deadline.data(), deadline.data() + deadline.size(), milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != deadline.data() + deadline.size())
            return badRequest("the header Almondlever-Deadline-Ms is not a whole number of milliseconds");
        request.deadline = Milliseconds(milliseconds);
        return std::nullopt;
    }

    /** Parses a statement from the JSON body; the error describes what is invalid. */
    std::optional<CallerError> readStatement(const std::string& text, CallerRequest& request)
    {
        const Json body = Json::parse(text, nullptr, false);
        if (!body.is_object())
            return badRequest("the body is not a JSON object");
        const auto stringMember = [&](const char* name) {
            const auto found = body.find(name);
            return found != body.end() && found->is_string() ? std::optional<std::string>(found->get<std::string>())
                                                             : std::nullopt;
        };
        const auto operation = stringMember("op");
        if (!operation || (*operation != "read" && *operation != "write"))
            return badRequest("the member 'op' must be \"read\" or \"write\"");
        request.operation = *operation == "read" ? OperationKind::Read : OperationKind::Write;
        const auto key = stringMember("key");
        if (!key || key->empty() || key->size() > maximumKeyBytes)
            return badRequest("the member 'key' must be a text of 1 to 1024 bytes");
        request.key = *key;
        const auto value = stringMember("value");
        if (request.operation == OperationKind::Write && !value)
            return badRequest("a write needs the member 'value', a text");
        request.value = value.value_or("");
        request.transaction = TransactionId(stringMember("transaction").value_or(""));
        const auto repeatable = body.find("repeatable");
        if (repeatable != body.end() && !repeatable->is_boolean())
            return badRequest("the member 'repeatable' must be true or false");
        request.isRepeatable = repeatable == body.end() || repeatable->get<bool>();
        return std::nullopt;
    }

    HttpResponse successResponse(const CallerSuccess& success, const RequestId& requestId)
    {
        JsonWriter body;
        body.add("outcome", "run");
        body.add("request_id", requestId.text());
        if (success.value)
            body.add("value", *success.value);
        if (!success.transaction.isEmpty())
            body.add("transaction", success.transaction.text());
        if (success.isDuplicate)
            body.add("duplicate", true);
        if (success.position.term > 0)
            body.add("position", success.position.term, success.position.index);
        body.add("from", success.isFromReplica ? "replica" : "primary");
        if (success.isFromReplica)
            body.add("staleness_ms", static_cast<std::int64_t>(success.staleness.count()));
        return textResponse(200, "application/json", body.finish());
    }

} // namespace

CallerApi::CallerApi(CallerRequestHandler& handler, CallerApiPages pages)
    : handler_(handler)
    , pages_(std::move(pages))
{
}

void CallerApi::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    const std::string& path = exchange->path();
    if (path.compare(0, std::string(databasePrefix).size(), databasePrefix) == 0)
        return handleDatabaseRequest(exchange);
    if (path == "/healthz")
        return exchange->respond(textResponse(200, "text/plain", "ok\n"));
    if (path == "/readyz")
        return pages_.isReady() ? exchange->respond(textResponse(200, "text/plain", "ready\n"))
                                : exchange->respond(textResponse(503, "text/plain", "not ready\n"));
    if (path == "/metrics")
        return exchange->respond(textResponse(200, "text/plain; version=0.0.4", pages_.metrics()));
    if (path == "/v1/status")
        return exchange->respond(textResponse(200, "application/json", pages_.status()));
    if (path == "/v1/explain") {
        const OperationKind operation = exchange->query("op") == "write" ? OperationKind::Write : OperationKind::Read;
        return exchange->respond(textResponse(200, "application/json",
            pages_.explain(CallerId(exchange->query("caller")), DatabaseId(exchange->query("database")), operation)));
    }
    exchange->respond(problemResponse(badRequest("the path is unknown"), RequestId(), 404));
}

void CallerApi::handleDatabaseRequest(const std::shared_ptr<HttpExchange>& exchange)
{
    if (exchange->method() != "POST")
        return exchange->respond(problemResponse(badRequest("the method must be POST"), RequestId(), 405));
    if (exchange->body().size() > maximumBodyBytes) {
        return exchange->respond(problemResponse(badRequest("the body is longer than 1 MiB"), RequestId(), 413), true);
    }
    auto request = requestFromPath(exchange->path());
    if (!request)
        return exchange->respond(problemResponse(badRequest("the path is unknown"), RequestId(), 404));
    if (const auto error = readHeaders(*exchange, *request))
        return exchange->respond(problemResponse(*error, RequestId()));
    if (request->kind == ForwardKind::Statement) {
        if (const auto error = readStatement(exchange->body(), *request))
            return exchange->respond(problemResponse(*error, RequestId()));
    }
    if (request->transaction.text().size() > maximumForwardedNameBytes)
        return exchange->respond(problemResponse(badRequest("the transaction is longer than 256 bytes"), RequestId()));
    submit(exchange, std::move(*request));
}

void CallerApi::submit(const std::shared_ptr<HttpExchange>& exchange, CallerRequest request)
{
    const std::string traceparent = request.traceparent;
    handler_.handle(std::move(request), Clock::now(), [exchange, traceparent](const CallerReply& reply) {
        HttpResponse response;
        if (const auto* success = std::get_if<CallerSuccess>(&reply.result))
            response = successResponse(*success, reply.requestId);
        else
            response = problemResponse(std::get<CallerError>(reply.result), reply.requestId);
        if (!reply.sessionToken.empty())
            response.headers.emplace_back("Almondlever-Session", reply.sessionToken);
        if (!traceparent.empty())
            response.headers.emplace_back("traceparent", traceparent);
        exchange->respond(response);
    });
}

} // namespace almondlever
