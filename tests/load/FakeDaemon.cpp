#include "FakeDaemon.h"

#include <nlohmann/json.hpp>

namespace almondlever::load::test {

namespace {

    using Json = nlohmann::json;

    constexpr std::uint64_t faultInterval = 20;

    HttpResponse success(Json body, std::uint64_t index)
    {
        body["outcome"] = "run";
        body["position"] = { 1, index };
        body["from"] = "primary";
        return { 200, { { "Almondlever-Session", "token" } }, body.dump() };
    }

    HttpResponse refusal()
    {
        const Json body { { "title", "overloaded" }, { "outcome", "not_run" } };
        return { 429, { { "Almondlever-Retry-After-Ms", "5" } }, body.dump() };
    }

    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> parts;
        for (std::size_t begin = 1; begin <= path.size();) {
            const std::size_t end = std::min(path.find('/', begin), path.size());
            parts.push_back(path.substr(begin, end - begin));
            begin = end + 1;
        }
        return parts;
    }

} // namespace

FakeDaemon::FakeDaemon(PlantedFault fault)
    : fault_(fault)
    , server_(makeHttpServer(
          context_, HttpServerSettings {}, [this](std::shared_ptr<HttpExchange> exchange) { handle(exchange); }))
    , address_(server_->start().value())
    , thread_([this] { context_.run(); })
{
}

FakeDaemon::~FakeDaemon()
{
    context_.stop();
    thread_.join();
}

void FakeDaemon::handle(const std::shared_ptr<HttpExchange>& exchange)
{
    if (exchange->path() == "/control/log")
        return exchange->respond(describeLog(exchange->query("endpoint")));
    if (exchange->path() == "/control/stats")
        return exchange->respond({ 200, {}, R"({"endpoints":{}})" });
    // /v1/databases/{database}/statements or /v1/databases/{database}/transactions[/{transaction}/commit|rollback]
    const auto path = splitPath(exchange->path());
    const std::string idempotencyKey = exchange->header("Idempotency-Key");
    requestId_ = idempotencyKey.empty() ? std::to_string(++requests_) : "k/" + idempotencyKey;
    HttpResponse response
        = path.at(3) == "statements" ? answerStatement(*exchange, path.at(2)) : answerTransaction(path.at(2), path);
    Json body = Json::parse(response.body);
    body["request_id"] = requestId_;
    response.body = body.dump();
    response.headers.emplace_back("traceparent", exchange->header("traceparent"));
    exchange->respond(response);
}

HttpResponse FakeDaemon::describeLog(const std::string& endpoint)
{
    Json entries = Json::array();
    for (const LogEntry& entry : logs_[endpoint.substr(0, endpoint.rfind('-'))]) {
        entries.push_back({ { "position", { 1, entry.index } }, { "key", entry.key }, { "request_id", entry.requestId },
            { "marker", false } });
    }
    return { 200, {}, Json { { "entries", entries } }.dump() };
}

std::uint64_t FakeDaemon::apply(const std::string& database, const std::string& key, const std::string& value)
{
    databases_[database][key] = value;
    const std::uint64_t index = ++ends_[database];
    logs_[database].push_back({ index, key, requestId_ });
    return index;
}

HttpResponse FakeDaemon::answerStatement(const HttpExchange& exchange, const std::string& database)
{
    const Json body = Json::parse(exchange.body());
    const std::string key = body.at("key");
    const std::string transaction = body.value("transaction", "");
    const bool isWrite = body.at("op") == "write";
    if (transaction.empty())
        return isWrite ? answerWrite(exchange, database, key, body.at("value")) : answerRead(database, key);
    Transaction& open = transactions_[transaction];
    if (isWrite) {
        open.writes.emplace_back(key, body.at("value"));
        return success({}, ends_[database]);
    }
    for (auto write = open.writes.rbegin(); write != open.writes.rend(); ++write) {
        if (write->first == key)
            return success({ { "value", write->second } }, ends_[database]);
    }
    return answerRead(database, key);
}

HttpResponse FakeDaemon::answerWrite(
    const HttpExchange& exchange, const std::string& database, const std::string& key, const std::string& value)
{
    ++writes_;
    const bool isFaulty = writes_ % faultInterval == 0;
    // Refusals bring repeats with the same key; a small share is also refused truthfully.
    if (fault_ == PlantedFault::FalseNotRun && isFaulty) {
        positionsByIdempotencyKey_[exchange.header("Idempotency-Key")] = apply(database, key, value);
        return refusal();
    }
    if (writes_ % faultInterval == 1)
        return refusal();
    const std::string idempotencyKey = exchange.header("Idempotency-Key");
    const bool isDoubling = fault_ == PlantedFault::DoubleWrite;
    const auto known = positionsByIdempotencyKey_.find(idempotencyKey);
    if (!idempotencyKey.empty() && known != positionsByIdempotencyKey_.end() && !isDoubling)
        return success({ { "duplicate", true } }, known->second);
    const bool isLost = fault_ == PlantedFault::LoseWrite && isFaulty;
    const std::uint64_t position = isLost ? ++ends_[database] : apply(database, key, value);
    positionsByIdempotencyKey_[idempotencyKey] = position;
    if (isDoubling && isFaulty && !idempotencyKey.empty())
        return { 504, {}, R"({"title":"not_confirmed","outcome":"unknown"})" };
    return success({}, position);
}

HttpResponse FakeDaemon::answerRead(const std::string& database, const std::string& key)
{
    Values& values = databases_[database];
    const bool isCrossed = fault_ == PlantedFault::CrossAnswer && ++reads_ % faultInterval == 0 && !values.empty();
    const auto found = isCrossed ? values.begin() : values.find(key);
    Json body = Json::object();
    if (found != values.end())
        body["value"] = found->second;
    return success(body, ends_[database]);
}

HttpResponse FakeDaemon::answerTransaction(const std::string& database, const std::vector<std::string>& path)
{
    if (path.size() == 4) {
        const std::string name = "t" + std::to_string(++requests_);
        transactions_[name].database = database;
        return success({ { "transaction", name } }, ends_[database]);
    }
    const Transaction transaction = transactions_[path.at(4)];
    transactions_.erase(path.at(4));
    if (path.at(5) == "commit") {
        for (const auto& [key, value] : transaction.writes) {
            apply(database, key, value);
            if (fault_ == PlantedFault::HalveTransaction)
                break;
        }
    }
    return success({}, ends_[database]);
}

} // namespace almondlever::load::test
