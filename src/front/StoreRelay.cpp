#include "almondlever/front/StoreRelay.h"

#include "almondlever/observability/DecisionLog.h"

#include <algorithm>

namespace almondlever {

void StoreRelay::setMembers(const MembershipView& view)
{
    const bool wasRelay = treePosition_.isRelay;
    treePosition_ = positionInUpdateTree(view, settings_.self, settings_.tree);
    if (treePosition_.isRelay != wasRelay)
        logInfo("store_relay", { { "is_relay", treePosition_.isRelay ? "yes" : "no" } });
    for (PrefixFollower* follower : followers_) {
        follower->setPollTimeout(
            treePosition_.isWatcher ? settings_.watcherPollTimeout : PrefixFollower::longPollTimeout);
        follower->setRetryDelays(
            treePosition_.isWatcher ? PrefixFollower::RetryDelays() : settings_.nonWatcherRetryDelays);
    }
    if (treePosition_.isWatcher)
        watchDirectly("this daemon is a watcher");
}

const LiveDaemon* StoreRelay::nextSource()
{
    for (const LiveDaemon& source : treePosition_.sources) {
        if (source.id == queriedSource_)
            return &source;
    }
    if (treePosition_.sources.empty())
        return nullptr;
    const LiveDaemon& source = treePosition_.sources[nextSource_++ % treePosition_.sources.size()];
    queriedSource_ = source.id;
    answeredPrefixes_.clear();
    return &source;
}

void StoreRelay::onTick(TimePoint now)
{
    if (treePosition_.isWatcher || !network_)
        return;
    if (!source_.isEmpty() && now - lastUpdateAt_ > settings_.directWatchTimeout)
        watchDirectly("no updates from any source");
    if (now - queriedAt_ >= settings_.queryInterval)
        sendQuery(now);
}

void StoreRelay::sendQuery(TimePoint now)
{
    queriedAt_ = now;
    const bool isSilent = queriedSource_ == source_ && now - lastUpdateAt_ > settings_.sourceTimeout;
    if (source_.isEmpty() || isSilent)
        queriedSource_ = VmId();
    const LiveDaemon* source = nextSource();
    if (!source)
        return;
    StoreUpdateRequest request;
    for (const PrefixFollower* follower : followers_)
        request.known.push_back({ follower->prefix(), follower->revision() });
    if (!network_->send(source->id, source->peerAddress, request))
        onLoss(source->id);
}

std::optional<TimePoint> StoreRelay::confirmedAt(const PrefixFollower& follower) const
{
    if (source_.isEmpty())
        return follower.confirmedAt();
    const auto found = updatesConfirmedAt_.find(follower.prefix());
    return found == updatesConfirmedAt_.end() ? std::nullopt : std::optional<TimePoint>(found->second);
}

void StoreRelay::onRequest(const VmId& from, const StoreUpdateRequest& request, TimePoint now)
{
    if (!treePosition_.isWatcher && !treePosition_.isRelay)
        return;
    for (const StoreUpdateRequest::Known& known : request.known) {
        const auto follower = std::find_if(followers_.begin(), followers_.end(),
            [&known](const PrefixFollower* candidate) { return candidate->prefix() == known.prefix; });
        if (follower == followers_.end())
            continue;
        const std::optional<TimePoint> confirmed = confirmedAt(**follower);
        if (!confirmed)
            continue;
        const StoreCache& cache = caches_[known.prefix];
        StoreUpdate update;
        update.prefix = known.prefix;
        update.revision = (*follower)->revision();
        update.age = std::chrono::duration_cast<Milliseconds>(now - *confirmed);
        update.isSnapshot = cache.needsSnapshot(known.revision);
        update.items = update.isSnapshot ? cache.all() : cache.changesSince(known.revision);
        if (network_)
            network_->send(from, "", update);
    }
}

void StoreRelay::onUpdate(const VmId& from, const StoreUpdate& update, TimePoint now)
{
    const Milliseconds maxAge = treePosition_.asksRelays ? settings_.maxRelayedUpdateAge : settings_.maxUpdateAge;
    if (treePosition_.isWatcher || from != queriedSource_ || update.age > maxAge)
        return;
    const auto follower = std::find_if(followers_.begin(), followers_.end(),
        [&update](const PrefixFollower* candidate) { return candidate->prefix() == update.prefix; });
    if (follower == followers_.end())
        return;
    // Updates from a source that is behind this daemon are ignored; the source catches up with its next call.
    if (update.revision < (*follower)->revision())
        return;
    answeredPrefixes_.insert(update.prefix);
    const bool hasAll = answeredPrefixes_.size() == followers_.size();
    if (source_ != from && hasAll) {
        logInfo("store_followed_through_peer", { { "source", from.text() }, { "former", source_.text() } });
        source_ = from;
        for (PrefixFollower* each : followers_)
            each->pause();
    }
    // Followers are paused already if this daemon switches from another source; updates are then applied at once, even
    // before the new source has answered for all prefixes.
    if (!(*follower)->isPaused())
        return;
    (*follower)->applyUpdate(update.items, update.revision, update.isSnapshot);
    updatesConfirmedAt_[update.prefix] = now - update.age;
    // The source counts as answering only when it has answered for all prefixes.
    if (hasAll) {
        lastUpdateAt_ = now;
        answeredPrefixes_.clear();
    }
}

void StoreRelay::onLoss(const VmId& peer)
{
    if (peer != queriedSource_)
        return;
    // The next tick queries another source; the store is called only when no source provides updates for a while.
    queriedSource_ = VmId();
    queriedAt_ = TimePoint {};
}

void StoreRelay::watchDirectly(const std::string& reason)
{
    if (!source_.isEmpty())
        logInfo("store_followed_directly", { { "former_source", source_.text() }, { "reason", reason } });
    source_ = VmId();
    queriedSource_ = VmId();
    answeredPrefixes_.clear();
    updatesConfirmedAt_.clear();
    for (PrefixFollower* follower : followers_)
        follower->resume();
}

} // namespace almondlever
