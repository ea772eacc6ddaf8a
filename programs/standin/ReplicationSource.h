#pragma once

#include "ReplicationCodec.h"
#include "StandinHttpServer.h"

#include <map>

namespace almondlever::standin {

/** The primary's side of replication: one stream of batches to each replica that asked for one. */
class ReplicationSource {
public:
    explicit ReplicationSource(const DatabaseServer& server)
        : server_(server)
    {
    }

    /** Answers a replica's request with a stream, or refuses when this server is not primary of the term. */
    void open(const StandinHttpServer::Connection&, const std::string& requestBody);
    /** Sends what the replicas do not have; ends streams of terms in which this server is not primary any more. */
    void send();
    /** Sends the log end to all replicas, by which they date their data. */
    void sendHeartbeats();
    void remove(const StandinHttpServer::Connection& connection) { streams_.erase(connection); }

private:
    struct Stream {
        Term term = 0;
        std::uint64_t sentIndex = 0;
        TimePoint requestedAt;
    };

    void sendBatch(const StandinHttpServer::Connection&, Stream&, const ReplicationBatch&);

    const DatabaseServer& server_;
    /** By connection and not by its number, which is unique only within one of the two listening servers. */
    std::map<StandinHttpServer::Connection, Stream> streams_;
};

} // namespace almondlever::standin
