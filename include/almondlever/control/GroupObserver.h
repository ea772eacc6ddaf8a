#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/endpoints/EndpointConnection.h"
#include "almondlever/failover/FailoverCoordinator.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace almondlever {

/** Callbacks through which an observer sends messages and reports changes. */
struct GroupObserverHooks {
    /** Sends a suspicion report to the other observers of the group. */
    std::function<void(const SuspicionReport&)> sendSuspicion;
    /** Announces the primary to the other observers of the group. */
    std::function<void(const PrimaryView&)> announce;
    /** Called when primary() or wantsWritesPaused() changed. */
    std::function<void()> changed;
};

/**
 * Observes one group: performs the actions of its FailoverCoordinator and passes the results back to it.
 *
 * Runs on the control thread.
 *
 * @see FailoverCoordinator, which makes the decisions
 */
class GroupObserver {
public:
    /** The nonce must be unique to the object, since it is part of the name under which servers promise terms. */
    GroupObserver(const DatabaseDescription&, const VmId& self, std::uint64_t nonce, const FailoverSettings&,
        EndpointConnector&, TimerService&, GroupObserverHooks);
    ~GroupObserver();
    GroupObserver(const GroupObserver&) = delete;
    GroupObserver& operator=(const GroupObserver&) = delete;

    void setObservers(const std::vector<std::pair<VmId, FailureDomainId>>&);
    void setLeaving(const std::set<EndpointId>&);
    void onTick(TimePoint now);
    void onSuspicion(const SuspicionReport&, TimePoint now);
    void onAnnouncement(const PrimaryView&, TimePoint now);
    void onPrimaryAnswered(const EndpointId&, Term, TimePoint now);
    void onPrimaryFailed(const EndpointId&, TimePoint now);
    void onWritesPaused(LogPosition logEnd, TimePoint now);

    /** The other observers of the group. */
    const std::vector<VmId>& otherObservers() const;
    /** The known primary; nullopt until one is found and while a failover is in progress. */
    std::optional<PrimaryView> primary() const;
    /** True while writes should be paused so that a leaving primary can hand over. */
    bool wantsWritesPaused() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
