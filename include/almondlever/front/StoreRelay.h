#pragma once

#include "almondlever/placement/NewsTree.h"
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
    NewsTreeSettings tree;
    /** Waits of a watcher's calls, so that it notices soon when the store does not answer it. */
    Milliseconds watcherWait { 1500 };
    /**
     * Pauses of daemons that others do not rely on. When the store is away they try only in case that it turns away the
     * watchers alone; one that comes back is heard of through the watchers.
     */
    PrefixFollower::Pauses otherPauses { Milliseconds(400), Milliseconds(2000) };
    /** Interval at which a watcher is asked. */
    Milliseconds askInterval { 400 };
    /** What a watcher has not heard confirmed for longer is not relied on. */
    Milliseconds oldestNews { 2200 };
    /** As oldestNews, of a relay, which asks a watcher itself: an interval, a round trip and a slow VM more. */
    Milliseconds oldestRelayedNews { 3000 };
    /** A source that has not answered for this long is replaced by the next one, without calls to the store. */
    Milliseconds switchAfter { 700 };
    /** Without news for this long the daemon watches the store itself. */
    Milliseconds patience { 1200 };
};

/**
 * Lets a few daemons watch the store on behalf of all. The others ask their source in the tree of NewsTree, another one
 * when it is silent, and watch the store themselves only when no source has news. What a daemon knows never goes back:
 * news of an earlier revision are left out, and old news are told by their age, which adds up from hop to hop.
 */
class StoreRelay {
public:
    StoreRelay(const StoreRelaySettings& settings, std::vector<PrefixFollower*> followers)
        : settings_(settings)
        , followers_(std::move(followers))
    {
    }

    void setNetwork(PeerNetwork* network) { network_ = network; }
    void setMembers(const MembershipView&);
    void onTick(TimePoint now);
    void onRequest(const VmId& from, const StoreNewsRequest&, TimePoint now);
    void onNews(const VmId& from, const StoreNews&, TimePoint now);
    /** A source cannot be reached. */
    void onLoss(const VmId& peer);
    /** To be called with all that followers report, so that it can be passed on. */
    StoreCache& cacheOf(const std::string& prefix) { return caches_[prefix]; }
    bool isWatcher() const { return place_.isWatcher; }
    /** The daemon that this daemon relies on; empty when it watches the store itself. */
    const VmId& source() const { return source_; }

private:
    void ask(TimePoint now);
    void watchAlone(const std::string& reason);
    const LiveDaemon* nextSource();
    /** When the store last confirmed what this daemon knows of a prefix; nullopt when it does not know. */
    std::optional<TimePoint> confirmedAt(const PrefixFollower&) const;

    StoreRelaySettings settings_;
    std::vector<PrefixFollower*> followers_;
    PeerNetwork* network_ = nullptr;
    /** A daemon that knows no others watches. */
    NewsPlace place_ { true, false, false, {} };
    std::map<std::string, StoreCache> caches_;
    VmId source_;
    std::size_t nextSource_ = 0;
    /** The daemon that is asked, not yet relied on before it has answered for all prefixes. */
    VmId asked_;
    std::set<std::string> answered_;
    TimePoint askedAt_ {};
    TimePoint newsAt_ {};
    std::map<std::string, TimePoint> newsConfirmedAt_;
};

} // namespace almondlever
