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

/** What the control loop needs from the rest of the daemon. */
struct ControlContext {
    LiveDaemon self;
    TimerService& timers;
    EndpointConnector& connector;
    KeyValueService& keyValue;
    VmList& vmList;
    /** Sends a message to a daemon at an address; may drop it. */
    std::function<void(const VmId&, const std::string& address, Message)> send;
    /** Takes a new snapshot to the traffic thread. */
    std::function<void(SnapshotPtr)> publish;
    FailoverSettings failover;
    /** Daemons to contact while the VM list cannot be read at the start. */
    std::vector<LiveDaemon> seeds;
    std::uint64_t randomSeed = 0;
};

/**
 * The control state of a daemon: who lives, which configuration is in force, who serves what, and who leads each group
 * that this daemon observes. Publishes an immutable snapshot whenever something changed.
 *
 * Everything runs on the control thread.
 */
class ControlLoop {
public:
    /** Daemons that watch the configuration and the VM list on behalf of all. */
    static constexpr std::size_t watcherCount = 3;
    static constexpr Milliseconds tickInterval { 20 };
    /** Interval at which each watcher reads the VM list; a leaving VM must be known everywhere within 3 s. */
    static constexpr Milliseconds vmListInterval { 500 };
    /** The list gets a new version at least this often, so that watchers that numbered apart come together again. */
    static constexpr std::chrono::seconds vmListRenumbering { 30 };

    explicit ControlLoop(ControlContext);
    ~ControlLoop();

    void start(TimePoint now);
    void onTick(TimePoint now);

    void onMessage(const PeerIdentity& from, const Message&, TimePoint now);
    void onPeerLost(const VmId&, TimePoint now);
    void onPrimaryAnswered(const DatabaseId&, const EndpointId&, Term, TimePoint now);
    void onPrimaryFailed(const DatabaseId&, const EndpointId&, TimePoint now);
    void onWritesPaused(const DatabaseId&, LogPosition logEnd, TimePoint now);
    /** Announces that this daemon leaves; its endpoints are placed elsewhere. */
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
    void spreadConfiguration(TimePoint now);
    void followMembership(TimePoint now);
    void placeObservers(TimePoint now);
    std::set<EndpointId> leavingEndpoints() const;
    FailoverSettings settingsForLoad(std::size_t groups) const;
    GroupObserverHooks hooksFor(const DatabaseId&);
    void sendToDaemon(const VmId&, const Message&);
    void announce(const PrimaryView&);
    void notePrimary(const PrimaryView&);
    /** Keeps what an observer knows of its primary before the observer is dropped. */
    void notePrimaryOf(const GroupObserver&);
    void publishIfChanged();
    bool isWatcher() const;
    bool isFirstWatcher() const;

    ControlContext context_;
    Membership membership_;
    ConfigurationDistributor spread_;
    ConfigurationWatcher watcher_;
    MembershipView members_;
    std::shared_ptr<const Configuration> configuration_;
    std::unique_ptr<PlacementIndex> placement_;
    std::shared_ptr<const OwnerTable> owners_;
    std::map<DatabaseId, std::unique_ptr<GroupObserver>> observers_;
    std::unordered_map<DatabaseId, PrimaryView> announcedPrimaries_;
    std::mt19937_64 random_;
    std::vector<VmId> watchers_;
    std::set<VmId> knownLeaving_;
    std::uint64_t seenRevision_ = 0;
    std::vector<std::pair<VmId, VmState>> lastList_;
    TimePoint lastRenumbering_;
    TimePoint nextListRead_;
    TimePoint nextSeedContact_;
    bool isReadingList_ = false;
    bool hasList_ = false;
    bool isShuttingDown_ = false;
    bool isChanged_ = false;
    /** Outlives the object in callbacks, which do nothing once it is gone. */
    std::shared_ptr<bool> alive_;
};

} // namespace almondlever
