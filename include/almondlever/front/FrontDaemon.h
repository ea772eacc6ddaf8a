#pragma once

#include "almondlever/capacity/OwnerReports.h"
#include "almondlever/common/TimerService.h"
#include "almondlever/customers/CustomerGate.h"
#include "almondlever/forwarding/ForwardedStatements.h"
#include "almondlever/forwarding/StatementForwarder.h"
#include "almondlever/front/FleetMembers.h"
#include "almondlever/front/InventoryDecoder.h"
#include "almondlever/front/PeerStepDownRelay.h"
#include "almondlever/front/PeerSuspicionConfirmer.h"
#include "almondlever/front/PromotionDriver.h"
#include "almondlever/front/StopSequence.h"
#include "almondlever/front/StoreRelay.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/placement/GroupOwners.h"
#include "almondlever/sessions/Session.h"
#include "almondlever/store/PrefixFollower.h"
#include "almondlever/store/SharedWatchStore.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

struct FrontSettings {
    VmId vm;
    FailureDomainId failureDomain;
    /** "ip:port" at which other daemons reach this one. */
    std::string peerAddress;
    /** CPU share of this VM, in hundredths of a core. */
    std::uint32_t capacity = 0;
    /** Learns the capacity of endpoints from completed statements and ejects those that fail. */
    bool learnsEndpointCapacity = false;
    /**
     * Follows the store with one watch for all prefixes, and leaves calls out that peers can make unnecessary: for a
     * fleet that is large in comparison with the rates of the store.
     */
    bool limitsStoreCalls = false;
    /** Random seed for values that must differ between two runs of the process. */
    std::uint64_t randomSeed = 0;
    GroupOwnerSettings sharing;
    DispatcherSettings dispatcher;
    PromotionDriverSettings promotion;
    StopSettings stop;
    /** Time after which a withdrawn API key must not be accepted any more; 0 if there is no limit. */
    Milliseconds keyWithdrawalLimit { 0 };
    /**
     * Time before keys have to be refused at which the daemon ceases to be ready, so that the balancer has moved new
     * connections by then; 0 if it stays ready until it refuses.
     */
    Milliseconds readinessLead { 0 };
    QuotaSettings quota;
    /** Limit of decision log lines per second; lines of the most urgent rank are not counted. */
    double decisionLinesPerSecond = 20;
    /** Longest time a connecting caller waits for the first configuration; the caller itself times out after 2 s. */
    Milliseconds openTimeout { 1700 };
    /** Lease of this daemon's member entry. Daemons divide endpoint connections by the number of members, in which a
     * dead daemon is counted until its lease ends. */
    Milliseconds memberLeaseDuration { 10000 };
    Milliseconds memberRenewInterval { 3000 };
    /** After a restore of the store, the daemons spread their registrations evenly over this time. */
    Milliseconds reregistrationSpread { 1000 };
    /** Set when the whole fleet starts for the first time; callers then connect only seconds later. */
    bool isFirstStart = false;
    /** Delay before the store is read at the first start, so that all daemons have registered by then. */
    Milliseconds firstReadDelay { 1200 };
    /**
     * Time within which a peer usually sends a starting daemon the changes of the store; covers opening a channel and
     * one query on a slow VM.
     */
    Milliseconds peerUpdateTimeout { 700 };
    /** Like peerUpdateTimeout, for the first start: the cluster key must be written and read before channels open. */
    Milliseconds firstStartPeerUpdateTimeout { 2400 };
};

/**
 * A daemon that serves callers in sessions and keeps its persistent state in the platform's store.
 *
 * Follows the configuration, the endpoint entries and the product's own keys in the store, owns the sessions, and shuts
 * down gracefully. Runs on one thread.
 */
class FrontDaemon final : public RoutingSource, private PrefixObserver {
public:
    /** Receives the session, or the reason why none was opened. */
    using OpenCallback = std::function<void(Session*, std::optional<StatementError>)>;

    /** Creates the network to the other daemons once the shared cluster key is known. */
    using NetworkFactory = std::function<std::unique_ptr<PeerNetwork>(const std::string& clusterKey)>;

    FrontDaemon(const FrontSettings&, MetadataStore&, EndpointConnector&, PromotionService&, const InventoryDecoder&,
        TimerService&, NetworkFactory);
    ~FrontDaemon() override;
    FrontDaemon(const FrontDaemon&) = delete;
    FrontDaemon& operator=(const FrontDaemon&) = delete;

    void start();
    /** Opens a session; the callback is deferred until the first configuration and the members are known. The key may
     * be the empty digest where callers need none. */
    void open(const DatabaseId&, const KeyDigest&, CallerLink&, OpenCallback);
    /** To be called when the caller's connection is closed, also while its session is still being opened. */
    void close(CallerLink&);
    /** Records that a caller's connection is closed because of a message that cannot be handled. */
    void noteRejectedCaller(StatementError, std::string_view reason, std::size_t messageBytes);
    /** Begins a graceful shutdown; the callback is invoked when the process may exit. */
    void beginStop(std::function<void()> onStopped);

    bool isReady() const
    {
        return routing_ && hasEndpoints_ && hasMembers_ && !stop_.isStopping() && gate_.canServe(now());
    }
    TimePoint now() const { return timers_.now(); }
    std::shared_ptr<const RoutingConfiguration> routing() const override { return routing_; }
    Metrics& metrics() { return metrics_; }

private:
    struct PendingOpen {
        DatabaseId database;
        KeyDigest key;
        CallerLink* link = nullptr;
        OpenCallback callback;
        TimePoint since;
    };

