#include "almondlever/front/StoreRelay.h"

#include "almondlever/observability/DecisionLog.h"

#include <algorithm>

namespace almondlever {

namespace {

    /** Queries whose answers may still be used; older ones would be answered after the source counts as silent. */
    constexpr std::size_t maximumOpenQueries = 8;

    /** While a daemon follows one that is not among its sources, one query in this many also goes to a
     * source. */
    constexpr std::uint64_t queriesPerSourceCheck = 4;

    bool contains(const std::vector<LiveDaemon>& daemons, const VmId& id)
    {
        return std::any_of(daemons.begin(), daemons.end(), [&id](const LiveDaemon& daemon) { return daemon.id == id; });
    }

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
    const bool wasWatcher = treePosition_.isWatcher;
    const bool wasRelay = treePosition_.isRelay;
    treePosition_ = positionInUpdateTree(view, settings_.self, settings_.tree);
    if (treePosition_.isRelay != wasRelay)
        logInfo("store_relay", { { "is_relay", treePosition_.isRelay ? "yes" : "no" } });
    for (PrefixFollower* follower : followers_) {
        follower->setPollTimeout(
            treePosition_.isWatcher ? settings_.watcherPollTimeout : PrefixFollower::longPollTimeout);
        follower->setRetryDelays(
            treePosition_.isWatcher ? PrefixFollower::RetryDelays() : settings_.nonWatcherRetryDelays);
        follower->setProbeDelay(treePosition_.isWatcher ? Milliseconds(0) : settings_.probeDelay);
    }
    if (treePosition_.isWatcher && !wasWatcher)
        watchDirectly("this daemon is a watcher");
}

bool StoreRelay::isAnsweredByStore(TimePoint now) const
{
    return std::all_of(followers_.begin(), followers_.end(), [this, now](const PrefixFollower* follower) {
        const std::optional<TimePoint> confirmed = follower->confirmedAt();
        return confirmed && now - *confirmed <= settings_.maxUpdateAge;
    });
}

bool StoreRelay::followsAlternative() const { return !source_.isEmpty() && !contains(treePosition_.sources, source_); }

const LiveDaemon* StoreRelay::chooseSource(TimePoint now)
{
    std::vector<const LiveDaemon*> candidates;
    for (const LiveDaemon& source : treePosition_.sources)
        candidates.push_back(&source);
    const bool isStoreLost = std::any_of(
        followers_.begin(), followers_.end(), [](const PrefixFollower* follower) { return follower->isLost(); });
    if (followsAlternative() || (source_.isEmpty() && isStoreLost)) {
        for (const LiveDaemon& alternative : treePosition_.alternatives)
            candidates.push_back(&alternative);
    }
    if (candidates.empty())
        return nullptr;
    const auto followed = std::find_if(
        candidates.begin(), candidates.end(), [this](const LiveDaemon* candidate) { return candidate->id == source_; });
    if (followed != candidates.end() && now - lastUpdateAt_ <= settings_.sourceTimeout)
        return *followed;
    return candidates[nextSource_++ % candidates.size()];
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
    // A lost follower reads all keys as soon as the store answers, which is a proof as well.
    if (!follower || follower->isPaused() || (follower->isLost() && settings_.probeDelay > Milliseconds(0)))
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
    if (!network_)
        return;
    if (treePosition_.isWatcher && isAnsweredByStore(now)) {
        if (!source_.isEmpty())
            watchDirectly("the store answers this watcher again");
        return;
    }
    if (!source_.isEmpty() && now - lastUpdateAt_ > settings_.directWatchTimeout)
        watchDirectly("no updates from any source");
    if (now - queriedAt_ >= (isQueryAnswered_ ? settings_.queryInterval : settings_.sourceTimeout))
        sendQuery(now);
}

void StoreRelay::sendQuery(TimePoint now)
{
    queriedAt_ = now;
    isQueryAnswered_ = false;
    const LiveDaemon* source = chooseSource(now);
    if (!source)
        return;
    queriedSource_ = source->id;
    if (!sendRequest(*source, now))
        onLoss(source->id);
    const std::vector<LiveDaemon>& sources = treePosition_.sources;
    if (followsAlternative() && lastQuery_ % queriesPerSourceCheck == 0 && !sources.empty())
        sendRequest(sources[nextSource_++ % sources.size()], now);
}

bool StoreRelay::sendRequest(const LiveDaemon& to, TimePoint now)
{
    StoreUpdateRequest request;
    for (const PrefixFollower* follower : followers_)
        request.known.push_back({ follower->prefix(), follower->reportedRevision() });
    request.number = ++lastQuery_;
    request.acceptsPacked = true;
    querySentAt_[request.number] = now;
    if (querySentAt_.size() > maximumOpenQueries)
        querySentAt_.erase(querySentAt_.begin());
    return network_->send(to.id, to.peerAddress, request);
}

std::optional<TimePoint> StoreRelay::confirmedAt(const PrefixFollower& follower) const
{
    const std::optional<TimePoint> own = follower.confirmedAt();
    const auto received = updatesConfirmedAt_.find(follower.prefix());
    if (received == updatesConfirmedAt_.end())
        return own;
    return std::max(own.value_or(received->second), received->second);
}

void StoreRelay::onRequest(const VmId& from, const StoreUpdateRequest& request, TimePoint now)
{
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
        update.reportedRevision = follower->reportedRevision();
        update.number = request.number;
        update.age = std::chrono::duration_cast<Milliseconds>(now - *confirmed);
        if (const std::optional<TimePoint> proven = provenAt(known.prefix))
            update.proofAge = std::chrono::ceil<Milliseconds>(now - *proven);
        update.isSnapshot = cache.needsSnapshot(known.revision);
        update.items = update.isSnapshot ? cache.all() : cache.changesSince(known.revision);
        const std::size_t bytes = countValueBytes(update.items);
        const bool isLarge = bytes > settings_.maximumPlainUpdateBytes;
        if (isLarge && request.acceptsPacked) {
            update.packed = packages_.pack(update.items);
            update.items.clear();
        }
        const bool isSent = network_ && network_->send(from, "", update);
        if (isLarge && !request.acceptsPacked)
            logInfo("store_update_sent",
                { { "peer", from.text() }, { "prefix", update.prefix }, { "known", std::to_string(known.revision) },
                    { "revision", std::to_string(update.revision) }, { "number", std::to_string(update.number) },
                    { "bytes", std::to_string(bytes) }, { "sent", isSent ? "yes" : "no" } });
    }
}

