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

/** The primary of a group and the term in which it was promoted. */
struct PrimaryView {
    DatabaseId database;
    Term term = 0;
    EndpointId primary;
};

/** An observer's report that it suspects the primary of a term, or no longer does. */
struct SuspicionReport {
    DatabaseId database;
    VmId observer;
    Term term = 0;
    EndpointId primary;
    bool isSuspected = false;
};

/** Timing of failure detection and of a change of primary. */
struct FailoverSettings {
    /** Probe interval while the primary is unknown or possibly failing. */
    Milliseconds probeInterval { 200 };
    /** Probe interval while the primary is healthy; at least probeInterval. Longer on daemons that observe many groups.
     */
    Milliseconds healthyProbeInterval { 200 };
    Milliseconds probeTimeout { 250 };
    /** Consecutive missed probes after which an observer suspects the primary. */
    int missesToSuspect = 2;
    /** A suspicion report expires after this time. */
    Milliseconds suspicionLifetime { 2000 };
    /** Delay per rank before an observer proposes a new term; keeps observers from proposing concurrently. */
    Milliseconds rankDelay { 150 };
    /** Timeout of each operation (raise term, promote, follow) during a change. */
    Milliseconds operationTimeout { 400 };
    /** A planned change that is not ready by then is given up, and paused writes are resumed. */
    Milliseconds handOverTimeout { 1000 };
    /** Delay before a planned change is attempted again. */
    Milliseconds handOverRetryDelay { 3000 };
};

/** Queries the status of an endpoint; the result is passed to onStatus. */
struct ProbeAction {
    EndpointId endpoint;
};
/**
 * Asks an endpoint to promise a term; the result is passed to onTermReply. The caller must send a proposer name that is
 * unique to this coordinator object, because a server repeats its promise to the same proposer.
 */
struct RaiseTermAction {
    EndpointId endpoint;
    Term term = 0;
};
/** Promotes an endpoint; the result is passed to onPromoteReply. */
struct PromoteAction {
    EndpointId endpoint;
    Term term = 0;
};
/** Makes an endpoint replicate from the primary; the result is passed to onFollowReply. */
struct FollowAction {
    EndpointId endpoint;
    Term term = 0;
    EndpointId primary;
};
/** Sends a suspicion report to the other observers. */
struct ReportSuspicionAction {
    SuspicionReport report;
};
/** Announces the primary to observers and connected peers. */
struct AnnouncePrimaryAction {
    PrimaryView view;
};
/** Writes one decision to the log. */
struct LogDecisionAction {
    DatabaseId database;
    std::string decision;
    std::string reason;
};

using FailoverAction = std::variant<ProbeAction, RaiseTermAction, PromoteAction, FollowAction, ReportSuspicionAction,
    AnnouncePrimaryAction, LogDecisionAction>;
using FailoverActions = std::vector<FailoverAction>;

/**
 * Detects the failure of a group's primary on behalf of one observing daemon and changes the primary.
 *
 * A state machine that performs no I/O: every event returns actions for the caller to carry out. Replies may arrive
 * late, more than once, in any order, or not at all. Safety depends only on the terms that servers promised.
 *
 * @see docs/design.md section 2.3
 */
class FailoverCoordinator {
public:
    virtual ~FailoverCoordinator() = default;

    /** Sets the observers by rank, with their failure domains; called again when the placement changes. */
    virtual void setObservers(const std::vector<std::pair<VmId, FailureDomainId>>&) = 0;
    /** Sets the endpoints that are leaving. A leaving primary is replaced, preferably by an endpoint that is not
     * leaving. */
    virtual void setLeaving(const std::set<EndpointId>&) = 0;

    virtual FailoverActions onTick(TimePoint now) = 0;
    /** Result of a probe, or a status received with the answer to a statement. */
    virtual FailoverActions onStatus(const EndpointId&, const EndpointResult<EndpointStatus>&, TimePoint now) = 0;
    virtual FailoverActions onTermReply(const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now)
        = 0;
    virtual FailoverActions onPromoteReply(
        const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now)
        = 0;
    virtual FailoverActions onFollowReply(const EndpointId&, Term, const EndpointResult<EndpointStatus>&, TimePoint now)
        = 0;
    virtual FailoverActions onSuspicion(const SuspicionReport&, TimePoint now) = 0;
    /** Another daemon's announcement of a primary; older terms are ignored. */
    virtual FailoverActions onAnnouncement(const PrimaryView&, TimePoint now) = 0;

    /** The primary answered a statement in this term; postpones its next probe. */
    virtual void onPrimaryAnswered(const EndpointId&, Term, TimePoint now) = 0;
    /** The primary did not answer a statement; probes it at once and makes the other observers probe it too. */
    virtual FailoverActions onPrimaryFailed(const EndpointId&, TimePoint now) = 0;

    /**
     * Reports that writes are paused, none is running, and the primary's log ends at the given position. Called by the
     * daemon that serves the primary after wantsWritesPaused() became true. The planned change starts once a server
     * that is not leaving has the whole log.
     */
    virtual FailoverActions onWritesPaused(LogPosition primaryLogEnd, TimePoint now) = 0;

    /** True while the daemon that serves the primary must not start writes because of a planned change. */
    virtual bool wantsWritesPaused() const = 0;
    /** The server that the planned change is expected to promote; nullopt when none is being prepared. */
    virtual std::optional<EndpointId> handOverTarget() const = 0;

    /** The known primary; nullopt before one is discovered and while it is being changed. */
    virtual std::optional<PrimaryView> primary() const = 0;
    /** True while a change of primary is in progress, agreed on, or being prepared. */
    virtual bool isChanging() const = 0;
};

/** Creates the coordinator of a group; `self` is the observing daemon. */
std::unique_ptr<FailoverCoordinator> makeFailoverCoordinator(
    const DatabaseDescription&, const VmId& self, const FailoverSettings&, TimePoint now);

} // namespace almondlever
