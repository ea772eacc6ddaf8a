#pragma once

#include "almondlever/front/UpdateDownload.h"
#include "almondlever/front/UpdatePackages.h"
#include "almondlever/placement/UpdateTree.h"
#include "almondlever/store/PrefixFollower.h"
#include "almondlever/store/StoreCache.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/** How daemons share what they know of the platform's store. */
struct StoreRelaySettings {
    VmId self;
    UpdateTreeSettings tree;
    /** Long-poll timeout of a watcher; short, so that it soon notices when the store does not answer. */
    Milliseconds watcherPollTimeout { 700 };
    /**
     * Retry delays of daemons that are not watchers. They are longer, since these daemons learn from the watchers when
     * the store is available again after an outage; they call it only in case it rejects just the watchers.
     */
    PrefixFollower::RetryDelays nonWatcherRetryDelays { Milliseconds(400), Milliseconds(2000) };
    /** PrefixFollower::setProbeDelay() of daemons that are not watchers. */
    Milliseconds probeDelay { 0 };
    /** Interval at which a source is queried once it has answered. */
    Milliseconds queryInterval { 400 };
    /** Updates with more bytes of values are packed and downloaded in parts. */
    std::size_t maximumPlainUpdateBytes = std::size_t { 16 } * 1024;
    /** A download without a part for this long is continued from another daemon that offers the same package. */
    Milliseconds partTimeout { 500 };
    /** An update from a watcher is ignored if the store last confirmed its state longer ago than this. */
    Milliseconds maxUpdateAge { 1400 };
    /** Like maxUpdateAge, for relays: adds the relay's own query interval, a round trip and the delay of a slow VM. */
    Milliseconds maxRelayedUpdateAge { 2200 };
    /** A source that has not answered for this long is replaced by the next one, without calls to the store. */
    Milliseconds sourceTimeout { 700 };
    /** After this long without updates the daemon watches the store itself. */
    Milliseconds directWatchTimeout { 1200 };
    /** Interval at which a watcher proves that it misses no change of the verified prefix. */
    Milliseconds watcherVerifyInterval { 1000 };
    /** As watcherVerifyInterval, for other daemons that watch the store themselves. */
    Milliseconds verifyInterval { 2000 };
};

/**
 * Lets a few daemons watch the store on behalf of all. The others query their source in the tree of UpdateTree, switch
 * to another source when it does not answer, and watch the store themselves only when no source provides updates. The
 * store may turn some daemons away: these, also watchers, keep calling it, and query the watchers and some other
 * daemons until one has recent updates. The state of a daemon never goes back: updates of an earlier revision are
 * ignored. Each update carries its age, which adds up from hop to hop.
 *
 * Large updates are downloaded in parts, see UpdateDownload. A source is not queried again before it has answered or
 * counts as silent, and an answer is used also if another source has been queried since: on a slow link, repeated
 * copies of a large update would delay each other until none arrives in time.
 *
 * The proof that no change is missing is stricter than that age, which leaves out the time that an answer is under way:
 * it starts from the time at which the store was asked, and at each hop from the time at which the peer was asked.
 */
class StoreRelay {
public:
    StoreRelay(const StoreRelaySettings& settings, std::vector<PrefixFollower*> followers)
        : settings_(settings)
        , followers_(std::move(followers))
    {
    }

    void setNetwork(PeerNetwork* network) { network_ = network; }
    /** Keeps the proof for this prefix recent; empty for none. */
    void setVerifiedPrefix(std::string prefix) { verifiedPrefix_ = std::move(prefix); }
    /** A time at which the store provably held no change of the prefix that is unknown here; nullopt if none is known.
     */
    std::optional<TimePoint> provenAt(const std::string& prefix) const;
    void setMembers(const MembershipView&);
    void onTick(TimePoint now);
    void onRequest(const VmId& from, const StoreUpdateRequest&, TimePoint now);
    void onUpdate(const VmId& from, const StoreUpdate&, TimePoint now);
    void onPartRequest(const VmId& from, const StorePartRequest&);
    void onPart(const VmId& from, const StorePart&, TimePoint now);
    /** To be called when a peer cannot be reached. */
    void onLoss(const VmId& peer);
    /** Cache of a prefix; must receive everything that the prefix's follower reports, to be passed on to peers. */
    StoreCache& cacheOf(const std::string& prefix) { return caches_[prefix]; }
    bool isWatcher() const { return treePosition_.isWatcher; }
    /** The daemon that this one receives updates from; empty while only the store provides them. */
    const VmId& source() const { return source_; }

private:
    void sendQuery(TimePoint now);
    void verifyIfDue(TimePoint now);
    PrefixFollower* followerOf(const std::string& prefix) const;
    void watchDirectly(const std::string& reason);
    /** Records that a source has answered for a prefix; follows it once it has answered for all. */
    void noteAnswer(const VmId& from, const std::string& prefix, TimePoint now);
    void applyUpdate(const StoreUpdate&, TimePoint confirmedAt, std::optional<TimePoint> provenAt);
    /** Starts or continues the download of packed items. */
    void download(
        const VmId& from, const StoreUpdate&, TimePoint confirmedAt, std::optional<TimePoint> provenAt, TimePoint now);
    void requestPart(const UpdateDownload&);
    /** Unpacks and applies a complete download. */
    void applyDownload(const UpdateDownload&, TimePoint now);
    /** Returns true if the store has answered this daemon for all prefixes so recently that peers may rely on it. */
    bool isAnsweredByStore(TimePoint now) const;
    /** Returns true if the daemon that is followed is not one of the sources in the tree. */
    bool followsAlternative() const;
    /** Returns the daemon to query next; nullptr if none is known. */
    const LiveDaemon* chooseSource(TimePoint now);
    /** Returns false if the request was dropped unsent. */
    bool sendRequest(const LiveDaemon& to, TimePoint now);
    /** Time at which the store last confirmed this daemon's state of a prefix; nullopt if unknown. */
    std::optional<TimePoint> confirmedAt(const PrefixFollower&) const;

    StoreRelaySettings settings_;
    std::vector<PrefixFollower*> followers_;
    PeerNetwork* network_ = nullptr;
    /** A daemon that knows no others is a watcher. */
    UpdateTreePosition treePosition_ { true, false, false, {}, {} };
    std::map<std::string, StoreCache> caches_;
    UpdatePackages packages_;
    /** By prefix. */
    std::map<std::string, UpdateDownload> downloads_;
    VmId source_;
    std::size_t nextSource_ = 0;
    /** The daemon that is queried; becomes source_ once it has answered for all prefixes. */
    VmId queriedSource_;
    /** By daemon that was queried, the prefixes for which it has answered since it last answered for all. */
    std::map<VmId, std::set<std::string>> answeredPrefixes_;
    TimePoint queriedAt_ {};
    /** The latest query has been answered, at least in part. */
    bool isQueryAnswered_ = true;
    TimePoint lastUpdateAt_ {};
    /** By prefix, when the store last confirmed the state received from source_. */
    std::map<std::string, TimePoint> updatesConfirmedAt_;
    /** By prefix, the newest proof that was received from a peer. */
    std::map<std::string, TimePoint> updatesProvenAt_;
    std::string verifiedPrefix_;
    TimePoint verifiedAt_ {};
    /** Send times of the latest queries, by number. */
    std::map<std::uint64_t, TimePoint> querySentAt_;
    std::uint64_t lastQuery_ = 0;
};

} // namespace almondlever
