#include "HttpEndpointCodec.h"

#include "almondlever/common/JsonWriter.h"

#include <nlohmann/json.hpp>

namespace almondlever {

namespace {

    using Json = nlohmann::json;

    constexpr unsigned refusedStatus = 409;

    HttpResponse jsonResponse(unsigned status, const Json& body)
    {
        return { status, { { "Content-Type", "application/json" } }, body.dump() };
    }

    EndpointErrorCode errorCodeFromText(const std::string& text)
    {
        for (int code = 0; code <= static_cast<int>(EndpointErrorCode::Rejected); ++code) {
            const auto candidate = static_cast<EndpointErrorCode>(code);
            if (text == toText(candidate))
                return candidate;
        }
        return EndpointErrorCode::Rejected;
    }

    EndpointError fromFailure(const HttpFailure& failure)
    {
        const bool isTimeout = failure.reason == "timed out";
        return { isTimeout ? EndpointErrorCode::TimedOut : EndpointErrorCode::ConnectionLost,
            failure.mayHaveBeenSent ? Outcome::Unknown : Outcome::NotRun, failure.reason, 0 };
    }

    EndpointError fromErrorBody(const Json& body)
    {
        const std::string outcome = body.value("outcome", "unknown");
        return { errorCodeFromText(body.value("error", "rejected")),
            outcome == "not_run" ? Outcome::NotRun : Outcome::Unknown, body.value("detail", ""),
            body.value("term", Term { 0 }) };
    }

    template <typename Value, typename Read> EndpointResult<Value> decode(const HttpResult& result, Read read)
    {
        if (!result)
            return fromFailure(result.error());
        const HttpResponse& response = result.value();
        try {
            const Json body = Json::parse(response.body);
            if (response.status == 200)
                return read(body);
            return fromErrorBody(body);
        } catch (const Json::exception& error) {
            return EndpointError { EndpointErrorCode::Rejected, Outcome::Unknown,
                "answer with status " + std::to_string(response.status) + " cannot be read: " + error.what(), 0 };
        }
    }

} // namespace

std::string encodeStatement(const EndpointStatement& statement)
{
    JsonWriter body;
    body.add("request_id", statement.requestId.text());
    body.add("op", toText(statement.kind));
    body.add("key", statement.key);
    body.add("claim_epoch", statement.claimEpoch);
    body.add("term", statement.term);
    if (statement.kind == OperationKind::Write)
        body.add("value", statement.value);
    if (statement.minimumPosition != LogPosition {})
        body.add("minimum_position", statement.minimumPosition.term, statement.minimumPosition.index);
    if (statement.maximumStaleness)
        body.add("maximum_staleness_ms", static_cast<std::int64_t>(statement.maximumStaleness->count()));
    return body.finish();
}

Result<EndpointStatement, std::string> decodeStatement(const std::string& text)
{
    try {
        const Json body = Json::parse(text);
        EndpointStatement statement;
        statement.requestId = RequestId(body.value("request_id", ""));
        statement.kind = body.value("op", "read") == "write" ? OperationKind::Write : OperationKind::Read;
        statement.key = body.value("key", "");
        statement.value = body.value("value", "");
        statement.claimEpoch = body.value("claim_epoch", std::uint64_t { 0 });
        statement.term = body.value("term", Term { 0 });
        if (body.contains("minimum_position"))
            statement.minimumPosition = { body["minimum_position"].at(0), body["minimum_position"].at(1) };
        if (body.contains("maximum_staleness_ms"))
            statement.maximumStaleness = Milliseconds(body["maximum_staleness_ms"].get<std::int64_t>());
        return statement;
    } catch (const Json::exception& error) {
        return std::string("statement cannot be read: ") + error.what();
    }
}

HttpResponse encodeReply(const EndpointReply& reply)
{
    Json body { { "position", { reply.position.term, reply.position.index } }, { "duplicate", reply.isDuplicate },
        { "role", toText(reply.role) }, { "staleness_ms", reply.staleness.count() } };
    if (reply.value)
        body["value"] = *reply.value;
    return jsonResponse(200, body);
}

HttpResponse encodeStatus(const EndpointStatus& status)
{
    return jsonResponse(200,
        { { "endpoint", status.endpoint.text() }, { "role", toText(status.role) },
            { "promised_term", status.promisedTerm }, { "log_end", { status.logEnd.term, status.logEnd.index } },
            { "following", status.following.text() }, { "claim_epoch", status.claim.epoch },
            { "claim_owner", status.claim.owner.text() }, { "staleness_ms", status.staleness.count() },
            { "open_connections", status.openConnections } });
}

HttpResponse encodeError(const EndpointError& error)
{
    return jsonResponse(refusedStatus,
        { { "error", toText(error.code) }, { "outcome", toText(error.outcome) }, { "detail", error.detail },
            { "term", error.term } });
}

EndpointResult<EndpointReply> decodeReply(const HttpResult& result)
{
    return decode<EndpointReply>(result, [](const Json& body) {
        EndpointReply reply;
        reply.position = { body.at("position").at(0), body.at("position").at(1) };
        if (body.contains("value"))
            reply.value = body["value"].get<std::string>();
        reply.isDuplicate = body.value("duplicate", false);
        reply.role = body.value("role", "replica") == "primary" ? EndpointRole::Primary : EndpointRole::Replica;
        reply.staleness = Milliseconds(body.value("staleness_ms", std::int64_t { 0 }));
        return reply;
    });
}

EndpointResult<EndpointStatus> decodeStatus(const HttpResult& result)
{
    return decode<EndpointStatus>(result, [](const Json& body) {
        EndpointStatus status;
        status.endpoint = EndpointId(body.at("endpoint").get<std::string>());
        status.role = body.value("role", "replica") == "primary" ? EndpointRole::Primary : EndpointRole::Replica;
        status.promisedTerm = body.at("promised_term");
        status.logEnd = { body.at("log_end").at(0), body.at("log_end").at(1) };
        status.following = EndpointId(body.value("following", ""));
        status.claim = { body.value("claim_epoch", std::uint64_t { 0 }), VmId(body.value("claim_owner", "")) };
        status.staleness = Milliseconds(body.value("staleness_ms", std::int64_t { 0 }));
        status.openConnections = body.value("open_connections", std::size_t { 0 });
        return status;
    });
}

} // namespace almondlever