    void onStoreSnapshot(
        const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision, TimePoint now) override;
    void onStoreChanges(
        const std::string& prefix, const std::vector<StoreItem>&, std::uint64_t revision, TimePoint now) override;
    void onStoreReturned(const std::string& prefix, TimePoint now) override;
    void onStoreLost(const std::string& prefix, const StoreFailure&, TimePoint now) override;

    /** Detects a restore of the store by the era in a revision; leases and claims of an earlier era are void. */
    void updateStoreEra(std::uint64_t revision, TimePoint now);
    /** Returns the items for the peers: a configuration that a restore of the store made older than the one in force is
     * replaced by the latter. */
    std::vector<StoreItem> withConfigurationInForce(const std::vector<StoreItem>&) const;
    /** Returns true if the entry differs from the directory in more than a heartbeat. */
    bool isChanged(const EndpointEntry&) const;
    void handleConfiguration(const StoreItem&, TimePoint now);
    void applyConfiguration(TimePoint now);
    /** Applies the customers of a new configuration and ends sessions whose keys it does not contain. */
    void applyCustomers(TimePoint now);
    /** Passes the newest proof of the configuration in force on to the gate. */
    void confirmConfiguration();
    /** Returns the items that are more than heartbeats. */
    std::vector<StoreItem> handleEndpoints(const std::vector<StoreItem>&, bool isSnapshot, TimePoint now);
    void handleOwnKeys(const std::vector<StoreItem>&, bool isSnapshot, TimePoint now);
    void startPeerNetwork(const std::string& key);
    /** Writes the cluster key unless the store has one. */
    void writeClusterKey(const std::string& key);
    void onPeerMessage(const VmId& from, Message&&);
    /** Receives the reports of a probe and answers it. */
    void onOwnerProbe(const VmId& from, const OwnerProbe&, TimePoint now);
    void onOwnerProbeAnswer(const VmId& from, const OwnerProbeAnswer&, TimePoint now);
    /** Sends the reports to other owners that are due. */
    void sendReports(TimePoint now);
    void onPrimarySuspicion(const VmId& from, const PrimarySuspicion&, TimePoint now);
    void onPrimarySuspicionAnswer(const VmId& from, const PrimarySuspicionAnswer&, TimePoint now);
    /** Recomputes which daemons own which group after a change of the members or groups. */
    void updateOwners(TimePoint now);
    LiveDaemon self() const;
    void processPendingOpens(TimePoint now);
    void openNow(const PendingOpen&, TimePoint now);
    /** Starts to follow the configuration and the endpoints once the members are known. */
    void startFollowers(TimePoint now);
    Milliseconds peerUpdateTimeout() const
    {
        return settings_.isFirstStart ? settings_.firstStartPeerUpdateTimeout : settings_.peerUpdateTimeout;
    }
    void registerMember();
    void renewMember(const LeaseId& lease, std::uint64_t registration);
    /** Tells the other daemons that this one shuts down, so that they forward nothing more to it. */
    void announceLeaving();
    /** A change of the group's primary has ended, and the endpoint was seen to lead in the term. */
    void noteRecordedLeader(const GroupId&, const EndpointId&, Term);
    void tick(TimePoint now);
    void runTick(TimePoint now);
    /** Reads the records of changes of primaries while the dispatcher waits for them after a suspension. */
    void refreshAfterSuspension(TimePoint now);
    void tickStop(TimePoint now);

    FrontSettings settings_;
    MetadataStore& store_;
    const InventoryDecoder& decoder_;
    TimerService& timers_;
    DecisionLog log_;
    Metrics metrics_;
    SharedWatchStore sharedStore_;
    EndpointDirectory directory_;
    StatementDispatcher dispatcher_;
    StatementForwarder forwarder_;
    ForwardedStatements forwarded_;
    OwnerReports ownerReports_;
    PeerSuspicionConfirmer suspicionConfirmer_;
    PeerStepDownRelay stepDownRelay_;
    PromotionDriver promotions_;
    StopSequence stop_;
    PrefixFollower configurationFollower_;
    PrefixFollower endpointFollower_;
    PrefixFollower ownFollower_;
    StoreRelay relay_;
    std::shared_ptr<const RoutingConfiguration> routing_;
    /** The store item that routing_ was decoded from. */
    StoreItem configurationItem_;
    /** Era of the store; nullopt before its first answer. */
    std::optional<std::uint64_t> storeEra_;
    /** Shared key that authenticates this daemon to its peers; empty before it is known. */
    std::string clusterKey_;
    bool hasEndpoints_ = false;
    /** The other daemons are known, so that ownership can be determined. */
    bool hasMembers_ = false;
    std::map<GroupId, std::set<std::string>> lastLoggedOwners_;
    FleetMembers members_;
    QuotaCoordinator quotaCoordinator_;
    QuotaClient quotaClient_;
    CustomerGate gate_;
    /** The store holds a configuration that could not be decoded, so that the one in force is not proven. */
    bool isConfigurationRejected_ = false;
    /** Lease of this daemon's member entry; none before it is registered. */
    LeaseId memberLease_;
    /** Number of the current registration; callbacks of earlier ones do nothing. */
    std::uint64_t registration_ = 0;
    NetworkFactory makeNetwork_;
    std::unique_ptr<PeerNetwork> network_;
    std::map<CallerLink*, std::unique_ptr<Session>> sessions_;
    std::vector<PendingOpen> pendingOpens_;
    std::function<void()> onStopped_;
    std::size_t sessionsAtStop_ = 0;
    TimePoint lastSlowTickAt_ {};
    TimePoint refreshedAt_ {};
    bool isRefreshing_ = false;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace almondlever
