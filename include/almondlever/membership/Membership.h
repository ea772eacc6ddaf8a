#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/common/VmListEntry.h"
#include "almondlever/membership/MembershipView.h"
#include "almondlever/wire/Messages.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace almondlever {

/** Timing and limits of the membership protocol. */
struct MembershipSettings {
    /** Interval between probes up to smallFleet members; rises to longestProbeInterval at largeFleet members. */
    Milliseconds probeInterval { 500 };
    Milliseconds maximumProbeInterval { 1000 };
    std::size_t smallFleet = 50;
    std::size_t largeFleet = 1000;
    /** Time-out of a direct probe, after which indirect probes are sent. After twice this time the member is suspected.
     */
    Milliseconds probeTimeout { 300 };
    std::size_t indirectProbes = 2;
    /** Time after which a suspect is declared dead in a fleet of ten or fewer; grows with the logarithm of the size. */
    Milliseconds suspicionTimeout { 1000 };
    /** Interval between probes of a daemon whose channel broke, until it answers or refuses the connection. */
    Milliseconds reconnectProbeInterval { 50 };
    /**
     * Shorter time-outs of indirect probes and of suspicion, for a daemon whose channel broke and that refuses
     * connections. They are longer than a round trip through another region. A live daemon that is wrongly declared
     * dead costs only a change of owners.
     */
    Milliseconds refusedProbeTimeout { 200 };
    Milliseconds refusedSuspicionTimeout { 300 };
    /** Maximum number of records in one message. */
    std::size_t recordsPerMessage = 8;
    /** Maximum number of records in one StateReply, which is then about 3 KB long. */
    std::size_t recordsPerStateReply = 64;
    /** Number of members that a daemon of a large fleet probes in turn, so that few channels are open. */
    std::size_t partners = 16;
    /** Time after which one partner is replaced by another member. */
    Milliseconds partnerInterval { 10000 };
    /** Number of members to which new updates are pushed immediately. */
    std::size_t pushFanOut = 3;
    /** Minimum time between two such pushes, which bounds the cost of a mass failure. */
    Milliseconds pushInterval { 300 };
    /**
     * Interval at which one of the members believed dead is probed, so that a healed partition is found. Grows in
     * proportion to the fleet size above largeFleet members.
     */
    Milliseconds reconnectInterval { 2000 };
    /** A daemon that received nothing for this long assumes that it is isolated and suspects no member. */
    Milliseconds isolationTimeout { 1200 };
    /** Time for which the record of a dead member is kept. */
    std::chrono::minutes tombstoneLifetime { 60 };
    /** Limit of pending updates. Beyond it, the update that was sent most often is dropped. */
    std::size_t maximumPendingUpdates = 2048;
    /** Maximum number of leaving VMs in one message. */
    std::size_t maximumLeavingVms = 4096;
};

/** A gossip message to be sent to a daemon. */
struct GossipAction {
    VmId to;
    std::string address;
    Gossip gossip;
};
using GossipActions = std::vector<GossipAction>;

/** A configuration version and a daemon known to hold it. */
struct ConfigurationHolder {
    std::uint64_t version = 0;
    VmId holder;
    std::string address;
};

/**
 * One daemon's view of which daemons are alive, maintained with the SWIM protocol: random probes, indirect probes,
 * suspicion, and updates piggybacked on the probes. This is a state machine without I/O: each event returns the
 * messages to be sent. The views of different daemons may differ for a while, so no safety property depends on them.
 *
 * @see docs/design.md section 3.8
 */
class Membership {
public:
    Membership(const LiveDaemon& self, const MembershipSettings&, std::uint64_t seed, TimePoint now);

    /** Must be called every 50 to 100 ms. */
    GossipActions onTick(TimePoint now);
    /** Handles a message from a daemon that proved knowledge of the cluster key. from is its identity in the handshake.
     */
    GossipActions onGossip(const LiveDaemon& from, const Gossip&, TimePoint now);
    /**
     * Handles the platform's VM list. The first list provides the initial members. Later lists only mark leaving VMs
     * and remove VMs that are no longer listed, since a new VM joins by itself once its daemon runs. A list with an
     * older version is ignored, and so is a list that drops several daemons and more than half of them at once, which
     * indicates a fault of the platform.
     */
    GossipActions onVmList(const std::vector<VmListEntry>&, std::uint64_t version, TimePoint now);
    /**
     * Called when the channel to a daemon broke or could not be reopened. The daemon is probed immediately. If the
     * channel cannot be reopened either, the daemon is probed through other members and suspected sooner.
     */
    GossipActions onPeerLost(const VmId&, TimePoint now);
    /** Announces that this daemon shuts down. */
    GossipActions leave(TimePoint now);
    /** Sets the configuration version that this daemon holds and advertises. */
    void setConfigurationVersion(std::uint64_t version);

