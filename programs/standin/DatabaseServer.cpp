#include "DatabaseServer.h"

#include <algorithm>
#include <cassert>

namespace almondlever::standin {

namespace {

    /** Reported by a replica that was never level with its primary since it started. */
    constexpr Milliseconds unknownStaleness = std::chrono::hours(24);

} // namespace

DatabaseServer::DatabaseServer(EndpointId id, Journal* journal)
    : id_(std::move(id))
    , journal_(journal)
{
}

void DatabaseServer::restore(DurableState state, std::vector<LogEntry> entries)
{
    assert(log_.entries().empty());
    state_ = std::move(state);
    for (LogEntry& entry : entries)
        log_.append(std::move(entry));
}

DatabaseServer::Checked DatabaseServer::raiseTerm(Term term, const VmId& proposer)
{
    if (proposer.isEmpty())
        return refuse(EndpointErrorCode::Rejected, "proposer is missing");
    if (term == state_.promisedTerm && proposer == state_.proposer)
        return Done {};
    if (term <= state_.promisedTerm)
        return refuse(EndpointErrorCode::TermRefused, "term is promised to '" + state_.proposer.text() + "' or older");
    state_.promisedTerm = term;
    state_.proposer = proposer;
    state_.primaryTerm = 0;
    state_.following = {};
    state_.followingAddress.clear();
    recordState();
    return Done {};
}

DatabaseServer::Checked DatabaseServer::promote(Term term)
{
    if (term == 0 || term != state_.promisedTerm)
        return refuse(EndpointErrorCode::TermRefused, "term is not the promised one");
    // A term has one primary; a server that follows it in this term must not become a second one.
    if (!state_.following.isEmpty())
        return refuse(EndpointErrorCode::TermRefused, "server follows '" + state_.following.text() + "' in this term");
    if (state_.primaryTerm == term)
        return Done {};
    state_.primaryTerm = term;
    levelAsOf_.reset();
    LogEntry marker;
    marker.position = { term, log_.end().index + 1 };
    marker.isMarker = true;
    // The marker is recorded first: a crash between the two records leaves a replica that can be promoted again.
    if (log_.end().term != term)
        append({ marker });
    recordState();
    return Done {};
}

DatabaseServer::Checked DatabaseServer::follow(Term term, const EndpointId& primary, const std::string& address)
{
    if (term == 0 || term < state_.promisedTerm)
        return refuse(EndpointErrorCode::TermRefused, "a later term is promised");
    if (primary.isEmpty() || primary == id_)
        return refuse(EndpointErrorCode::Rejected, "primary is missing or the server itself");
    if (state_.primaryTerm == term)
        return refuse(EndpointErrorCode::TermRefused, "server is primary of this term");
    if (term > state_.promisedTerm)
        state_.proposer = {};
    state_.promisedTerm = term;
    state_.primaryTerm = 0;
    state_.following = primary;
    state_.followingAddress = address;
    recordState();
    return Done {};
}

DatabaseServer::Checked DatabaseServer::claim(std::uint64_t expectedEpoch, const VmId& owner)
{
    if (expectedEpoch != state_.claim.epoch)
        return refuse(EndpointErrorCode::ClaimLost, "claim epoch is " + std::to_string(state_.claim.epoch));
    state_.claim = { expectedEpoch + 1, owner };
    recordState();
    return Done {};
}

DatabaseServer::Checked DatabaseServer::check(
    const EndpointStatement& statement, const Transaction* transaction, TimePoint now) const
{
    // An open transaction may go on after its claim was released; a claim taken by force closes its connection.
    if (Checked claimed = checkClaim(statement); !claimed && !transaction)
        return claimed;
    if (statement.key.empty())
        return refuse(EndpointErrorCode::Rejected, "key is missing");
    if (statement.kind == OperationKind::Write && statement.requestId.isEmpty())
        return refuse(EndpointErrorCode::Rejected, "request id of a write is missing");
    if (transaction) {
        if (Checked primary = checkPrimary(transaction->term); !primary)
            return primary;
    }
    if (statement.kind == OperationKind::Write)
        return checkPrimary(statement.term);
    if (log_.end() < statement.minimumPosition)
        return refuse(EndpointErrorCode::Behind, "log has not reached the minimum position");
    if (statement.maximumStaleness && staleness(now) > *statement.maximumStaleness)
        return refuse(EndpointErrorCode::TooStale, "replica was last level longer ago than allowed");
    return Done {};
}

EndpointResult<EndpointReply> DatabaseServer::execute(
    const EndpointStatement& statement, Transaction* transaction, TimePoint now)
{
    if (const Checked allowed = check(statement, transaction, now); !allowed)
        return allowed.error();
    ++statementsRun_;
    if (statement.kind == OperationKind::Read)
        return readReply(statement, transaction, now);
    if (transaction) {
        transaction->writes.push_back(statement);
        EndpointReply reply = emptyReply(now);
        reply.position = {};
        return reply;
    }
    if (const auto known = log_.resultOf(statement.requestId))
        return duplicateReply(*known, now);
    LogEntry entry;
    entry.position = { state_.primaryTerm, log_.end().index + 1 };
    entry.key = statement.key;
    entry.value = statement.value;
    entry.requestId = statement.requestId;
    append({ std::move(entry) });
    ++writesByTerm_[state_.primaryTerm];
    return emptyReply(now);
}

DatabaseServer::Checked DatabaseServer::checkBegin(const EndpointStatement& header) const
{
    if (Checked claimed = checkClaim(header); !claimed)
        return claimed;
    return checkPrimary(header.term);
}

EndpointResult<EndpointReply> DatabaseServer::commit(
    const EndpointStatement& header, const Transaction* transaction, TimePoint now)
{
    if (const Checked claimed = checkClaim(header); !claimed && !transaction)
        return claimed.error();
    if (const Checked primary = checkPrimary(header.term); !primary)
        return primary.error();
    if (const auto known = log_.resultOf(header.requestId))
        return duplicateReply(*known, now);
    if (!transaction)
        return refuse(EndpointErrorCode::TransactionLost, "no transaction is open on this connection");
    if (transaction->term != header.term)
        return refuse(EndpointErrorCode::NotPrimary, "transaction began in another term");
    if (!transaction->writes.empty() && header.requestId.isEmpty())
        return refuse(EndpointErrorCode::Rejected, "request id of the commit is missing");
    ++statementsRun_;
    if (transaction->writes.empty())
        return emptyReply(now);
    std::vector<LogEntry> entries;
    auto remaining = static_cast<std::uint32_t>(transaction->writes.size());
    std::uint64_t index = log_.end().index;
    for (const EndpointStatement& write : transaction->writes) {
        LogEntry entry;
        entry.position = { state_.primaryTerm, ++index };
        entry.key = write.key;
        entry.value = write.value;
        entry.requestId = header.requestId;
        entry.remaining = --remaining;
        entries.push_back(std::move(entry));
    }
    append(std::move(entries));
    ++writesByTerm_[state_.primaryTerm];
    return emptyReply(now);
}

EndpointReply DatabaseServer::emptyReply(TimePoint now) const
{
    EndpointReply reply;
    reply.position = log_.end();
    reply.role = isPrimary() ? EndpointRole::Primary : EndpointRole::Replica;
    reply.staleness = staleness(now);
    return reply;
}

ReplicationBatch DatabaseServer::batchAfter(std::uint64_t index, std::size_t maximumEntries) const
{
    const std::vector<LogEntry>& entries = log_.entries();
    assert(index <= entries.size());
    ReplicationBatch batch;
    batch.term = state_.primaryTerm;
    batch.logEnd = log_.end();
    if (index > 0)
        batch.previous = entries[index - 1].position;
    std::size_t last = std::min(entries.size(), static_cast<std::size_t>(index) + maximumEntries);
    while (last > index && last < entries.size() && entries[last - 1].remaining > 0)
        ++last;
    batch.entries.assign(
        entries.begin() + static_cast<std::ptrdiff_t>(index), entries.begin() + static_cast<std::ptrdiff_t>(last));
    return batch;
}

DatabaseServer::Checked DatabaseServer::applyBatch(const ReplicationBatch& batch, TimePoint asOf)
{
    if (batch.term != state_.promisedTerm || state_.following.isEmpty())
        return refuse(EndpointErrorCode::TermRefused, "batch is not from the followed primary of the promised term");
    const std::uint64_t kept = batch.previous.index;
    if (kept > log_.entries().size())
        return refuse(EndpointErrorCode::Behind, "batch does not continue the log");
    if (kept > 0 && log_.entries()[kept - 1].position != batch.previous)
        return refuse(EndpointErrorCode::Behind, "entry before the batch differs");
    if (kept < log_.entries().size()) {
        log_.truncate(kept);
        levelAsOf_.reset();
        if (journal_)
            journal_->recordTruncation(kept);
    }
    append(batch.entries);
    if (log_.end() == batch.logEnd)
        levelAsOf_ = levelAsOf_ ? std::max(*levelAsOf_, asOf) : asOf;
    return Done {};
}

EndpointStatus DatabaseServer::status(TimePoint now, std::size_t openConnections) const
{
    EndpointStatus status;
    status.endpoint = id_;
    status.role = isPrimary() ? EndpointRole::Primary : EndpointRole::Replica;
    status.promisedTerm = state_.promisedTerm;
    status.logEnd = log_.end();
    status.following = state_.following;
    status.claim = state_.claim;
    status.staleness = staleness(now);
    status.openConnections = openConnections;
    return status;
}

EndpointError DatabaseServer::refuse(EndpointErrorCode code, std::string detail) const
{
    return { code, Outcome::NotRun, std::move(detail), state_.promisedTerm };
}

DatabaseServer::Checked DatabaseServer::checkClaim(const EndpointStatement& statement) const
{
    if (statement.claimEpoch == state_.claim.epoch)
        return Done {};
    return refuse(EndpointErrorCode::ClaimLost,
        "claim epoch is " + std::to_string(state_.claim.epoch) + ", held by '" + state_.claim.owner.text() + "'");
}

DatabaseServer::Checked DatabaseServer::checkPrimary(Term term) const
{
    if (isPrimary() && term == state_.primaryTerm)
        return Done {};
    return refuse(EndpointErrorCode::NotPrimary, "server is not primary of term " + std::to_string(term));
}

Milliseconds DatabaseServer::staleness(TimePoint now) const
{
    if (isPrimary())
        return Milliseconds(0);
    if (!levelAsOf_)
        return unknownStaleness;
    return std::chrono::ceil<Milliseconds>(std::max(now - *levelAsOf_, Duration::zero()));
}

EndpointReply DatabaseServer::readReply(
    const EndpointStatement& statement, const Transaction* transaction, TimePoint now) const
{
    EndpointReply reply = emptyReply(now);
    if (transaction) {
        const auto own = std::find_if(transaction->writes.rbegin(), transaction->writes.rend(),
            [&statement](const EndpointStatement& write) { return write.key == statement.key; });
        if (own != transaction->writes.rend()) {
            reply.value = own->value;
            return reply;
        }
    }
    if (const std::string* value = log_.find(statement.key))
        reply.value = *value;
    return reply;
}

EndpointReply DatabaseServer::duplicateReply(LogPosition position, TimePoint now) const
{
    EndpointReply reply = emptyReply(now);
    reply.position = position;
    reply.isDuplicate = true;
    return reply;
}

void DatabaseServer::append(std::vector<LogEntry> entries)
{
    if (entries.empty())
        return;
    if (journal_)
        journal_->recordEntries(entries);
    for (LogEntry& entry : entries)
        log_.append(std::move(entry));
}

void DatabaseServer::recordState()
{
    if (journal_)
        journal_->recordState(state_);
}

} // namespace almondlever::standin
