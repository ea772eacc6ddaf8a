#pragma once

#include "DatabaseServer.h"

#include <nlohmann/json.hpp>

namespace almondlever::standin {

/** JSON of log entries and batches, used between the servers and in journal files. Reading throws Json::exception. */
nlohmann::json encodePosition(LogPosition);
LogPosition decodePosition(const nlohmann::json&);
nlohmann::json encodeEntry(const LogEntry&);
LogEntry decodeEntry(const nlohmann::json&);

/** First request of a replica on a replication stream. */
struct ReplicationRequest {
    Term term = 0;
    EndpointId follower;
    std::vector<LogPosition> termEnds;
};
std::string encodeRequest(const ReplicationRequest&);
ReplicationRequest decodeRequest(const std::string&);

/** One message of a replication stream. */
struct ReplicationMessage {
    ReplicationBatch batch;
    /** Time between the primary's receipt of the request and this message, by which the replica dates the batch. */
    Microseconds sinceRequest { 0 };
};
/** One line of JSON without the line end. */
std::string encodeMessage(const ReplicationMessage&);
ReplicationMessage decodeMessage(const std::string&);

} // namespace almondlever::standin