void StoreRelay::onUpdate(const VmId& from, const StoreUpdate& update, TimePoint now)
{
    if (from == queriedSource_)
        isQueryAnswered_ = true;
    const Milliseconds maxAge = treePosition_.asksRelays ? settings_.maxRelayedUpdateAge : settings_.maxUpdateAge;
    if (update.age > maxAge)
        return;
    const PrefixFollower* follower = followerOf(update.prefix);
    if (!follower)
        return;
    // A daemon that is behind this one catches up with its next call. It is no reason to follow it, nor to leave it.
    const bool isBehind = update.revision < follower->revision();
    if (isBehind && from != source_)
        return;
    noteAnswer(from, update.prefix, now);
    if (isBehind)
        return;
    std::optional<TimePoint> proven;
    const auto query = querySentAt_.find(update.number);
    if (update.proofAge && query != querySentAt_.end())
        proven = query->second - *update.proofAge;
    if (update.packed)
        return download(from, update, now - update.age, proven, now);
    applyUpdate(update, now - update.age, proven);
}

void StoreRelay::noteAnswer(const VmId& from, const std::string& prefix, TimePoint now)
{
    std::set<std::string>& answered = answeredPrefixes_[from];
    answered.insert(prefix);
    // The source counts as answering only when it has answered for all prefixes.
    if (answered.size() < followers_.size())
        return;
    answeredPrefixes_.erase(from);
    lastUpdateAt_ = now;
    // After a late answer, its sender is not followed in place of a daemon that was queried later.
    const bool returnsToSource = followsAlternative() && contains(treePosition_.sources, from);
    if (source_ == from || (!source_.isEmpty() && from != queriedSource_ && !returnsToSource))
        return;
    logInfo("store_followed_through_peer", { { "source", from.text() }, { "former", source_.text() } });
    source_ = from;
    queriedSource_ = from;
    // A watcher keeps calling the store, for the sake of the daemons that query it.
    if (treePosition_.isWatcher)
        return;
    for (PrefixFollower* follower : followers_)
        follower->pause();
}

