#include "WriteIndex.h"

#include <algorithm>

namespace almondlever::load {

namespace {

    /** The attempts whose effect shows outside: the commits of a transaction, else the write's own. */
    const std::vector<const Operation*>& effectiveAttempts(const WriteRecord& write)
    {
        return write.transaction ? write.transaction->commits : write.attempts;
    }

} // namespace

std::optional<Microseconds> WriteRecord::sentAt() const
{
    std::optional<Microseconds> earliest;
    for (const Operation* attempt : effectiveAttempts(*this)) {
        if (!earliest || attempt->sentAt < *earliest)
            earliest = attempt->sentAt;
    }
    return earliest;
}

std::optional<Microseconds> WriteRecord::acknowledgedAt() const
{
    std::optional<Microseconds> earliest;
    for (const Operation* attempt : effectiveAttempts(*this)) {
        if (attempt->isAcknowledged && (!earliest || attempt->answeredAt < *earliest))
            earliest = attempt->answeredAt;
    }
    return earliest;
}

std::optional<LogPosition> WriteRecord::position() const
{
    for (const Operation* attempt : effectiveAttempts(*this)) {
        if (attempt->isAcknowledged && attempt->position.term > 0)
            return attempt->position;
    }
    return std::nullopt;
}

bool WriteRecord::mayHaveRunBy(Microseconds moment) const
{
    const auto& effective = effectiveAttempts(*this);
    return std::any_of(effective.begin(), effective.end(), [moment](const Operation* attempt) {
        return attempt->sentAt <= moment && attempt->outcome != Outcome::NotRun;
    });
}

const Operation* TransactionRecord::acknowledgedCommit() const
{
    const auto found
        = std::find_if(commits.begin(), commits.end(), [](const Operation* commit) { return commit->isAcknowledged; });
    return found == commits.end() ? nullptr : *found;
}

bool isCertainlyOlder(const WriteRecord& a, const WriteRecord& b)
{
    if (&a == &b)
        return false;
    const auto positionOfA = a.position();
    const auto positionOfB = b.position();
    if (positionOfA && positionOfB)
        return *positionOfA < *positionOfB;
    const auto acknowledged = a.acknowledgedAt();
    const auto sent = b.sentAt();
    return acknowledged && sent && *acknowledged <= *sent;
}

WriteIndex::WriteIndex(const std::vector<Operation>& operations)
{
    for (const Operation& operation : operations)
        add(operation);
    for (auto& [label, transaction] : transactions_) {
        std::map<std::string, const WriteRecord*> lastOfKey;
        for (const Operation* operation : transaction.operations) {
            if (operation->type != OperationType::Write || !operation->isAcknowledged)
                continue;
            ++transaction.acknowledgedStatements;
            lastOfKey[operation->key] = find(*operation->value);
        }
        for (const auto& [key, write] : lastOfKey)
            transaction.writes.push_back(write);
    }
}

const WriteRecord* WriteIndex::find(const std::string& value) const
{
    const auto found = byValue_.find(value);
    return found == byValue_.end() ? nullptr : found->second;
}

const TransactionRecord* WriteIndex::findTransaction(const std::string& label) const
{
    const auto found = transactions_.find(label);
    return found == transactions_.end() ? nullptr : &found->second;
}

void WriteIndex::add(const Operation& operation)
{
    TransactionRecord* transaction = nullptr;
    if (!operation.transaction.empty()) {
        transaction = &transactions_[operation.transaction];
        transaction->label = operation.transaction;
        transaction->database = operation.database;
        transaction->operations.push_back(&operation);
        if (operation.type == OperationType::Commit)
            transaction->commits.push_back(&operation);
    }
    if (operation.type != OperationType::Write || !operation.value)
        return;
    auto& entry = byValue_[*operation.value];
    if (!entry) {
        writes_.push_back({ operation.database, operation.key, *operation.value, {}, transaction });
        entry = &writes_.back();
    }
    entry->attempts.push_back(&operation);
}

} // namespace almondlever::load
