#pragma once

#include "almondlever/membership/MembershipView.h"
#include "almondlever/store/PrefixFollower.h"
#include "almondlever/store/StoreCache.h"
#include "almondlever/wire/PeerNetwork.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondlever {

/** How daemons share what they know of the platform's store. */
struct StoreRelaySettings {
    VmId self;
    /** Daemons that watch the store; calls to it grow with them and not with the fleet. */
    std::size_t watchers = 3;
    /** Waits of a watcher's calls, so that it notices soon when the store does not answer it. */
    Milliseconds watcherWait { 1500 };
    /** Interval at which a watcher is asked. */
    Milliseconds askInterval { 400 };
    /** What a watcher has not heard confirmed for longer is not relied on. */
    Milliseconds oldestNews { 2200 };
    /** Without news for this long the daemon watches the store itself. */
    Milliseconds patience { 1200 };
};

/**
 * Lets a few daemons watch the store on behalf of all. The others ask one of them, and watch the store themselves as
 * long as no watcher answers or the watcher cannot reach the store.
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
    /** A watcher cannot be reached. */
    void onLoss(const VmId& peer);
    /** To be called with all that followers report, so that it can be passed on. */
    StoreCache& cacheOf(const std::string& prefix) { return caches_[prefix]; }
    bool isWatcher() const { return isWatcher_; }
    /** The watcher that this daemon relies on; empty when it watches the store itself. */
    const VmId& source() const { return source_; }

private:
    void ask(TimePoint now);
    void watchAlone(const std::string& reason);
    const LiveDaemon* nextWatcher();

    StoreRelaySettings settings_;
    std::vector<PrefixFollower*> followers_;
    PeerNetwork* network_ = nullptr;
    std::vector<LiveDaemon> watchers_;
    bool isWatcher_ = true;
    std::map<std::string, StoreCache> caches_;
    VmId source_;
    std::size_t nextWatcher_ = 0;
    /** The watcher that is asked, not yet relied on before it has answered for all prefixes. */
    VmId asked_;
    std::set<std::string> answered_;
    TimePoint askedAt_ {};
    TimePoint newsAt_ {};
};

} // namespace almondlever
