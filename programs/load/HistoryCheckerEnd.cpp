// The part of HistoryChecker that compares sessions, the values read back at the end, and the servers' logs.
#include "HistoryChecker.h"
#include "SessionChecker.h"

#include <algorithm>
#include <set>
#include <sstream>
#include <unordered_map>

namespace almondlever::load {

namespace {

    std::string describe(LogPosition position)
    {
        std::ostringstream text;
        text << position;
        return text.str();
    }

    /** Places of each request id in a log. */
    std::map<std::string, std::vector<std::size_t>> findRequests(const LogDump& log)
    {
        std::map<std::string, std::vector<std::size_t>> places;
        for (std::size_t place = 0; place < log.entries.size(); ++place) {
            const LoggedEntry& entry = log.entries[place];
            if (!entry.isMarker && !entry.requestId.empty())
                places[entry.requestId].push_back(place);
        }
        return places;
    }

} // namespace

void HistoryChecker::checkSessions()
{
    std::unordered_map<std::string, std::vector<const Operation*>> sessions;
    for (const Operation& operation : history_.operations) {
        if (operation.type != OperationType::FinalRead)
            sessions[operation.session].push_back(&operation);
    }
    for (auto& [name, operations] : sessions) {
        std::sort(operations.begin(), operations.end(),
            [](const Operation* a, const Operation* b) { return a->number < b->number; });
        SessionChecker session(
            writes_, [this](ViolationKind kind, std::string detail, std::vector<std::uint64_t> numbers) {
                report(kind, std::move(detail), std::move(numbers));
            });
        for (const Operation* operation : operations) {
            if (operation->type == OperationType::Read && operation->isAcknowledged)
                ++result_.counts.sessionReads;
            session.follow(*operation);
        }
    }
}

void HistoryChecker::checkFinalState()
{
    std::map<KeyName, const Operation*> finalReads;
    for (const Operation& operation : history_.operations) {
        if (operation.type == OperationType::FinalRead && operation.isAcknowledged)
            finalReads[{ operation.database, operation.key }] = &operation;
    }
    std::set<KeyName> keys;
    for (const WriteRecord& write : writes_.writes()) {
        const bool isOnlyRefused = std::all_of(write.attempts.begin(), write.attempts.end(),
            [](const Operation* attempt) { return attempt->outcome == Outcome::NotRun; });
        if (!isOnlyRefused)
            keys.insert({ write.database, write.key });
        const auto read = finalReads.find({ write.database, write.key });
        const auto acknowledged = write.acknowledgedAt();
        if (read == finalReads.end() || !acknowledged || *acknowledged > read->second->sentAt)
            continue;
        // Only the last write of a key in a transaction remains visible.
        const bool isOverwritten = write.transaction
            && std::find(write.transaction->writes.begin(), write.transaction->writes.end(), &write)
                == write.transaction->writes.end();
        if (isOverwritten)
            continue;
        const auto& value = read->second->value;
        const WriteRecord* found = value ? writes_.find(*value) : nullptr;
        const bool isLost = !value || (found && found->key == write.key && isCertainlyOlder(*found, write));
        if (isLost)
            report(ViolationKind::LostWrite,
                "acknowledged write of '" + write.value + "' is missing at the end; '" + write.key + "' holds "
                    + (value ? "'" + *value + "'" : "nothing"),
                { write.firstOperation().number, read->second->number });
    }
    result_.counts.keysWritten = keys.size();
    result_.counts.keysReadBack = finalReads.size();
    checkTransactionsAtEnd(finalReads);
}

void HistoryChecker::checkTransactionsAtEnd(const std::map<KeyName, const Operation*>& finalReads)
{
    for (const auto& [label, transaction] : writes_.transactions()) {
        std::vector<const Operation*> showing;
        std::vector<const Operation*> missing;
        for (const WriteRecord* write : transaction.writes) {
            const auto read = finalReads.find({ write->database, write->key });
            if (read == finalReads.end())
                continue;
            const auto& value = read->second->value;
            const WriteRecord* found = value ? writes_.find(*value) : nullptr;
            if (found == write)
                showing.push_back(read->second);
            else if (!value || (found && found->key == write->key && isCertainlyOlder(*found, *write)))
                missing.push_back(read->second);
        }
        if (!showing.empty() && !missing.empty())
            report(ViolationKind::TransactionPartlyVisible,
                "at the end '" + showing.front()->key + "' shows transaction " + label + " and '" + missing.front()->key
                    + "' does not",
                { showing.front()->number, missing.front()->number });
    }
}

void HistoryChecker::checkLogs()
{
    // The server with the longest log of the latest term holds every acknowledged entry.
    std::map<std::string, const LogDump*> longest;
    for (const LogDump& log : history_.logs) {
        if (log.entries.empty())
            continue;
        const LogDump*& best = longest[log.database];
        if (!best || best->entries.back().position < log.entries.back().position)
            best = &log;
    }
    for (const auto& [database, log] : longest)
        checkLog(*log);
}

void HistoryChecker::checkLog(const LogDump& log)
{
    ++result_.counts.logsCompared;
    result_.counts.logEntriesCompared += log.entries.size();
    const auto requests = findRequests(log);
    for (const auto& [requestId, places] : requests)
        checkLoggedRequest(requestId, log, places);

    // An attempt without an answer has no request id; the number of the first attempt tells which request it repeated.
    std::set<std::uint64_t> unanswered;
    for (const Operation& operation : history_.operations) {
        if (operation.requestId.empty() && operation.outcome != Outcome::NotRun)
            unanswered.insert(operation.firstAttempt);
    }
    std::unordered_map<std::string, bool> mayHaveRun;
    std::unordered_map<std::string, std::uint64_t> numbers;
    for (const Operation& operation : history_.operations) {
        if (operation.requestId.empty() || operation.database != log.database)
            continue;
        bool& may = mayHaveRun[operation.requestId];
        may = may || operation.outcome != Outcome::NotRun || unanswered.count(operation.firstAttempt) > 0;
        numbers[operation.requestId] = operation.number;
    }
    for (const auto& [requestId, may] : mayHaveRun) {
        if (!may && requests.count(requestId) > 0)
            report(ViolationKind::FalseNotRun,
                "request " + requestId + " was answered with not_run and is in the log of " + log.endpoint,
                { numbers[requestId] });
    }
    checkAcknowledgedInLog(log, requests);
}

void HistoryChecker::checkLoggedRequest(
    const std::string& requestId, const LogDump& log, const std::vector<std::size_t>& places)
{
    const bool isBlock = places.back() - places.front() + 1 == places.size();
    if (isBlock && places.size() == 1)
        return;
    const auto holder = byRequestId_.find(requestId);
    const Operation* operation = holder == byRequestId_.end() ? nullptr : holder->second;
    const TransactionRecord* transaction = operation ? writes_.findTransaction(operation->transaction) : nullptr;
    const std::string where = describe(log.entries[places.front()].position) + " and "
        + describe(log.entries[places.back()].position) + " in the log of " + log.endpoint;
    std::vector<std::uint64_t> numbers;
    if (operation)
        numbers.push_back(operation->number);
    if (!isBlock) {
        const bool isTwice = !transaction || places.size() > transaction->acknowledgedStatements;
        return report(isTwice ? ViolationKind::DoubledWrite : ViolationKind::TransactionMixed,
            "request " + requestId + " has entries apart from each other, at " + where, numbers);
    }
    const bool isKnownWrite = operation && !transaction;
    const bool isTwice
        = transaction && places.size() > transaction->acknowledgedStatements && transaction->acknowledgedStatements > 0;
    if (isKnownWrite || isTwice)
        report(ViolationKind::DoubledWrite, "request " + requestId + " has too many entries, at " + where, numbers);
}

void HistoryChecker::checkAcknowledgedInLog(
    const LogDump& log, const std::map<std::string, std::vector<std::size_t>>& places)
{
    for (const Operation& operation : history_.operations) {
        const bool isPlaced = operation.type == OperationType::Commit
            || (operation.type == OperationType::Write && operation.transaction.empty());
        if (!isPlaced || !operation.isAcknowledged || operation.requestId.empty() || operation.database != log.database)
            continue;
        const TransactionRecord* transaction = writes_.findTransaction(operation.transaction);
        const std::size_t expected = transaction ? transaction->acknowledgedStatements : 1;
        const auto found = places.find(operation.requestId);
        const std::size_t actual = found == places.end() ? 0 : found->second.size();
        if (expected > 0 && actual == 0)
            report(ViolationKind::LostWrite,
                "acknowledged request " + operation.requestId + " is not in the log of " + log.endpoint,
                { operation.number });
        else if (actual > 0 && actual < expected)
            report(ViolationKind::TransactionPartlyVisible,
                "log of " + log.endpoint + " holds only a part of transaction " + operation.transaction,
                { operation.number });
        else if (actual > 0 && log.entries[found->second.back()].position != operation.position)
            report(ViolationKind::DoubledWrite,
                "request " + operation.requestId + " was acknowledged at " + describe(operation.position)
                    + " and is in the log at " + describe(log.entries[found->second.back()].position),
                { operation.number });
    }
}

} // namespace almondlever::load
