#pragma once

#include "almondlever/common/TimerService.h"
#include "almondlever/forwarding/ForwardedStatements.h"
#include "almondlever/forwarding/StatementForwarder.h"
#include "almondlever/front/DoubtExchange.h"
#include "almondlever/front/FleetMembers.h"
#include "almondlever/front/InventoryDecoder.h"
#include "almondlever/front/PromotionDriver.h"
#include "almondlever/front/StopSequence.h"
#include "almondlever/front/StoreRelay.h"
#include "almondlever/observability/DecisionLog.h"
#include "almondlever/observability/Metrics.h"
#include "almondlever/placement/GroupOwners.h"
#include "almondlever/sessions/Session.h"
#include "almondlever/store/PrefixFollower.h"

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
    /** "ip:port" where other daemons reach this one. */
    std::string peerAddress;
    /** Share of a core that this VM has, in hundredths. */
    std::uint32_t capacity = 0;
    /** A random number for what must differ between two lives of the process. */
    std::uint64_t randomSeed = 0;
    GroupSharing sharing;
    DispatcherSettings dispatcher;
    PromotionDriverSettings promotion;
    StopSettings stop;
    /** Budget of decision lines a second beside those of the most urgent rank. */
    double decisionLinesPerSecond = 20;
    /** A caller that connects before the first configuration waits at most this long; the caller gives up after 2 s. */
    Milliseconds openPatience { 1700 };
    /** Lifetime of this daemon's entry among the members; others share endpoint connections by their number. */
    Milliseconds memberLease { 10000 };
    Milliseconds memberRenewal { 3000 };
    /** After a restore of the store the daemons register again within this time, spread evenly. */
    Milliseconds reregistrationSpread { 1000 };
    /** All daemons of the fleet start now for the first time, and callers come seconds later. */
    bool isFirstStart = false;
    /** At the first start the store is read after this, when all daemons have registered themselves. */
    Milliseconds firstReadDelay { 1200 };
    /** Time in which a daemon that starts is told the store's changes by a peer: a channel, a question, a slow VM. */
    Milliseconds patienceForPeers { 700 };
    /** As patienceForPeers at the first start, when the fleet's key is written and read before channels open. */
    Milliseconds firstPatienceForPeers { 2400 };
};

/**
 * A daemon that speaks with callers in sessions and keeps what must last in the platform's store.
 *
 * Follows the configuration, the endpoints' entries and the product's own keys, owns the sessions, and stops
 * gracefully. Runs on one thread.
 */
class FrontDaemon final : public RoutingSource, private PrefixObserver {
public:
    /** The session, or why there is none. */
    using OpenCallback = std::function<void(Session*, std::optional<StatementError>)>;

    /** Makes the network to other daemons once the key that they share is known. */
    using NetworkFactory = std::function<std::unique_ptr<PeerNetwork>(const std::string& clusterKey)>;

    FrontDaemon(const FrontSettings&, MetadataStore&, EndpointConnector&, PromotionService&, const InventoryDecoder&,
        TimerService&, NetworkFactory);
    ~FrontDaemon() override;
    FrontDaemon(const FrontDaemon&) = delete;
    FrontDaemon& operator=(const FrontDaemon&) = delete;

    void start();
    /** Opens a session; the callback may come later, when the first configuration is still awaited. */
    void open(const DatabaseId&, CallerLink&, OpenCallback);
    /** The caller's connection is gone, also while its session is being opened. */
    void close(CallerLink&);
    /** Begins a graceful stop; the callback comes when the process may exit. */
    void beginStop(std::function<void()> onStopped);

    bool isReady() const { return routing_ && hasEndpoints_ && hasMembers_ && !stop_.isStopping(); }
    TimePoint now() const { return timers_.now(); }
    std::shared_ptr<const RoutingConfiguration> routing() const override { return routing_; }
    Metrics& metrics() { return metrics_; }

private:
    struct Opening {
        DatabaseId database;
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

    /** Follows the era in a revision; what an earlier era gave out is gone. */
    void takeStoreEra(std::uint64_t revision, TimePoint now);
    /** Items of the configuration's prefix, with the configuration in force in place of an older one from a copy. */
    std::vector<StoreItem> withConfigurationInForce(const std::vector<StoreItem>&) const;
    /** The entry says something else than the directory knows; its heartbeats do not. */
    bool isNews(const EndpointEntry&) const;
    void takeConfiguration(const StoreItem&, TimePoint now);
    void applyConfiguration(TimePoint now);
    /** Returns the items that say something new of an endpoint. */
    std::vector<StoreItem> takeEndpoints(const std::vector<StoreItem>&, bool isSnapshot, TimePoint now);
    void takeOwnKeys(const std::vector<StoreItem>&, bool isSnapshot, TimePoint now);
    void takeClusterKey(const std::string& key);
    /** Writes the key unless the store has one. */
    void writeClusterKey(const std::string& key);
    void onPeerMessage(const VmId& from, Message&&);
    /** Follows changes of the members or of the groups: who keeps connections to which group. */
    void updateOwners(TimePoint now);
    LiveDaemon self() const;
    void finishOpening(TimePoint now);
    void openNow(const Opening&, TimePoint now);
    /** Begins to follow the configuration and the endpoints, when the members are known. */
    void startFollowers(TimePoint now);
    Milliseconds patienceForPeers() const
    {
        return settings_.isFirstStart ? settings_.firstPatienceForPeers : settings_.patienceForPeers;
    }
    void registerMember();
    void renewMember(const LeaseId& lease, std::uint64_t registration);
    /** Tells the others that this daemon stops, so that they forward nothing more to it. */
    void announceLeaving();
    void tick(TimePoint now);
    void runTick(TimePoint now);
    void tickStop(TimePoint now);

    FrontSettings settings_;
    MetadataStore& store_;
    const InventoryDecoder& decoder_;
    TimerService& timers_;
    DecisionLog log_;
    Metrics metrics_;
    EndpointDirectory directory_;
    StatementDispatcher dispatcher_;
    StatementForwarder forwarder_;
    ForwardedStatements forwarded_;
    DoubtExchange doubts_;
    PromotionDriver promotions_;
    StopSequence stop_;
    PrefixFollower configurationFollower_;
    PrefixFollower endpointFollower_;
    PrefixFollower ownFollower_;
    StoreRelay relay_;
    std::shared_ptr<const RoutingConfiguration> routing_;
    /** The item that routing_ was read from. */
    StoreItem configurationItem_;
    /** Era of the store; nullopt before its first answer. */
    std::optional<std::uint64_t> storeEra_;
    /** The key that proves this daemon to its peers; empty before it is known. */
    std::string clusterKey_;
    bool hasEndpoints_ = false;
    /** The other daemons are known, so that ownership can be told. */
    bool hasMembers_ = false;
    std::map<GroupId, std::set<std::string>> ownersTold_;
    FleetMembers members_;
    /** Lease of this daemon's entry among the members; none before it is registered. */
    LeaseId memberLease_;
    /** Number of the present registration; callbacks of former ones do nothing. */
    std::uint64_t registration_ = 0;
    NetworkFactory makeNetwork_;
    std::unique_ptr<PeerNetwork> network_;
    std::map<CallerLink*, std::unique_ptr<Session>> sessions_;
    std::vector<Opening> openings_;
    std::function<void()> onStopped_;
    std::size_t sessionsAtStop_ = 0;
    TimePoint slowTickAt_ {};
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace almondlever
