#include "ReplicationSource.h"

#include "endpoints/HttpEndpointCodec.h"

#include <vector>

namespace almondlever::standin {

namespace {

    constexpr std::size_t maximumBatchEntries = 500;

} // namespace

void ReplicationSource::open(const StandinHttpServer::Connection& connection, const std::string& requestBody)
{
    ReplicationRequest request;
    try {
        request = decodeRequest(requestBody);
    } catch (const nlohmann::json::exception& error) {
        return connection->respond(
            encodeError({ EndpointErrorCode::Rejected, Outcome::NotRun, error.what(), server_.state().promisedTerm }));
    }
    if (!server_.isPrimary() || server_.state().primaryTerm != request.term) {
        return connection->respond(encodeError({ EndpointErrorCode::NotPrimary, Outcome::NotRun,
            "server is not primary of the term", server_.state().promisedTerm }));
    }
    Stream stream;
    stream.term = request.term;
    stream.sentIndex = server_.log().commonIndex(request.termEnds);
    stream.requestedAt = Clock::now();
    connection->startStream();
    // The first batch is sent even when it is empty, since it tells the replica which entries to drop.
    sendBatch(connection, stream, server_.batchAfter(stream.sentIndex, maximumBatchEntries));
    streams_[connection] = stream;
    send();
}

void ReplicationSource::send()
{
    std::vector<StandinHttpServer::Connection> ended;
    for (auto& [connection, stream] : streams_) {
        if (server_.state().primaryTerm != stream.term) {
            ended.push_back(connection);
            continue;
        }
        while (stream.sentIndex < server_.log().end().index)
            sendBatch(connection, stream, server_.batchAfter(stream.sentIndex, maximumBatchEntries));
    }
    for (const auto& connection : ended) {
        remove(connection);
        connection->close();
    }
}

void ReplicationSource::sendHeartbeats()
{
    for (auto& [connection, stream] : streams_) {
        if (server_.state().primaryTerm == stream.term)
            sendBatch(connection, stream, server_.batchAfter(stream.sentIndex, 0));
    }
}

void ReplicationSource::sendBatch(
    const StandinHttpServer::Connection& connection, Stream& stream, const ReplicationBatch& batch)
{
    if (!batch.entries.empty())
        stream.sentIndex = batch.entries.back().position.index;
    const auto since = std::chrono::duration_cast<Microseconds>(Clock::now() - stream.requestedAt);
    connection->sendPart(encodeMessage({ batch, since }) + '\n');
}

} // namespace almondlever::standin
