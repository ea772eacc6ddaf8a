#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace almondlever {

/** Names one write or read that waits for confirmation. */
using ConfirmationId = std::uint64_t;

/** A server's report: at the moment of the report its promised term and the end of its log. */
struct PositionReport {
    EndpointId endpoint;
    Term promisedTerm = 0;
    LogPosition logEnd;
    /** When the request that brought this report was sent. */
    TimePoint askedAt;
};

/** How a wait for confirmation ended. */
struct Confirmation {
    enum class Verdict {
        /** A majority has the position under its term. */
        Confirmed,
        /** So many servers promised a later term that no majority can confirm; the position may be lost. */
        Superseded,
        /** The deadline passed. */
        TimedOut,
    };
    ConfirmationId id = 0;
    Verdict verdict = Verdict::Confirmed;
};

/**
 * Decides when a position that the primary reported is held by a majority of its group under the same term.
 *
 * A server counts for a position when it reported promisedTerm equal to the position's term and a log end of the same
 * term at or after the index. The primary's own answer counts as its report. A leadership confirmation counts the
 * servers that reported the term in answers to requests sent at or after the read arrived.
 *
 * @see docs/design.md section 2.2
 */
class CommitTracker {
public:
    CommitTracker(std::vector<EndpointId> group);

    /**
     * Starts to wait for a write at a position that the given primary reported. When the primary of term T answers a
     * repeat with a position of an older term, wait for {T, 0}: a log that ends in T contains that older entry.
     */
    std::vector<Confirmation> awaitPosition(
        ConfirmationId, const EndpointId& primary, LogPosition, TimePoint deadline, TimePoint now);
    /** Starts to wait for a majority that still holds the term, asked at or after since. */
    std::vector<Confirmation> awaitLeadership(
        ConfirmationId, const EndpointId& primary, Term, TimePoint since, TimePoint deadline, TimePoint now);
    /** Takes a report; returns the waits that ended. */
    std::vector<Confirmation> onReport(const PositionReport&, TimePoint now);
    /** Returns the waits whose deadline passed. */
    std::vector<Confirmation> onTick(TimePoint now);

    /** The position that the given endpoint should be asked to wait for; nullopt when nothing waits on it. */
    std::optional<LogPosition> wantedFrom(const EndpointId&) const;
    /** True when a leadership confirmation needs a fresh report of the endpoint. */
    bool needsFreshReport(const EndpointId&) const;
    /** Highest position known to be held by a majority. */
    LogPosition confirmedPosition() const;
    std::size_t waitingCount() const;

private:
    struct Wait {
        bool isLeadership = false;
        EndpointId primary;
        LogPosition position;
        TimePoint since;
        TimePoint deadline;
    };

    std::size_t majority() const { return group_.size() / 2 + 1; }
    void store(const PositionReport&);
    bool counts(const Wait&, const EndpointId&) const;
    bool isPast(Term, const EndpointId&) const;
    void raiseConfirmed();
    std::optional<Confirmation::Verdict> judge(const Wait&, TimePoint now) const;
    std::vector<Confirmation> collect(TimePoint now);

    std::vector<EndpointId> group_;
    std::map<EndpointId, PositionReport> reports_;
    std::map<ConfirmationId, Wait> waits_;
    LogPosition confirmed_;
};

} // namespace almondlever
