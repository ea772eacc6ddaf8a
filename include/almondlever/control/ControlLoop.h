#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/config/Configuration.h"
#include "almondlever/control/ConfigurationWatcher.h"
#include "almondlever/control/GroupObserver.h"
#include "almondlever/control/Snapshot.h"
#include "almondlever/endpoints/EndpointConnection.h"
#include "almondlever/membership/ConfigurationDistributor.h"
#include "almondlever/membership/Membership.h"
#include "almondlever/placement/PlacementIndex.h"
#include "almondlever/platform/KeyValueService.h"
#include "almondlever/platform/VmList.h"
#include "almondlever/wire/PeerNetwork.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace almondlever {

/** Dependencies and settings of the control loop. */
struct ControlContext {
    LiveDaemon self;
    TimerService& timers;
    EndpointConnector& connector;
    KeyValueService& keyValue;
    VmList& vmList;
    /** Sends a message to a daemon at an address; may drop it. */
    std::function<void(const VmId&, const std::string& address, Message)> send;
    /** Hands a new snapshot to the traffic thread. */
    std::function<void(SnapshotPtr)> publish;
    FailoverSettings failover;
    /** Daemons to contact while this daemon knows no other. */
    std::vector<LiveDaemon> seeds;
    std::uint64_t randomSeed = 0;
};

/**
 * Holds the control state of a daemon: the live daemons, the configuration in force, the owner of each endpoint, and
 * the primary of each group that this daemon observes. Publishes an immutable snapshot whenever the state changes.
 *
 * Runs on the control thread.
 */
class ControlLoop {
public:
    /** Daemons that watch the configuration and the VM list on behalf of all others. */
    static constexpr std::size_t watcherCount = 3;
    static constexpr Milliseconds tickInterval { 20 };
    /** Interval at which each watcher reads the VM list. Every daemon must learn of a leaving VM within 3 s. */
    static constexpr Milliseconds vmListInterval { 500 };
    /** The list gets a new version at least this often, so that watchers whose version numbers diverged converge. */
    static constexpr std::chrono::seconds vmListRenumberInterval { 30 };

    explicit ControlLoop(ControlContext);
    ~ControlLoop();

    void start(TimePoint now);
    void onTick(TimePoint now);

    void onMessage(const PeerIdentity& from, const Message&, TimePoint now);
    void onPeerLost(const VmId&, TimePoint now);
    void onPrimaryAnswered(const DatabaseId&, const EndpointId&, Term, TimePoint now);
    void onPrimaryFailed(const DatabaseId&, const EndpointId&, TimePoint now);
    void onWritesPaused(const DatabaseId&, LogPosition logEnd, TimePoint now);
    /** Announces that this daemon leaves, so that its endpoints move to other daemons. */
    void beginShutdown(TimePoint now);

    std::uint64_t configurationVersion() const { return configuration_ ? configuration_->version : 0; }
    std::size_t observedCount() const { return observers_.size(); }

private:
    void sendGossip(const GossipActions&);
    void readVmListIfDue(TimePoint now);
    void onVmList(const std::vector<VmListEntry>&, TimePoint now);
    void contactSeeds(TimePoint now);
    void adopt(const ConfigurationCandidate&, TimePoint now);
    void dropOutdatedObservers(const Configuration* previous);
    void distributeConfiguration(TimePoint now);
    void applyMembership(TimePoint now);
    void updateObservers(TimePoint now);
    std::set<EndpointId> leavingEndpoints() const;
    FailoverSettings settingsForGroupCount(std::size_t groups) const;
    GroupObserverHooks hooksFor(const DatabaseId&);
    void sendToDaemon(const VmId&, const Message&);
    void announce(const PrimaryView&);
    void recordPrimary(const PrimaryView&);
    /** Keeps an observer's known primary before the observer is destroyed. */
    void recordPrimaryOf(const GroupObserver&);
    void publishIfChanged();
    bool isWatcher() const;
    bool isFirstWatcher() const;

    ControlContext context_;
    Membership membership_;
    ConfigurationDistributor distributor_;
    ConfigurationWatcher watcher_;
    MembershipView members_;
    std::shared_ptr<const Configuration> configuration_;
    std::unique_ptr<PlacementIndex> placement_;
    std::shared_ptr<const OwnerTable> owners_;
    std::map<DatabaseId, std::unique_ptr<GroupObserver>> observers_;
    std::unordered_map<DatabaseId, PrimaryView> announcedPrimaries_;
    std::mt19937_64 random_;
    std::vector<VmId> watchers_;
    std::set<VmId> leavingVms_;
    std::uint64_t appliedMembershipRevision_ = 0;
    std::vector<std::pair<VmId, VmState>> lastVmList_;
    TimePoint lastRenumbering_;
    TimePoint nextVmListRead_;
    TimePoint nextSeedContact_;
    bool isReadingVmList_ = false;
    bool hasVmList_ = false;
    bool isShuttingDown_ = false;
    bool hasUnpublishedChanges_ = false;
    /** Shared with pending callbacks, which do nothing once it is false because the object was destroyed. */
    std::shared_ptr<bool> alive_;
};

} // namespace almondlever
