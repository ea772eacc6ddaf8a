#include "HistoryChecker.h"

#include <algorithm>
#include <sstream>

namespace almondlever::load {

namespace {

    std::string describe(LogPosition position)
    {
        std::ostringstream text;
        text << position;
        return text.str();
    }

    /** True for an operation whose acknowledgement tells the position of an own log entry. */
    bool isPlacedInLog(const Operation& operation)
    {
        const bool isWrite = operation.type == OperationType::Write && operation.transaction.empty();
        return (isWrite || operation.type == OperationType::Commit) && operation.isAcknowledged
            && operation.position.term > 0;
    }

} // namespace

const char* toText(ViolationKind kind)
{
    switch (kind) {
    case ViolationKind::LostWrite:
        return "lost_write";
    case ViolationKind::DoubledWrite:
        return "doubled_write";
    case ViolationKind::StaleRead:
        return "stale_read";
    case ViolationKind::CrossedAnswer:
        return "crossed_answer";
    case ViolationKind::FalseNotRun:
        return "false_not_run";
    case ViolationKind::TransactionPartlyVisible:
        return "transaction_partly_visible";
    case ViolationKind::TransactionMixed:
        return "transaction_mixed";
    case ViolationKind::PositionConflict:
        return "position_conflict";
    case ViolationKind::SupersededPrimary:
        return "superseded_primary";
    case ViolationKind::PositionWentBack:
        break;
    }
    return "position_went_back";
}

HistoryChecker::HistoryChecker(const History& history)
    : history_(history)
    , writes_(history.operations)
{
}

CheckResult HistoryChecker::check()
{
    result_ = {};
    byRequestId_.clear();
    checkRepeats();
    checkPositions();
    checkOrderInTime();
    checkRequestIds();
    checkReadValues();
    checkSessions();
    checkFinalState();
    checkLogs();
    return std::move(result_);
}

void HistoryChecker::report(ViolationKind kind, std::string detail, std::vector<std::uint64_t> operations)
{
    result_.violations.push_back({ kind, std::move(detail), std::move(operations) });
}

void HistoryChecker::checkRepeats()
{
    for (const WriteRecord& write : writes_.writes()) {
        if (write.transaction)
            continue;
        const Operation* first = nullptr;
        std::vector<const Operation*> attempts = write.attempts;
        std::sort(attempts.begin(), attempts.end(),
            [](const Operation* a, const Operation* b) { return a->number < b->number; });
        bool mayEarlierHaveRun = false;
        for (const Operation* attempt : attempts) {
            if (attempt->isAcknowledged && attempt->isDuplicate && !mayEarlierHaveRun)
                report(ViolationKind::FalseNotRun,
                    "write of '" + write.value + "' is called a duplicate though every earlier attempt was not run",
                    { attempts.front()->number, attempt->number });
            mayEarlierHaveRun = mayEarlierHaveRun || attempt->outcome != Outcome::NotRun;
            if (!attempt->isAcknowledged || attempt->position.term == 0)
                continue;
            if (first && first->position != attempt->position)
                report(ViolationKind::DoubledWrite,
                    "write of '" + write.value + "' was acknowledged at " + describe(first->position) + " and at "
                        + describe(attempt->position),
                    { first->number, attempt->number });
            if (!first)
                first = attempt;
        }
    }
}

void HistoryChecker::checkPositions()
{
    std::map<std::pair<std::string, LogPosition>, const Operation*> holders;
    std::map<std::pair<std::string, std::string>, const Operation*> byIdempotencyKey;
    for (const Operation& operation : history_.operations) {
        if (!isPlacedInLog(operation))
            continue;
        ++(operation.type == OperationType::Commit ? result_.counts.committedTransactions
                                                   : result_.counts.acknowledgedWrites);
        // A commit without writes has no entry of its own and tells the end of the log.
        const TransactionRecord* transaction = writes_.findTransaction(operation.transaction);
        if (transaction && transaction->acknowledgedStatements == 0)
            continue;
        // The entries of a transaction end at the position told with its commit.
        const std::uint64_t entries = transaction ? transaction->acknowledgedStatements : 1;
        for (std::uint64_t back = 0; back < std::min(entries, operation.position.index); ++back) {
            const LogPosition position { operation.position.term, operation.position.index - back };
            const auto [holder, isNew] = holders.emplace(std::make_pair(operation.database, position), &operation);
            const Operation& other = *holder->second;
            const bool isSameWrite = operation.type == OperationType::Commit
                ? operation.transaction == other.transaction
                : other.type == OperationType::Write && operation.value == other.value;
            if (!isNew && !isSameWrite)
                report(ViolationKind::PositionConflict,
                    "two writes to " + operation.database + " were acknowledged at " + describe(position),
                    { other.number, operation.number });
        }
        if (operation.idempotencyKey.empty())
            continue;
        const auto [keyed, isFirst]
            = byIdempotencyKey.emplace(std::make_pair(operation.caller, operation.idempotencyKey), &operation);
        if (!isFirst && keyed->second->position != operation.position && keyed->second->value != operation.value)
            report(ViolationKind::DoubledWrite,
                "idempotency key '" + operation.idempotencyKey + "' was acknowledged at two positions",
                { keyed->second->number, operation.number });
    }
}

void HistoryChecker::checkOrderInTime()
{
    std::map<std::string, std::vector<const Operation*>> byDatabase;
    for (const Operation& operation : history_.operations) {
        if (isPlacedInLog(operation))
            byDatabase[operation.database].push_back(&operation);
    }
    for (auto& [database, answered] : byDatabase) {
        std::vector<const Operation*> sent = answered;
        std::sort(answered.begin(), answered.end(),
            [](const Operation* a, const Operation* b) { return a->answeredAt < b->answeredAt; });
        std::sort(
            sent.begin(), sent.end(), [](const Operation* a, const Operation* b) { return a->sentAt < b->sentAt; });
        const Operation* latest = nullptr;
        std::size_t next = 0;
        for (const Operation* operation : sent) {
            for (; next < answered.size() && answered[next]->answeredAt <= operation->sentAt; ++next) {
                if (!latest || answered[next]->position > latest->position)
                    latest = answered[next];
            }
            // A duplicate tells the position of its first run, which may lie far back.
            const bool isOlder = latest && operation->position < latest->position;
            if (!isOlder || operation->isDuplicate)
                continue;
            const bool isEarlierTerm = operation->position.term < latest->position.term;
            report(isEarlierTerm ? ViolationKind::SupersededPrimary : ViolationKind::PositionWentBack,
                "write to " + database + " sent after " + describe(latest->position)
                    + " had been acknowledged was acknowledged at " + describe(operation->position),
                { latest->number, operation->number });
        }
    }
}

void HistoryChecker::checkRequestIds()
{
    for (const Operation& operation : history_.operations) {
        if (!operation.hasMatchingTrace)
            report(ViolationKind::CrossedAnswer, "an answer carried the traceparent of another request",
                { operation.number });
        if (operation.requestId.empty())
            continue;
        const auto [holder, isNew] = byRequestId_.emplace(operation.requestId, &operation);
        const Operation& other = *holder->second;
        const bool isRepeat = !operation.idempotencyKey.empty() && operation.idempotencyKey == other.idempotencyKey
            && operation.caller == other.caller;
        if (!isNew && !isRepeat)
            report(ViolationKind::CrossedAnswer,
                "two requests were answered with the request id " + operation.requestId,
                { other.number, operation.number });
    }
}

void HistoryChecker::checkReadValues()
{
    for (const Operation& operation : history_.operations) {
        const bool isRead = operation.type == OperationType::Read || operation.type == OperationType::FinalRead;
        if (!isRead || !operation.isAcknowledged || !operation.value)
            continue;
        const WriteRecord* write = writes_.find(*operation.value);
        if (!write)
            report(ViolationKind::CrossedAnswer,
                "read of '" + operation.key + "' returned '" + *operation.value + "', which nobody wrote",
                { operation.number });
        else
            checkReadValue(operation, *write);
    }
}

void HistoryChecker::checkReadValue(const Operation& read, const WriteRecord& write)
{
    const std::vector<std::uint64_t> operations { write.firstOperation().number, read.number };
    if (write.key != read.key || write.database != read.database) {
        return report(ViolationKind::CrossedAnswer,
            "read of '" + read.key + "' in " + read.database + " returned '" + write.value + "', written to '"
                + write.key + "' in " + write.database,
            operations);
    }
    const bool isOwnTransaction = write.transaction && write.transaction->label == read.transaction;
    if (isOwnTransaction || write.mayHaveRunBy(read.answeredAt))
        return;
    if (write.transaction) {
        // A commit that was answered with not_run is a false answer; a commit that was never sent leaked its writes.
        const bool isCommitSent = write.sentAt() && *write.sentAt() <= read.answeredAt;
        return report(isCommitSent ? ViolationKind::FalseNotRun : ViolationKind::TransactionPartlyVisible,
            "'" + write.value + "' was read though its transaction had not been committed", operations);
    }
    report(write.firstOperation().sentAt <= read.answeredAt ? ViolationKind::FalseNotRun : ViolationKind::CrossedAnswer,
        "'" + write.value + "' was read though each attempt to write it by then was answered with not_run", operations);
}

} // namespace almondlever::load
