#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace almondlever {

/** Identifies a write or read that waits for confirmation. */
using ConfirmationId = std::uint64_t;

/** A server's promised term and the end of its log at the time of the report. */
struct PositionReport {
    EndpointId endpoint;
    Term promisedTerm = 0;
    LogPosition logEnd;
    /** Time at which the request for this report was sent. */
    TimePoint requestedAt;
};

/** The outcome of waiting for a confirmation. */
struct Confirmation {
    enum class Verdict {
        /** A majority still promises the term and, for a write, holds the position. */
        Confirmed,
        /** So many servers promised a later term that no majority can confirm any more. The position may be lost. */
        Superseded,
        /** The deadline passed. */
        TimedOut,
    };
    ConfirmationId id = 0;
    Verdict verdict = Verdict::Confirmed;
};

/**
 * Determines when a majority of a group holds a position that the primary reported, under the position's term.
 *
 * A server counts towards the majority if it reported a promisedTerm equal to the position's term and a log end of the
 * same term at or after the position's index. The primary's answer to the write counts as its report. A leadership
 * confirmation, which a read needs, counts the servers that reported the primary's term in answers to requests sent at
 * or after the arrival of the read.
 *
 * @see docs/design.md section 2.2
 */
class CommitTracker {
public:
    CommitTracker(std::vector<EndpointId> group);

    /**
     * Starts to wait for the confirmation of a write at the position that the given primary reported. If the primary of
     * term T answers a repeated write with a position of an older term, wait for {T, 0}: a log that ends in T contains
     * that older entry.
     */
    std::vector<Confirmation> awaitPosition(
        ConfirmationId, const EndpointId& primary, LogPosition, TimePoint deadline, TimePoint now);
    /** Starts to wait until a majority reports the term in answers to requests sent at or after since. */
    std::vector<Confirmation> awaitLeadership(
        ConfirmationId, const EndpointId& primary, Term, TimePoint since, TimePoint deadline, TimePoint now);
    /** Records a report and returns the confirmations that ended. */
    std::vector<Confirmation> onReport(const PositionReport&, TimePoint now);
    /** Returns the confirmations whose deadline has passed. */
    std::vector<Confirmation> onTick(TimePoint now);

    /** Lowest position of a pending write that the endpoint may still confirm and should be asked to wait for; nullopt
     * if no pending write needs its report. */
    std::optional<LogPosition> wantedFrom(const EndpointId&) const;
    /** True if a leadership confirmation needs a new report from the endpoint. */
    bool needsFreshReport(const EndpointId&) const;
    /** Highest position that a majority is known to hold. */
    LogPosition confirmedPosition() const;
    std::size_t waitingCount() const;

private:
    struct PendingConfirmation {
        bool isLeadership = false;
        EndpointId primary;
        LogPosition position;
        TimePoint since;
        TimePoint deadline;
    };

    std::size_t majority() const { return group_.size() / 2 + 1; }
    void recordReport(const PositionReport&);
    bool countsTowardsMajority(const PendingConfirmation&, const EndpointId&) const;
    bool hasPromisedLaterTerm(Term, const EndpointId&) const;
    void updateConfirmedPosition();
    std::optional<Confirmation::Verdict> evaluate(const PendingConfirmation&, TimePoint now) const;
    std::vector<Confirmation> takeEnded(TimePoint now);

    std::vector<EndpointId> group_;
    std::map<EndpointId, PositionReport> reports_;
    std::map<ConfirmationId, PendingConfirmation> pending_;
    LogPosition confirmed_;
};

} // namespace almondlever
