#pragma once

#include "almondlever/common/Identifier.h"
#include "almondlever/common/LogPosition.h"
#include "almondlever/common/Time.h"
#include "almondlever/config/Configuration.h"
#include "almondlever/endpoints/EndpointMessages.h"

#include <memory>
#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace almondlever {

/** Which endpoint leads a group in which term. */
struct PrimaryView {
    DatabaseId database;
    Term term = 0;
    EndpointId primary;
};

/** An observer's word that it cannot reach a primary, or that it can again. */
struct SuspicionReport {
    DatabaseId database;
    VmId observer;
    Term term = 0;
    EndpointId primary;
    bool isSuspected = false;
};

/** Times that govern detection and change. */
struct FailoverSettings {
    /** Interval between probes while there is any doubt about the primary. */
    Milliseconds probeInterval { 200 };
    /** Interval while there is none; at least probeInterval. Longer on daemons that observe many groups. */
    Milliseconds calmProbeInterval { 200 };
    Milliseconds probeTimeout { 250 };
    /** Misses in a row that make an observer suspect the primary. */
    int missesToSuspect = 2;
    /** A report of suspicion counts for this long. */
    Milliseconds suspicionLifetime { 2000 };
    /** Delay between observers of consecutive rank before they propose. */
    Milliseconds rankDelay { 150 };
    /** Time-out of each control operation during a change. */
    Milliseconds operationTimeout { 400 };
    /** Longest pause of writes for a planned change before they are resumed. */
    Milliseconds handOverPatience { 1000 };
    /** Time between attempts of a planned change. */
    Milliseconds handOverRetry { 3000 };
};

/** Asks an endpoint for its status; answer with onStatus. */
struct ProbeAction {
    EndpointId endpoint;
};
/**
 * Asks an endpoint to promise a term; answer with onTermReply. The proposer's name that the caller sends must be unique
 * to this coordinator object, since a server repeats its promise to the same proposer.
 */
struct RaiseTermAction {
    EndpointId endpoint;
    Term term = 0;
};
/** Promotes an endpoint; answer with onPromoteReply. */
struct PromoteAction {
    EndpointId endpoint;
    Term term = 0;
};
/** Makes an endpoint follow the primary; answer with onFollowReply. */
struct FollowAction {
    EndpointId endpoint;
    Term term = 0;
    EndpointId primary;
};
/** Sends a report of suspicion to the other observers. */
struct ReportSuspicionAction {
    SuspicionReport report;
};
/** Tells observers and connected peers who leads. */
struct AnnouncePrimaryAction {
    PrimaryView view;
};
/** One decision to be logged. */
struct LogDecisionAction {
    DatabaseId database;
    std::string decision;
    std::string reason;
};

using FailoverAction = std::variant<ProbeAction, RaiseTermAction, PromoteAction, FollowAction, ReportSuspicionAction,
    AnnouncePrimaryAction, LogDecisionAction>;
using FailoverActions = std::vector<FailoverAction>;

/**
 * Watches the primary of one group on behalf of one observing daemon and carries out a primary change.
 *
 * A state machine without input or output: every event returns the actions that the caller carries out. The answers
 * may come late, doubled, in any order, or not at all. Safety rests on the servers' promises of terms alone.
 *
 * @see docs/design.md section 2.3
 */
class FailoverCoordinator {
public:
    virtual ~FailoverCoordinator() = default;

    /** Sets the observers in order of rank, with their failure domains; called again when the placement changes. */
    virtual void setObservers(const std::vector<std::pair<VmId, FailureDomainId>>&) = 0;
    /** Sets the endpoints that are leaving; they are not promoted, and a leaving primary is replaced. */
    virtual void setLeaving(const std::set<EndpointId>&) = 0;

    virtual FailoverActions onTick(TimePoint now) = 0;
    /** Result of a probe, or evidence from a statement that was answered. */
    virtual FailoverActions onStatus(const EndpointId&, const EndpointResult<EndpointStatus>&, TimePoint now) = 0;
    virtual FailoverActions onTermReply(const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now)
        = 0;
    virtual FailoverActions onPromoteReply(
        const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now)
        = 0;
    virtual FailoverActions onFollowReply(const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now)
        = 0;
    virtual FailoverActions onSuspicion(const SuspicionReport&, TimePoint now) = 0;
    /** News of a primary from another daemon; older terms are ignored. */
    virtual FailoverActions onAnnouncement(const PrimaryView&, TimePoint now) = 0;

    /** Evidence from traffic: the primary answered a statement in this term, so no probe is due. */
    virtual void onPrimaryAnswered(const EndpointId&, Term, TimePoint now) = 0;
    /** Evidence from traffic: the primary did not answer; probes it at once and lets the other observers probe it. */
    virtual FailoverActions onPrimaryFailed(const EndpointId&, TimePoint now) = 0;

    /**
     * Writes are paused, none is running, and the primary's log ends at the given position. Called by the daemon that
     * serves the primary after wantsWritesPaused() became true; starts the planned change once a staying server has
     * the whole log.
     */
    virtual FailoverActions onWritesPaused(LogPosition primaryLogEnd, TimePoint now) = 0;

    /** True while the daemon that serves the primary must start no write, because a planned change is prepared. */
    virtual bool wantsWritesPaused() const = 0;
    /** The staying server that the planned change is expected to promote; nullopt when none is prepared. */
    virtual std::optional<EndpointId> handOverTarget() const = 0;

    /** The primary as known; nullopt before it was found or while a change is under way. */
    virtual std::optional<PrimaryView> primary() const = 0;
    /** True while a change of primary is under way or wanted. */
    virtual bool isChanging() const = 0;
};

/** Makes the coordinator for a group; self is the observing daemon. */
std::unique_ptr<FailoverCoordinator> makeFailoverCoordinator(
    const DatabaseDescription&, const VmId& self, const FailoverSettings&, TimePoint now);

} // namespace almondlever
