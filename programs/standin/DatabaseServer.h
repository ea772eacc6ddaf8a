#pragma once

#include "DatabaseLog.h"
#include "almondlever/endpoints/EndpointMessages.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::standin {

/** What a server must find again after a crash, apart from its log entries. */
struct DurableState {
    Term promisedTerm = 0;
    /** Proposer of the promised term; empty when the promise was made by following. */
    VmId proposer;
    /** Term in which the server is primary; zero on a replica. */
    Term primaryTerm = 0;
    /** Primary that a replica follows in the promised term; empty when it follows none. */
    EndpointId following;
    std::string followingAddress;
    EndpointClaim claim;
};

/** Receives each durable change before the server answers the request that made it. */
class Journal {
public:
    virtual ~Journal() = default;
    virtual void recordState(const DurableState&) = 0;
    /** Records entries that are appended together. */
    virtual void recordEntries(const std::vector<LogEntry>&) = 0;
    virtual void recordTruncation(std::uint64_t lastIndex) = 0;
};

/** Entries that a primary sends to a replica. */
struct ReplicationBatch {
    Term term = 0;
    /** Entry of the primary's log before the first one sent; the replica must have it as its last entry kept. */
    LogPosition previous;
    std::vector<LogEntry> entries;
    /** End of the primary's log when the batch was made. */
    LogPosition logEnd;
};

/** Writes of an open transaction, applied at commit. Belongs to a connection. */
struct Transaction {
    Term term = 0;
    std::vector<EndpointStatement> writes;
};

/**
 * The rules of one database server: promised term, claim, log, reads, writes and replication. No networking, no clock.
 *
 * @see docs/ENDPOINT_CONTRACT.md
 */
class DatabaseServer {
public:
    using Checked = EndpointResult<Done>;

    /** The journal may be null; then nothing outlives the object. */
    explicit DatabaseServer(EndpointId, Journal* journal = nullptr);

    /** Takes over the state and entries read from a journal. Called before any other operation. */
    void restore(DurableState, std::vector<LogEntry>);

    /** Promises a term to one proposer; TermRefused when a later one or the same to another proposer was promised. */
    Checked raiseTerm(Term, const VmId& proposer);
    /** Becomes primary of the promised term and appends its marker entry. */
    Checked promote(Term);
    /** Follows a primary of a term that is not older than the promised one. */
    Checked follow(Term, const EndpointId& primary, const std::string& address);
    /** Compare-and-set of the claim; ClaimLost when the epoch is not the expected one. */
    Checked claim(std::uint64_t expectedEpoch, const VmId& owner);

    /** Whether a statement may run now; tested before it takes a slot. The transaction may be null. */
    Checked check(const EndpointStatement&, const Transaction*, TimePoint now) const;
    /** Runs a statement; repeats the checks, since the state may have changed while it waited. */
    EndpointResult<EndpointReply> execute(const EndpointStatement&, Transaction*, TimePoint now);
    /** Whether a transaction may begin under the header's claim and term. */
    Checked checkBegin(const EndpointStatement& header) const;
    /** Applies the writes of a transaction, all or none. A known request id gives the first result. */
    EndpointResult<EndpointReply> commit(const EndpointStatement& header, const Transaction*, TimePoint now);
    /** Reply that reports the state without running anything. */
    EndpointReply emptyReply(TimePoint now) const;

    /** Entries after an index, at least one whole transaction and about the given number at most. */
    ReplicationBatch batchAfter(std::uint64_t index, std::size_t maximumEntries) const;
    /**
     * Takes entries from the followed primary. Entries after batch.previous that differ are dropped.
     *
     * @param asOf moment at which the primary made the batch or earlier; the replica was level then if it now has
     *        the whole log
     */
    Checked applyBatch(const ReplicationBatch&, TimePoint asOf);

    EndpointStatus status(TimePoint now, std::size_t openConnections) const;
    const DatabaseLog& log() const { return log_; }
    const DurableState& state() const { return state_; }
    bool isPrimary() const { return state_.primaryTerm != 0; }
    /** Writes and commits accepted as primary, by term. */
    const std::map<Term, std::uint64_t>& writesByTerm() const { return writesByTerm_; }
    std::uint64_t statementsRun() const { return statementsRun_; }

private:
    EndpointError refuse(EndpointErrorCode, std::string detail) const;
    Checked checkClaim(const EndpointStatement&) const;
    Checked checkPrimary(Term) const;
    Milliseconds staleness(TimePoint now) const;
    EndpointReply readReply(const EndpointStatement&, const Transaction*, TimePoint now) const;
    EndpointReply duplicateReply(LogPosition, TimePoint now) const;
    void append(std::vector<LogEntry>);
    void recordState();

    EndpointId id_;
    Journal* journal_;
    DurableState state_;
    DatabaseLog log_;
    std::optional<TimePoint> levelAsOf_;
    std::map<Term, std::uint64_t> writesByTerm_;
    std::uint64_t statementsRun_ = 0;
};

} // namespace almondlever::standin
