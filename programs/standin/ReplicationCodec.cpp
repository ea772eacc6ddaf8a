#include "ReplicationCodec.h"

namespace almondlever::standin {

using Json = nlohmann::json;

Json encodePosition(LogPosition position) { return Json::array({ position.term, position.index }); }

LogPosition decodePosition(const Json& body) { return { body.at(0).get<Term>(), body.at(1).get<std::uint64_t>() }; }

Json encodeEntry(const LogEntry& entry)
{
    return Json::array({ entry.position.term, entry.position.index, entry.isMarker, entry.key, entry.value,
        entry.requestId.text(), entry.remaining });
}

LogEntry decodeEntry(const Json& body)
{
    LogEntry entry;
    entry.position = decodePosition(body);
    entry.isMarker = body.at(2);
    entry.key = body.at(3);
    entry.value = body.at(4);
    entry.requestId = RequestId(body.at(5).get<std::string>());
    entry.remaining = body.at(6);
    return entry;
}

std::string encodeRequest(const ReplicationRequest& request)
{
    Json ends = Json::array();
    for (const LogPosition& position : request.termEnds)
        ends.push_back(encodePosition(position));
    return Json { { "term", request.term }, { "follower", request.follower.text() }, { "term_ends", ends } }.dump();
}

ReplicationRequest decodeRequest(const std::string& text)
{
    const Json body = Json::parse(text);
    ReplicationRequest request;
    request.term = body.at("term");
    request.follower = EndpointId(body.at("follower").get<std::string>());
    for (const Json& position : body.at("term_ends"))
        request.termEnds.push_back(decodePosition(position));
    return request;
}

std::string encodeMessage(const ReplicationMessage& message)
{
    Json entries = Json::array();
    for (const LogEntry& entry : message.batch.entries)
        entries.push_back(encodeEntry(entry));
    return Json {
        { "term", message.batch.term }, { "previous", encodePosition(message.batch.previous) }, { "entries", entries },
        { "log_end", encodePosition(message.batch.logEnd) }, { "since_request_us", message.sinceRequest.count() }
    }.dump();
}

ReplicationMessage decodeMessage(const std::string& text)
{
    const Json body = Json::parse(text);
    ReplicationMessage message;
    message.batch.term = body.at("term");
    message.batch.previous = decodePosition(body.at("previous"));
    for (const Json& entry : body.at("entries"))
        message.batch.entries.push_back(decodeEntry(entry));
    message.batch.logEnd = decodePosition(body.at("log_end"));
    message.sinceRequest = Microseconds(body.at("since_request_us").get<std::int64_t>());
    return message;
}

} // namespace almondlever::standin
