#pragma once

#include "Operation.h"
#include "WriteIndex.h"

#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondlever::load {

/** Promise that a history breaks. */
enum class ViolationKind {
    /** An acknowledged write is missing at the end. */
    LostWrite,
    /** A write took effect twice. */
    DoubledWrite,
    /** A session read something older than it had written or read. */
    StaleRead,
    /** An answer belongs to another request. */
    CrossedAnswer,
    /** A request that was answered `not_run` took effect. */
    FalseNotRun,
    /** Writes of a transaction are visible without the others, or without a commit. */
    TransactionPartlyVisible,
    /** Statements of another request took effect inside a transaction, or it did not read its own writes. */
    TransactionMixed,
    /** Two acknowledged writes share a position. */
    PositionConflict,
    /** A write was acknowledged under a term after a later term had acknowledged. */
    SupersededPrimary,
    /** A write was acknowledged at an earlier position than a write that had ended before it began. */
    PositionWentBack,
};

/** Stable text used in reports, for example "lost_write". */
const char* toText(ViolationKind);

/** One broken promise, with the operations that show it. */
struct Violation {
    ViolationKind kind;
    std::string detail;
    std::vector<std::uint64_t> operations;
};

/** What was checked, so that a report without violations can be judged. */
struct CheckCounts {
    std::size_t acknowledgedWrites = 0;
    std::size_t committedTransactions = 0;
    std::size_t sessionReads = 0;
    /** Keys of writes that were not merely refused; each should be read back. */
    std::size_t keysWritten = 0;
    std::size_t keysReadBack = 0;
    std::size_t logsCompared = 0;
    std::size_t logEntriesCompared = 0;
};

struct CheckResult {
    std::vector<Violation> violations;
    CheckCounts counts;
};

/**
 * Checks the promises of docs/design.md section 1.1 over a history. Pure: needs no clock, file or network.
 *
 * Every written value must be unique in the history. A claim is made only where the order of two writes is certain:
 * both positions are known, or one was acknowledged before the other was sent. Each session runs one request at a time.
 *
 * @see WriteIndex
 */
class HistoryChecker {
public:
    explicit HistoryChecker(const History&);

    CheckResult check();

private:
    using KeyName = std::pair<std::string, std::string>;

    void report(ViolationKind, std::string detail, std::vector<std::uint64_t> operations);

    void checkRepeats();
    void checkPositions();
    void checkOrderInTime();
    void checkRequestIds();
    void checkReadValues();
    void checkReadValue(const Operation&, const WriteRecord&);
    void checkSessions();
    void checkFinalState();
    void checkTransactionsAtEnd(const std::map<KeyName, const Operation*>& finalReads);
    void checkLogs();
    void checkLog(const LogDump&);
    void checkLoggedRequest(const std::string& requestId, const LogDump&, const std::vector<std::size_t>& places);
    void checkAcknowledgedInLog(const LogDump&, const std::map<std::string, std::vector<std::size_t>>& places);

    const History& history_;
    WriteIndex writes_;
    /** First operation answered with each request id. */
    std::unordered_map<std::string, const Operation*> byRequestId_;
    CheckResult result_;
};

} // namespace almondlever::load
