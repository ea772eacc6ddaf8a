#include "SessionChecker.h"

#include <algorithm>
#include <sstream>

namespace almondlever::load {

SessionChecker::SessionChecker(const WriteIndex& writes, Report report)
    : writes_(writes)
    , report_(std::move(report))
{
}

void SessionChecker::follow(const Operation& operation)
{
    if (!operation.isTokenSent)
        forgetToken();
    if (!operation.isAcknowledged)
        return;
    const bool isInTransaction = !operation.transaction.empty();
    switch (operation.type) {
    case OperationType::Read:
        return isInTransaction ? followReadInTransaction(operation) : followRead(operation);
    case OperationType::Write:
        if (isInTransaction)
            ownInTransaction_[{ operation.transaction, operation.key }] = &operation;
        else if (const WriteRecord* write = writes_.find(*operation.value))
            see(*write, true);
        break;
    case OperationType::Commit:
        if (const TransactionRecord* transaction = writes_.findTransaction(operation.transaction)) {
            for (const WriteRecord* write : transaction->writes)
                addSeen({ write, true, true, false });
        }
        break;
    case OperationType::Begin:
    case OperationType::Rollback:
    case OperationType::FinalRead:
        return;
    }
    if (!isInTransaction || operation.type == OperationType::Commit)
        positions_[operation.database] = std::max(positions_[operation.database], operation.position);
}

void SessionChecker::forgetToken()
{
    positions_.clear();
    for (auto& [key, list] : seen_) {
        for (SeenWrite& seen : list)
            seen.isCarried = false;
    }
}

void SessionChecker::followRead(const Operation& read)
{
    const LogPosition known = positions_[read.database];
    if (read.isTokenSent && read.position.term > 0 && read.position < known) {
        std::ostringstream detail;
        detail << "read of '" << read.key << "' at " << read.position << " after the session had seen " << known;
        report_(ViolationKind::StaleRead, detail.str(), { read.number });
    }
    const WriteRecord* found = read.value ? writes_.find(*read.value) : nullptr;
    const bool isCrossed = read.value && (!found || found->key != read.key || found->database != read.database);
    if (isCrossed)
        return;
    for (const SeenWrite& seen : seen_[{ read.database, read.key }]) {
        const bool isPromised = seen.isCarried || (read.readsOwnWrites && seen.isOwn);
        if (isPromised)
            compare(read, found, seen);
    }
    if (found)
        see(*found, false);
    positions_[read.database] = std::max(known, read.position);
}

void SessionChecker::followReadInTransaction(const Operation& read)
{
    const auto own = ownInTransaction_.find({ read.transaction, read.key });
    const bool isOther = own != ownInTransaction_.end() && own->second->value != read.value;
    if (isOther)
        report_(ViolationKind::TransactionMixed,
            "read of '" + read.key + "' inside a transaction did not return the transaction's own write",
            { own->second->number, read.number });
}

void SessionChecker::compare(const Operation& read, const WriteRecord* found, const SeenWrite& seen)
{
    const bool isOlder = !found || isCertainlyOlder(*found, *seen.write);
    if (!isOlder)
        return;
    const std::string value = found ? "'" + found->value + "'" : "nothing";
    report_(seen.isImplied ? ViolationKind::TransactionPartlyVisible : ViolationKind::StaleRead,
        "read of '" + read.key + "' returned " + value + " after the session had "
            + (seen.isImplied    ? "seen another write of the transaction of '"
                    : seen.isOwn ? "written '"
                                 : "read '")
            + seen.write->value + "'",
        { seen.write->firstOperation().number, read.number });
}

void SessionChecker::see(const WriteRecord& write, bool isOwn)
{
    addSeen({ &write, isOwn, true, false });
    if (!write.transaction)
        return;
    for (const WriteRecord* other : write.transaction->writes) {
        if (other != &write)
            addSeen({ other, false, true, true });
    }
}

void SessionChecker::addSeen(const SeenWrite& added)
{
    auto& list = seen_[{ added.write->database, added.write->key }];
    const auto isCovered = [&added](const SeenWrite& seen) {
        const bool isSame = seen.write == added.write;
        // An own write stays beside a newer foreign one: it alone binds reads without a token.
        const bool isWeaker = added.isOwn || !seen.isOwn;
        return isWeaker && (isSame || isCertainlyOlder(*seen.write, *added.write));
    };
    const bool isKnown = std::any_of(list.begin(), list.end(), [&added](const SeenWrite& seen) {
        return seen.write == added.write && seen.isCarried && (seen.isOwn || !added.isOwn)
            && (!seen.isImplied || added.isImplied);
    });
    if (isKnown)
        return;
    list.erase(std::remove_if(list.begin(), list.end(), isCovered), list.end());
    list.push_back(added);
}

} // namespace almondlever::load
