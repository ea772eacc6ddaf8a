#include "StatementSender.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace almondlever::load {

namespace {

    using Json = nlohmann::json;

    /** Time beyond the deadline for a late answer to arrive, so that it is recorded as late and not as missing. */
    constexpr Milliseconds lateAnswerTime { 1000 };
    /** A daemon that refused a connection is left out for this long, as a load balancer's health check would do. */
    constexpr Milliseconds avoidTime { 1000 };

    void readSuccess(const Json& body, Operation& operation, AnswerDetails& details)
    {
        operation.isAcknowledged = true;
        operation.outcome = Outcome::Run;
        operation.requestId = body.value("request_id", "");
        const bool isRead = operation.type == OperationType::Read || operation.type == OperationType::FinalRead;
        if (isRead && body.contains("value"))
            operation.value = body["value"].get<std::string>();
        if (body.contains("position"))
            operation.position = { body["position"].at(0).get<Term>(), body["position"].at(1).get<std::uint64_t>() };
        operation.isFromReplica = body.value("from", "") == "replica";
        operation.isDuplicate = body.value("duplicate", false);
        details.transactionId = body.value("transaction", "");
    }

    void readProblem(const Json& body, Operation& operation)
    {
        operation.problem = body.value("title", "");
        operation.requestId = body.value("request_id", "");
        const std::string outcome = body.value("outcome", "");
        operation.outcome = outcome == toText(Outcome::NotRun) ? Outcome::NotRun
            : outcome == toText(Outcome::Run)                  ? Outcome::Run
                                                               : Outcome::Unknown;
    }

    void readResponse(const HttpResponse& response, Operation& operation, AnswerDetails& details)
    {
        constexpr unsigned statusOk = 200;
        operation.status = response.status;
        try {
            const Json body = Json::parse(response.body);
            if (response.status == statusOk)
                readSuccess(body, operation, details);
            else
                readProblem(body, operation);
        } catch (const Json::exception&) {
            operation.isAcknowledged = false;
            operation.outcome = Outcome::Unknown;
            operation.problem = "malformed answer";
        }
        details.sessionToken = response.header("Almondlever-Session");
        operation.retryAfter = Milliseconds(std::atoll(response.header("Almondlever-Retry-After-Ms").c_str()));
        if (operation.retryAfter.count() <= 0)
            operation.retryAfter = std::chrono::seconds(std::atoll(response.header("Retry-After").c_str()));
    }

    std::string targetOf(const Operation& operation, const std::string& transactionId)
    {
        const std::string database = "/v1/databases/" + operation.database;
        switch (operation.type) {
        case OperationType::Begin:
            return database + "/transactions";
        case OperationType::Commit:
            return database + "/transactions/" + transactionId + "/commit";
        case OperationType::Rollback:
            return database + "/transactions/" + transactionId + "/rollback";
        case OperationType::Read:
        case OperationType::Write:
        case OperationType::FinalRead:
            break;
        }
        return database + "/statements";
    }

    bool isStatement(OperationType type)
    {
        return type == OperationType::Read || type == OperationType::Write || type == OperationType::FinalRead;
    }

    std::string bodyOf(const Operation& operation, const std::string& transactionId)
    {
        if (!isStatement(operation.type))
            return "";
        const bool isWrite = operation.type == OperationType::Write;
        Json body { { "op", isWrite ? "write" : "read" }, { "key", operation.key } };
        if (isWrite)
            body["value"] = operation.value.value_or("");
        if (!transactionId.empty())
            body["transaction"] = transactionId;
        return body.dump();
    }

} // namespace

struct StatementSender::Sending {
    OutgoingOperation outgoing;
    Callback callback;
    std::string traceparent;
};

StatementSender::StatementSender(asio::io_context& context, RunContext& run)
    : run_(run)
    , client_(context)
    , timers_(context)
    , avoidUntil_(run.daemons.size())
{
}

void StatementSender::send(OutgoingOperation outgoing, Callback callback)
{
    auto sending = std::make_shared<Sending>();
    Operation& operation = outgoing.operation;
    operation.number = run_.nextNumber++;
    if (operation.firstAttempt == 0)
        operation.firstAttempt = operation.number;
    if (operation.sentAt.count() == 0)
        operation.sentAt = run_.sinceStart(timers_.now());
    operation.isTokenSent = !outgoing.sessionToken.empty();
    const HttpAddress& address = run_.daemons[outgoing.daemon];
    operation.daemon = fmt::format("{}:{}", address.host, address.port);
    sending->traceparent = fmt::format("00-{:032x}-{:016x}-01", operation.number, operation.number);
    sending->outgoing = std::move(outgoing);
    sending->callback = std::move(callback);
    if (run_.clientLatency.count() == 0)
        return transmit(sending);
    timers_.callAfter(run_.clientLatency, [this, sending](TimePoint) { transmit(sending); });
}

std::size_t StatementSender::chooseDaemon(std::size_t previous, std::uint64_t random) const
{
    const TimePoint now = timers_.now();
    const std::size_t count = run_.daemons.size();
    const std::size_t begin = random % count;
    std::size_t choice = begin;
    for (std::size_t step = 0; step < count; ++step) {
        const std::size_t candidate = (begin + step) % count;
        if (avoidUntil_[candidate] > now)
            continue;
        choice = candidate;
        if (candidate != previous)
            break;
    }
    return choice;
}

void StatementSender::transmit(const std::shared_ptr<Sending>& sending)
{
    const HttpAddress& address = run_.daemons[sending->outgoing.daemon];
    client_.request(address, makeRequest(*sending), sending->outgoing.deadline + lateAnswerTime,
        [this, sending](const HttpResult& result) {
            if (run_.clientLatency.count() == 0)
                return finish(sending, result);
            timers_.callAfter(run_.clientLatency, [this, sending, result](TimePoint) { finish(sending, result); });
        });
}

void StatementSender::finish(const std::shared_ptr<Sending>& sending, const HttpResult& result)
{
    Operation& operation = sending->outgoing.operation;
    AnswerDetails details;
    if (result) {
        const HttpResponse& response = result.value();
        readResponse(response, operation, details);
        const std::string trace = response.header("traceparent");
        operation.hasMatchingTrace = trace.empty() || trace == sending->traceparent;
    } else {
        const HttpFailure& failure = result.error();
        operation.outcome = failure.mayHaveBeenSent ? Outcome::Unknown : Outcome::NotRun;
        operation.problem = failure.reason;
        if (!failure.mayHaveBeenSent)
            avoidUntil_[sending->outgoing.daemon] = timers_.now() + avoidTime;
    }
    operation.answeredAt = run_.sinceStart(timers_.now());
    run_.history.write(operation);
    operations_.push_back(operation);
    sending->callback(operation, details);
}

HttpRequest StatementSender::makeRequest(const Sending& sending)
{
    const OutgoingOperation& outgoing = sending.outgoing;
    const Operation& operation = outgoing.operation;
    HttpRequest request { "POST", targetOf(operation, outgoing.transactionId), {},
        bodyOf(operation, outgoing.transactionId) };
    request.headers = { { "Almondlever-Caller", operation.caller }, { "Content-Type", "application/json" },
        { "Almondlever-Deadline-Ms", std::to_string(outgoing.deadline.count()) },
        { "traceparent", sending.traceparent } };
    if (!outgoing.sessionToken.empty())
        request.headers.emplace_back("Almondlever-Session", outgoing.sessionToken);
    if (!operation.idempotencyKey.empty())
        request.headers.emplace_back("Idempotency-Key", operation.idempotencyKey);
    return request;
}

} // namespace almondlever::load
