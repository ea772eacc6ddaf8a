#include "HistoryFile.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace almondlever::load {

namespace {

    using Json = nlohmann::json;

    Json encode(LogPosition position) { return { position.term, position.index }; }

    LogPosition decodePosition(const Json& json) { return { json.at(0).get<Term>(), json.at(1).get<std::uint64_t>() }; }

    OperationType typeFromText(const std::string& text)
    {
        for (const OperationType type : { OperationType::Read, OperationType::Write, OperationType::Begin,
                 OperationType::Commit, OperationType::Rollback, OperationType::FinalRead }) {
            if (text == toText(type))
                return type;
        }
        throw std::invalid_argument("unknown type '" + text + "'");
    }

    Outcome outcomeFromText(const std::string& text)
    {
        for (const Outcome outcome : { Outcome::NotRun, Outcome::Run, Outcome::Unknown }) {
            if (text == toText(outcome))
                return outcome;
        }
        throw std::invalid_argument("unknown outcome '" + text + "'");
    }

    Operation decodeOperation(const Json& json)
    {
        Operation operation;
        operation.number = json.at("number");
        operation.firstAttempt = json.at("first_attempt");
        operation.caller = json.at("caller");
        operation.session = json.at("session");
        operation.rank = json.at("rank");
        operation.phase = json.at("phase");
        operation.database = json.at("database");
        operation.daemon = json.at("daemon");
        operation.type = typeFromText(json.at("type"));
        operation.key = json.value("key", "");
        if (json.contains("value"))
            operation.value = json["value"].get<std::string>();
        operation.idempotencyKey = json.value("idempotency_key", "");
        operation.transaction = json.value("transaction", "");
        operation.sentAt = Microseconds(json.at("sent_us").get<std::int64_t>());
        operation.answeredAt = Microseconds(json.at("answered_us").get<std::int64_t>());
        operation.isAcknowledged = json.at("acknowledged");
        operation.outcome = outcomeFromText(json.at("outcome"));
        operation.status = json.at("status");
        operation.problem = json.value("problem", "");
        if (json.contains("position"))
            operation.position = decodePosition(json["position"]);
        operation.isFromReplica = json.value("from", "") == "replica";
        operation.isDuplicate = json.value("duplicate", false);
        operation.requestId = json.value("request_id", "");
        operation.isTokenSent = json.at("token_sent");
        operation.readsOwnWrites = json.at("reads_own_writes");
        operation.hasMatchingTrace = json.at("trace_matches");
        operation.retryAfter = Milliseconds(json.value("retry_after_ms", std::int64_t { 0 }));
        return operation;
    }

    LogDump decodeLog(const Json& json)
    {
        LogDump log { json.at("database"), json.at("endpoint"), {} };
        for (const Json& entry : json.at("entries"))
            log.entries.push_back(
                { decodePosition(entry.at("position")), entry.at("key"), entry.at("request_id"), entry.at("marker") });
        return log;
    }

    void decodeLine(const std::string& line, History& history)
    {
        const Json json = Json::parse(line);
        const std::string record = json.at("record");
        if (record == "operation")
            history.operations.push_back(decodeOperation(json));
        else if (record == "log")
            history.logs.push_back(decodeLog(json));
        else if (record == "fault")
            history.faults.push_back({ json.at("description"), Microseconds(json.at("at_us").get<std::int64_t>()),
                json.at("database"), json.at("error") });
        else
            throw std::invalid_argument("unknown record '" + record + "'");
    }

} // namespace

const char* toText(OperationType type)
{
    switch (type) {
    case OperationType::Read:
        return "read";
    case OperationType::Write:
        return "write";
    case OperationType::Begin:
        return "begin";
    case OperationType::Commit:
        return "commit";
    case OperationType::Rollback:
        return "rollback";
    case OperationType::FinalRead:
        break;
    }
    return "final_read";
}

HistoryWriter::HistoryWriter(const std::string& path)
    : isUsed_(!path.empty())
{
    if (isUsed_)
        file_.open(path, std::ios::binary | std::ios::trunc);
}

void HistoryWriter::write(const Operation& operation)
{
    if (!isUsed_)
        return;
    Json json { { "record", "operation" }, { "number", operation.number }, { "first_attempt", operation.firstAttempt },
        { "caller", operation.caller }, { "session", operation.session }, { "rank", operation.rank },
        { "phase", operation.phase }, { "database", operation.database }, { "daemon", operation.daemon },
        { "type", toText(operation.type) }, { "sent_us", operation.sentAt.count() },
        { "answered_us", operation.answeredAt.count() }, { "acknowledged", operation.isAcknowledged },
        { "outcome", toText(operation.outcome) }, { "status", operation.status },
        { "token_sent", operation.isTokenSent }, { "reads_own_writes", operation.readsOwnWrites },
        { "trace_matches", operation.hasMatchingTrace } };
    const auto addText = [&json](const char* name, const std::string& text) {
        if (!text.empty())
            json[name] = text;
    };
    addText("key", operation.key);
    addText("idempotency_key", operation.idempotencyKey);
    addText("transaction", operation.transaction);
    addText("problem", operation.problem);
    addText("request_id", operation.requestId);
    if (operation.value)
        json["value"] = *operation.value;
    if (operation.position.term > 0)
        json["position"] = encode(operation.position);
    if (operation.isAcknowledged)
        json["from"] = operation.isFromReplica ? "replica" : "primary";
    if (operation.isDuplicate)
        json["duplicate"] = true;
    if (operation.retryAfter.count() > 0)
        json["retry_after_ms"] = operation.retryAfter.count();
    writeLine(json.dump());
}

void HistoryWriter::write(const LogDump& log)
{
    if (!isUsed_)
        return;
    Json entries = Json::array();
    for (const LoggedEntry& entry : log.entries) {
        entries.push_back({ { "position", encode(entry.position) }, { "key", entry.key },
            { "request_id", entry.requestId }, { "marker", entry.isMarker } });
    }
    const Json json { { "record", "log" }, { "database", log.database }, { "endpoint", log.endpoint },
        { "entries", entries } };
    writeLine(json.dump());
}

void HistoryWriter::write(const FaultRecord& fault)
{
    if (!isUsed_)
        return;
    const Json json { { "record", "fault" }, { "description", fault.description }, { "at_us", fault.at.count() },
        { "database", fault.database }, { "error", fault.error } };
    writeLine(json.dump());
}

bool HistoryWriter::isGood() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return !isUsed_ || file_.good();
}

void HistoryWriter::writeLine(const std::string& line)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    file_ << line << '\n';
}

Result<History, Findings> readHistory(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return Findings { { path, 0, 0, "the file cannot be read", "name a history that almondlever-load wrote" } };
    History history;
    Findings findings;
    std::string line;
    for (int number = 1; std::getline(file, line); ++number) {
        try {
            decodeLine(line, history);
        } catch (const std::exception& error) {
            findings.push_back({ path, number, 0, error.what(), "each line is one JSON object of a known record" });
        }
    }
    if (!findings.empty())
        return findings;
    return history;
}

} // namespace almondlever::load