void StoreRelay::applyUpdate(const StoreUpdate& update, TimePoint confirmedAt, std::optional<TimePoint> provenAt)
{
    followerOf(update.prefix)->applyUpdate(update.items, update.revision, update.reportedRevision, update.isSnapshot);
    TimePoint& confirmed = updatesConfirmedAt_.try_emplace(update.prefix, confirmedAt).first->second;
    confirmed = std::max(confirmed, confirmedAt);
    if (!provenAt)
        return;
    TimePoint& newest = updatesProvenAt_.try_emplace(update.prefix, *provenAt).first->second;
    newest = std::max(newest, *provenAt);
}

void StoreRelay::download(const VmId& from, const StoreUpdate& update, TimePoint confirmedAt,
    std::optional<TimePoint> provenAt, TimePoint now)
{
    const auto running = downloads_.find(update.prefix);
    if (running != downloads_.end()) {
        UpdateDownload& download = running->second;
        // A newer update waits until the download of this one has ended, so that frequent changes do not restart it.
        if (!download.isStalled(settings_.partTimeout, now))
            return;
        if (download.update().packed->id == update.packed->id) {
            logInfo("store_download_continued",
                { { "source", from.text() }, { "former", download.source().text() }, { "prefix", update.prefix },
                    { "offset", std::to_string(download.nextRequest().offset) } });
            download.continueFrom(from, now);
            return requestPart(download);
        }
        downloads_.erase(running);
    }
    const auto started
        = downloads_.try_emplace(update.prefix, UpdateDownload(update, from, confirmedAt, provenAt, now)).first;
    requestPart(started->second);
}

void StoreRelay::requestPart(const UpdateDownload& download)
{
    // Without an answer the next update that offers the package continues the download.
    if (network_)
        network_->send(download.source(), "", download.nextRequest());
}

void StoreRelay::onPartRequest(const VmId& from, const StorePartRequest& request)
{
    StorePart part;
    part.package = request.package;
    part.offset = request.offset;
    part.bytes = packages_.readPart(request.package, request.offset);
    if (network_)
        network_->send(from, "", part);
}

void StoreRelay::onPart(const VmId& from, const StorePart& part, TimePoint now)
{
    const auto found = std::find_if(downloads_.begin(), downloads_.end(),
        [&part](const auto& entry) { return entry.second.update().packed->id == part.package; });
    if (found == downloads_.end())
        return;
    UpdateDownload& download = found->second;
    if (from == download.source() && part.bytes.empty()) {
        logInfo("store_download_ended",
            { { "source", from.text() }, { "prefix", found->first }, { "outcome", "package_gone" } });
        downloads_.erase(found);
        return;
    }
    if (!download.addPart(part, now))
        return;
    lastUpdateAt_ = now;
    if (!download.isComplete())
        return requestPart(download);
    const UpdateDownload complete = std::move(download);
    downloads_.erase(found);
    applyDownload(complete, now);
}

void StoreRelay::applyDownload(const UpdateDownload& download, TimePoint now)
{
    StoreUpdate update = download.update();
    Result<std::vector<StoreItem>, std::string> items = download.unpack();
    logInfo("store_download_ended",
        { { "source", download.source().text() }, { "prefix", update.prefix },
            { "outcome", items ? "ok" : items.error() }, { "revision", std::to_string(update.revision) },
            { "bytes", std::to_string(update.packed->bytes) },
            { "ms", std::to_string(std::chrono::duration_cast<Milliseconds>(now - download.startedAt()).count()) } });
    if (!items)
        return;
    update.items = std::move(items.value());
    applyUpdate(update, download.confirmedAt(), download.provenAt());
}

void StoreRelay::onLoss(const VmId& peer)
{
    if (peer != queriedSource_)
        return;
    // The next tick queries another source; the store is called only when no source provides updates for a while.
    queriedSource_ = VmId();
    queriedAt_ = TimePoint {};
    isQueryAnswered_ = true;
}

void StoreRelay::watchDirectly(const std::string& reason)
{
    if (!source_.isEmpty())
        logInfo("store_followed_directly", { { "former_source", source_.text() }, { "reason", reason } });
    source_ = VmId();
    queriedSource_ = VmId();
    answeredPrefixes_.clear();
    for (PrefixFollower* follower : followers_)
        follower->resume();
}

} // namespace almondlever
