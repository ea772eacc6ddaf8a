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

/** Times and bounds of membership. */
struct MembershipSettings {
    /** Interval between probes up to smallFleet members; rises to longestProbeInterval at largeFleet members. */
    Milliseconds probeInterval { 500 };
    Milliseconds longestProbeInterval { 1000 };
    std::size_t smallFleet = 50;
    std::size_t largeFleet = 1000;
    /** Time after which indirect probes are sent, and again until the member is suspected. */
    Milliseconds probeTimeout { 300 };
    std::size_t indirectProbes = 2;
    /** Time from suspicion to death in a fleet of ten or less; grows with the logarithm of the fleet size. */
    Milliseconds suspicionTime { 1000 };
    /** Interval at which a daemon whose channel broke is contacted again, until that succeeds or is refused. */
    Milliseconds reconnectProbeInterval { 50 };
    /**
     * Time for indirect probes of a daemon whose channel broke and that refuses connections, and then from suspicion to
     * death. Longer than a round trip through another region; a false death costs only a change of owners.
     */
    Milliseconds refusedProbeTimeout { 200 };
    Milliseconds refusedSuspicionTime { 300 };
    /** Records in one message. */
    std::size_t recordsPerMessage = 8;
    /** Records in one StateReply, about 3 KB. */
    std::size_t recordsPerStateReply = 64;
    /** Members that a daemon of a large fleet probes in turn, so that it keeps few channels open. */
    std::size_t partners = 16;
    /** Time after which one partner is replaced by another member. */
    Milliseconds partnerInterval { 10000 };
    /** Fresh news are sent to this many members at once. */
    std::size_t pushFanOut = 3;
    /** Shortest time between two such pushes; bounds the cost of a mass failure. */
    Milliseconds pushInterval { 300 };
    /**
     * Time between attempts to reach one of the members believed dead, which heals a partition; grows in proportion
     * to the fleet above largeFleet members.
     */
    Milliseconds reconnectInterval { 2000 };
    /** A daemon that heard from nobody for this long takes itself for cut off and accuses no one. */
    Milliseconds isolationTime { 1200 };
    /** Time for which the record of a removed member is kept. */
    std::chrono::minutes removalMemory { 60 };
    /** News waiting to be spread; beyond this the most spread are dropped. */
    std::size_t maximumNews = 2048;
    /** Leaving VMs in one message. */
    std::size_t maximumLeavingVms = 4096;
};

/** Sends a gossip message to a daemon. */
struct GossipAction {
    VmId to;
    std::string address;
    Gossip gossip;
};
using GossipActions = std::vector<GossipAction>;

/** A configuration version and the daemon known to hold it. */
struct ConfigurationHolder {
    std::uint64_t version = 0;
    VmId holder;
    std::string address;
};

/**
 * Which daemons live, as one daemon believes after SWIM: random probes, indirect probes, suspicion, and news carried by
 * the probes. A state machine without input or output: each event returns the messages to be sent. Views of different
 * daemons may differ for a while; nothing that must hold at all times rests on them.
 *
 * @see docs/design.md section 3.8
 */
class Membership {
public:
    Membership(const LiveDaemon& self, const MembershipSettings&, std::uint64_t seed, TimePoint now);

    /** Must be called every 50 to 100 ms. */
    GossipActions onTick(TimePoint now);
    /** A message from a daemon that proved the cluster key, with the identity that it gave in the handshake. */
    GossipActions onGossip(const LiveDaemon& from, const Gossip&, TimePoint now);
    /**
     * The platform's list. The first list seeds the members; later lists only mark leaving VMs and remove dropped ones,
     * since a new VM joins by itself once its daemon runs. Lists older than the known version are ignored, and so are
     * lists that drop more than half of the daemons at once, which points to a fault of the platform.
     */
    GossipActions onVmList(const std::vector<VmListEntry>&, std::uint64_t version, TimePoint now);
    /**
     * The channel to a daemon broke, or could not be opened again. The daemon is probed at once; when the channel
     * cannot be opened again either, it is probed through others and suspected sooner.
     */
    GossipActions onPeerLost(const VmId&, TimePoint now);
    /** Announces that this daemon shuts down. */
    GossipActions leave(TimePoint now);
    /** Sets the configuration version that this daemon holds and tells others. */
    void setConfigurationVersion(std::uint64_t version);

