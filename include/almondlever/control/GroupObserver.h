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

/** Where an observer's words go. */
struct GroupObserverHooks {
    /** Sends a report to the other observers of the group. */
    std::function<void(const SuspicionReport&)> sendSuspicion;
    /** Tells the observers and connected peers who leads. */
    std::function<void(const PrimaryView&)> announce;
    /** The primary as known, or the wish to pause writes, changed. */
    std::function<void()> changed;
};

/**
 * Observes one group: carries out what its FailoverCoordinator decides and brings the answers back.
 *
 * Runs on the control thread.
 *
 * @see FailoverCoordinator, which decides
 */
class GroupObserver {
public:
    /** The nonce must be unique to the object, since it names the proposer to whom servers promise terms. */
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
    /** The primary as known; nullopt before it was found or while a change is under way. */
    std::optional<PrimaryView> primary() const;
    /** True while writes should pause so that a leaving primary can hand over. */
    bool wantsWritesPaused() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