    /** All daemons believed to be alive, including suspected ones. */
    MembershipView view() const;
    /** True for a daemon believed to be alive, including this one. */
    bool contains(const VmId&) const;
    /** Number of other daemons on record, including those believed dead. */
    std::size_t knownCount() const { return members_.size(); }
    std::uint64_t revision() const { return revision_; }
    /** VMs of daemons and of endpoints that the platform's list shows as leaving. */
    const std::set<VmId>& leavingVms() const { return leavingVms_; }
    std::uint64_t vmListVersion() const { return vmListVersion_; }
    /** The newest configuration version known and a daemon that holds it. */
    const ConfigurationHolder& newestConfiguration() const { return newestConfiguration_; }
    /** True while the state of the fleet is still being fetched from a peer. */
    bool isJoining() const { return !hasJoined_; }

private:
    struct Member {
        FailureDomainId failureDomain;
        std::string address;
        MemberRecord::State state = MemberRecord::State::Alive;
        bool isLeaving = false;
        std::uint64_t incarnation = 0;
        /** VM list version in the last message received from the member. */
        std::uint64_t listVersion = 0;
        /** Index in live_; undefined if the member is dead. */
        std::size_t liveIndex = 0;
    };
    using Members = std::map<VmId, Member>;

    struct Probe {
        VmId target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        bool isIndirect = false;
        /** True if the channel broke during or before the probe. */
        bool isChannelLost = false;
        TimePoint repeatedAt;
        /** Time at which the channel could not be reopened. */
        std::optional<TimePoint> refusedAt;
    };
    /** An indirect probe that this daemon performs on behalf of another. */
    struct RelayedProbe {
        std::uint64_t sequence = 0;
        VmId requester;
        std::uint64_t requesterSequence = 0;
        VmId target;
        TimePoint sentAt;
    };
    struct PendingUpdate {
        VmId id;
        std::size_t sendCount = 0;
    };

    /** Whether a change is passed on. Changes from a VM list or a peer's state are usually known to the others. */
    enum class Dissemination {
        Yes,
        No,
    };

    void apply(const MemberRecord&, Dissemination, TimePoint now);
    void applyToSelf(const MemberRecord&);
    void add(const MemberRecord&, Dissemination, TimePoint now);
    bool supersedes(const MemberRecord&, const Member&) const;
    void change(Members::iterator, const MemberRecord&, Dissemination, TimePoint now);
    void addLive(Members::iterator);
    void removeLive(Members::iterator);
    void addSender(const LiveDaemon& from, TimePoint now);
    void updateVersions(const LiveDaemon& from, const Gossip&);
    void disseminate(const VmId&);
    MemberRecord record(const VmId&, const Member&) const;
    Gossip makeGossip(Gossip::Kind, std::uint64_t sequence, const VmId& to);
    void appendUpdates(Gossip&, const VmId& to);
    void send(GossipActions&, const VmId& to, Gossip);
    void startProbe(GossipActions&, const VmId& target, TimePoint now);
    void onAck(GossipActions&, const VmId& from, const Gossip&);
    void onPingRequest(GossipActions&, const VmId& from, const Gossip&, TimePoint now);
    void onStateRequest(GossipActions&, const VmId& from, const Gossip&);
    void onStateReply(GossipActions&, const VmId& from, const Gossip&, TimePoint now);
    void checkProbes(GossipActions&, TimePoint now);
    void probeIndirectly(GossipActions&, Probe&);
    void onProbeFailed(const Probe&, TimePoint now);
    bool hasFailed(const Probe&, TimePoint now) const;
    void checkSuspects(TimePoint now);
    void expireTombstones(TimePoint now);
    void rotatePartners(TimePoint now);
    void push(GossipActions&, TimePoint now);
    void reconnect(GossipActions&, TimePoint now);
    void requestState(GossipActions&, TimePoint now);
    std::optional<VmId> nextProbeTarget();
    std::optional<VmId> randomMember(const std::set<VmId>& excluded);
    std::size_t randomBelow(std::size_t bound);
    bool isIsolated(TimePoint now) const;
    Milliseconds currentProbeInterval() const;
    Duration suspicionTimeoutOf(const VmId&) const;
    std::size_t maximumSendCount() const;

    LiveDaemon self_;
    MembershipSettings settings_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_ = 0;
    /** Every known daemon except this one, including dead ones. */
    Members members_;
    std::vector<Members::iterator> live_;
    std::vector<VmId> partners_;
    /** Targets that remain to be probed in this round. */
    std::vector<VmId> probeRound_;
    std::vector<Probe> probes_;
    std::vector<RelayedProbe> relayedProbes_;
    std::map<VmId, TimePoint> suspects_;
    /** Daemons that refused a connection after their channel broke and have sent nothing since. */
    std::set<VmId> refusing_;
    /** Dead members in the order of their removal. */
    std::deque<std::pair<TimePoint, VmId>> tombstones_;
    std::vector<PendingUpdate> pendingUpdates_;
    std::set<VmId> leavingVms_;
    std::set<VmId> listedDaemons_;
    std::uint64_t vmListVersion_ = 0;
    std::uint64_t configurationVersion_ = 0;
    ConfigurationHolder newestConfiguration_;
    std::uint64_t sequence_ = 0;
    std::uint64_t revision_ = 1;
    /** Remaining pushes after an increase of a version. */
    std::size_t pendingVersionPushes_ = 0;
    TimePoint lastReceivedAt_;
    TimePoint nextProbeAt_;
    TimePoint nextPushAt_;
    TimePoint nextPartnerAt_;
    TimePoint nextReconnectAt_;
    bool hasVmList_ = false;
    bool hasJoined_ = false;
    VmId statePeer_;
    VmId stateCursor_;
    TimePoint stateRequestedAt_;
};

} // namespace almondlever