    /** All daemons believed to live, suspected ones included. */
    MembershipView view() const;
    /** True for a daemon believed to live, this one included. */
    bool contains(const VmId&) const;
    /** Other daemons on record, those believed dead included. */
    std::size_t knownCount() const { return members_.size(); }
    std::uint64_t revision() const { return revision_; }
    /** VMs of either kind that the platform's list shows as leaving. */
    const std::set<VmId>& leavingVms() const { return leavingVms_; }
    std::uint64_t vmListVersion() const { return vmListVersion_; }
    /** The newest configuration version heard of, and from whom. */
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
        /** VM list version in the member's last message. */
        std::uint64_t listVersion = 0;
        /** Place in live_, unless dead. */
        std::size_t livePlace = 0;
    };
    using Members = std::map<VmId, Member>;

    struct Probe {
        VmId target;
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        bool isIndirect = false;
        /** Set when the channel broke while or before the target was probed. */
        bool isChannelLost = false;
        TimePoint repeatedAt;
        /** When the channel could not be opened again. */
        std::optional<TimePoint> refusedAt;
    };
    /** An indirect probe on behalf of another daemon. */
    struct Relay {
        std::uint64_t sequence = 0;
        VmId requester;
        std::uint64_t requesterSequence = 0;
        VmId target;
        TimePoint sentAt;
    };
    struct News {
        VmId id;
        std::size_t sends = 0;
    };

    /** Whether a change is passed on. What comes from the VM list or a peer's state is known to the others already. */
    enum class Spread {
        Yes,
        No,
    };

    void apply(const MemberRecord&, Spread, TimePoint now);
    void applyToSelf(const MemberRecord&);
    void add(const MemberRecord&, Spread, TimePoint now);
    bool supersedes(const MemberRecord&, const Member&) const;
    void change(Members::iterator, const MemberRecord&, Spread, TimePoint now);
    void addLive(Members::iterator);
    void removeLive(Members::iterator);
    void meet(const LiveDaemon& from, TimePoint now);
    void hearVersions(const LiveDaemon& from, const Gossip&);
    void spread(const VmId&);
    MemberRecord record(const VmId&, const Member&) const;
    Gossip compose(Gossip::Kind, std::uint64_t sequence, const VmId& to);
    void appendNews(Gossip&, const VmId& to);
    void send(GossipActions&, const VmId& to, Gossip);
    void startProbe(GossipActions&, const VmId& target, TimePoint now);
    void onAck(GossipActions&, const VmId& from, const Gossip&);
    void onPingRequest(GossipActions&, const VmId& from, const Gossip&, TimePoint now);
    void onStateRequest(GossipActions&, const VmId& from, const Gossip&);
    void onStateReply(GossipActions&, const VmId& from, const Gossip&, TimePoint now);
    void checkProbes(GossipActions&, TimePoint now);
    void probeThroughOthers(GossipActions&, Probe&);
    void onProbeFailed(const Probe&, TimePoint now);
    bool hasFailed(const Probe&, TimePoint now) const;
    void checkSuspects(TimePoint now);
    void expireRemoved(TimePoint now);
    void rotatePartners(TimePoint now);
    void push(GossipActions&, TimePoint now);
    void reconnect(GossipActions&, TimePoint now);
    void requestState(GossipActions&, TimePoint now);
    std::optional<VmId> nextProbeTarget();
    std::optional<VmId> randomMember(const std::set<VmId>& excluded);
    std::size_t randomBelow(std::size_t bound);
    bool isIsolated(TimePoint now) const;
    Milliseconds currentProbeInterval() const;
    Duration suspicionTimeOf(const VmId&) const;
    std::size_t sendLimit() const;

    LiveDaemon self_;
    MembershipSettings settings_;
    std::mt19937_64 random_;
    std::uint64_t incarnation_ = 0;
    /** Every known daemon but this one, dead ones included. */
    Members members_;
    std::vector<Members::iterator> live_;
    std::vector<VmId> partners_;
    /** Targets still to be probed in this round. */
    std::vector<VmId> round_;
    std::vector<Probe> probes_;
    std::vector<Relay> relays_;
    std::map<VmId, TimePoint> suspects_;
    /** Daemons that refused connections after their channel broke, until something is heard from them. */
    std::set<VmId> refusing_;
    /** Dead members in order of death. */
    std::deque<std::pair<TimePoint, VmId>> removed_;
    std::vector<News> news_;
    std::set<VmId> leavingVms_;
    std::set<VmId> listedDaemons_;
    std::uint64_t vmListVersion_ = 0;
    std::uint64_t configurationVersion_ = 0;
    ConfigurationHolder newestConfiguration_;
    std::uint64_t sequence_ = 0;
    std::uint64_t revision_ = 1;
    /** Pushes that are due because a version rose. */
    std::size_t versionPushes_ = 0;
    TimePoint lastHeardAt_;
    TimePoint nextProbeAt_;
    TimePoint nextPushAt_;
    TimePoint nextPartnerAt_;
    TimePoint nextReconnectAt_;
    bool hasList_ = false;
    bool hasJoined_ = false;
    VmId statePeer_;
    VmId stateCursor_;
    TimePoint stateRequestedAt_;
};

} // namespace almondlever
