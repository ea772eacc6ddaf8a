#pragma once

#include "Operation.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondlever::load {

struct TransactionRecord;

/** All attempts to write one value. */
struct WriteRecord {
    std::string database;
    std::string key;
    std::string value;
    std::vector<const Operation*> attempts;
    /** Set for a write inside a transaction. */
    const TransactionRecord* transaction = nullptr;

    /** First moment at which the write was under way outside its transaction; none when it was not sent or not
     * committed. */
    std::optional<Microseconds> sentAt() const;
    /** Moment by which the write had certainly taken effect; none when it was never acknowledged. */
    std::optional<Microseconds> acknowledgedAt() const;
    /** Position told with the acknowledgement; the commit's for a write inside a transaction. */
    std::optional<LogPosition> position() const;
    /** True when some attempt sent by then may have taken effect outside its transaction. */
    bool mayHaveRunBy(Microseconds) const;
    const Operation& firstOperation() const { return *attempts.front(); }
};

/** The operations of one transaction. */
struct TransactionRecord {
    std::string label;
    std::string database;
    std::vector<const Operation*> operations;
    std::vector<const Operation*> commits;
    /** Writes whose statement was acknowledged; only the last one of each key, in the order of sending. */
    std::vector<const WriteRecord*> writes;
    /** Statements acknowledged as writes, including those overwritten by a later one. */
    std::size_t acknowledgedStatements = 0;

    /** The acknowledged commit, or null. */
    const Operation* acknowledgedCommit() const;
};

/** True when write a certainly took effect before write b, given that both did. */
bool isCertainlyOlder(const WriteRecord& a, const WriteRecord& b);

/** Finds the writes and transactions of a history by value and label. */
class WriteIndex {
public:
    /** The operations must outlive the index. */
    explicit WriteIndex(const std::vector<Operation>&);
    WriteIndex(const WriteIndex&) = delete;
    WriteIndex& operator=(const WriteIndex&) = delete;

    /** The write of a value, or null when no operation wrote it. */
    const WriteRecord* find(const std::string& value) const;
    const TransactionRecord* findTransaction(const std::string& label) const;
    const std::deque<WriteRecord>& writes() const { return writes_; }
    const std::map<std::string, TransactionRecord>& transactions() const { return transactions_; }

private:
    void add(const Operation&);

    std::deque<WriteRecord> writes_;
    std::unordered_map<std::string, WriteRecord*> byValue_;
    std::map<std::string, TransactionRecord> transactions_;
};

} // namespace almondlever::load
