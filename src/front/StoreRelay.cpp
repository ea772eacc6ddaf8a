#include "almondlever/front/StoreRelay.h"

#include "almondlever/observability/DecisionLog.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Queries whose answers may still be used; older ones would be answered after the source counts as silent. */
    constexpr std::size_t maximumOpenQueries = 8;

    /** Updates with at least this many bytes of values are logged by sender and receiver. */
    constexpr std::size_t loggedUpdateBytes = 16 * 1024;

    std::size_t countValueBytes(const std::vector<StoreItem>& items)
    {
        std::size_t bytes = 0;
        for (const StoreItem& item : items)
            bytes += item.value.size();
        return bytes;
    }

} // namespace

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

PrefixFollower* StoreRelay::followerOf(const std::string& prefix) const
{
    const auto found = std::find_if(followers_.begin(), followers_.end(),
        [&prefix](const PrefixFollower* candidate) { return candidate->prefix() == prefix; });
    return found == followers_.end() ? nullptr : *found;
}

std::optional<TimePoint> StoreRelay::provenAt(const std::string& prefix) const
{
    const PrefixFollower* follower = followerOf(prefix);
    const std::optional<TimePoint> own = follower ? follower->provenAt() : std::nullopt;
    const auto received = updatesProvenAt_.find(prefix);
    if (received == updatesProvenAt_.end())
        return own;
    return std::max(own.value_or(received->second), received->second);
}

void StoreRelay::verifyIfDue(TimePoint now)
{
    PrefixFollower* follower = followerOf(verifiedPrefix_);
    if (!follower || follower->isPaused())
        return;
    const Milliseconds interval = treePosition_.isWatcher ? settings_.watcherVerifyInterval : settings_.verifyInterval;
    const std::optional<TimePoint> proven = provenAt(verifiedPrefix_);
    const bool isDue = !proven || now - *proven >= interval;
    if (!isDue || now - verifiedAt_ < interval)
        return;
    verifiedAt_ = now;
    follower->verify();
}

void StoreRelay::onTick(TimePoint now)
{
    verifyIfDue(now);
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
    request.number = ++lastQuery_;
    querySentAt_[request.number] = now;
    if (querySentAt_.size() > maximumOpenQueries)
        querySentAt_.erase(querySentAt_.begin());
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
        const PrefixFollower* follower = followerOf(known.prefix);
        if (!follower)
            continue;
        const std::optional<TimePoint> confirmed = confirmedAt(*follower);
        if (!confirmed)
            continue;
        const StoreCache& cache = caches_[known.prefix];
        StoreUpdate update;
        update.prefix = known.prefix;
        update.revision = follower->revision();
        update.number = request.number;
        update.age = std::chrono::duration_cast<Milliseconds>(now - *confirmed);
        if (const std::optional<TimePoint> proven = provenAt(known.prefix))
            update.proofAge = std::chrono::ceil<Milliseconds>(now - *proven);
        update.isSnapshot = cache.needsSnapshot(known.revision);
        update.items = update.isSnapshot ? cache.all() : cache.changesSince(known.revision);
        const bool isSent = network_ && network_->send(from, "", update);
        const std::size_t bytes = countValueBytes(update.items);
        if (bytes >= loggedUpdateBytes)
            logInfo("store_update_sent",
                { { "peer", from.text() }, { "prefix", update.prefix }, { "known", std::to_string(known.revision) },
                    { "revision", std::to_string(update.revision) }, { "number", std::to_string(update.number) },
                    { "bytes", std::to_string(bytes) }, { "sent", isSent ? "yes" : "no" } });
    }
}

void StoreRelay::onUpdate(const VmId& from, const StoreUpdate& update, TimePoint now)
{
    const std::size_t bytes = countValueBytes(update.items);
    if (bytes >= loggedUpdateBytes) {
        const auto sent = querySentAt_.find(update.number);
        const std::string answerTime = sent == querySentAt_.end()
            ? "unknown"
            : std::to_string(std::chrono::duration_cast<Milliseconds>(now - sent->second).count());
        logInfo("store_update_received",
            { { "source", from.text() }, { "queried", queriedSource_.text() }, { "prefix", update.prefix },
                { "revision", std::to_string(update.revision) }, { "number", std::to_string(update.number) },
                { "bytes", std::to_string(bytes) }, { "age_ms", std::to_string(update.age.count()) },
                { "answer_ms", answerTime } });
    }
    const Milliseconds maxAge = treePosition_.asksRelays ? settings_.maxRelayedUpdateAge : settings_.maxUpdateAge;
    if (treePosition_.isWatcher || from != queriedSource_ || update.age > maxAge)
        return;
    PrefixFollower* follower = followerOf(update.prefix);
    // Updates from a source that is behind this daemon are ignored; the source catches up with its next call.
    if (!follower || update.revision < follower->revision())
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
    if (!follower->isPaused())
        return;
    follower->applyUpdate(update.items, update.revision, update.isSnapshot);
    updatesConfirmedAt_[update.prefix] = now - update.age;
    const auto query = querySentAt_.find(update.number);
    if (update.proofAge && query != querySentAt_.end()) {
        const TimePoint proven = query->second - *update.proofAge;
        TimePoint& newest = updatesProvenAt_.try_emplace(update.prefix, proven).first->second;
        newest = std::max(newest, proven);
    }
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
