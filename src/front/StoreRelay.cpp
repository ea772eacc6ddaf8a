#include "almondlever/front/StoreRelay.h"

#include "almondlever/observability/DecisionLog.h"
#include "almondlever/placement/Placement.h"

#include <algorithm>

namespace almondlever {

void StoreRelay::setMembers(const MembershipView& view)
{
    watchers_.clear();
    for (const VmId& id : watchersOf(view, settings_.watchers))
        watchers_.push_back(*view.find(id));
    isWatcher_ = std::any_of(
        watchers_.begin(), watchers_.end(), [this](const LiveDaemon& watcher) { return watcher.id == settings_.self; });
    for (PrefixFollower* follower : followers_)
        follower->setWait(isWatcher_ ? settings_.watcherWait : PrefixFollower::watchWait);
    if (isWatcher_)
        watchAlone("this daemon is a watcher");
}

const LiveDaemon* StoreRelay::nextWatcher()
{
    for (const LiveDaemon& watcher : watchers_) {
        if (watcher.id == asked_)
            return &watcher;
    }
    if (watchers_.empty())
        return nullptr;
    const LiveDaemon& watcher = watchers_[nextWatcher_++ % watchers_.size()];
    asked_ = watcher.id;
    answered_.clear();
    return &watcher;
}

void StoreRelay::onTick(TimePoint now)
{
    if (isWatcher_ || !network_)
        return;
    if (!source_.isEmpty() && now - newsAt_ > settings_.patience)
        watchAlone("no news from the watcher");
    if (now - askedAt_ >= settings_.askInterval)
        ask(now);
}

void StoreRelay::ask(TimePoint now)
{
    askedAt_ = now;
    if (source_.isEmpty())
        asked_ = VmId();
    const LiveDaemon* watcher = nextWatcher();
    if (!watcher)
        return;
    StoreNewsRequest request;
    for (const PrefixFollower* follower : followers_)
        request.known.push_back({ follower->prefix(), follower->revision() });
    if (!network_->send(watcher->id, watcher->peerAddress, request))
        onLoss(watcher->id);
}

void StoreRelay::onRequest(const VmId& from, const StoreNewsRequest& request, TimePoint now)
{
    for (const StoreNewsRequest::Known& known : request.known) {
        const auto follower = std::find_if(followers_.begin(), followers_.end(),
            [&known](const PrefixFollower* candidate) { return candidate->prefix() == known.prefix; });
        if (follower == followers_.end())
            continue;
        const std::optional<TimePoint> confirmed = (*follower)->confirmedAt();
        if (!isWatcher_ || !confirmed)
            continue;
        const StoreCache& cache = caches_[known.prefix];
        StoreNews news;
        news.prefix = known.prefix;
        news.revision = (*follower)->revision();
        news.age = std::chrono::duration_cast<Milliseconds>(now - *confirmed);
        news.isSnapshot = cache.needsSnapshot(known.revision);
        news.items = news.isSnapshot ? cache.all() : cache.changesSince(known.revision);
        if (network_)
            network_->send(from, "", news);
    }
}

void StoreRelay::onNews(const VmId& from, const StoreNews& news, TimePoint now)
{
    if (isWatcher_ || from != asked_ || news.age > settings_.oldestNews)
        return;
    const auto follower = std::find_if(followers_.begin(), followers_.end(),
        [&news](const PrefixFollower* candidate) { return candidate->prefix() == news.prefix; });
    if (follower == followers_.end())
        return;
    // A watcher that is behind this daemon is not relied on; it catches up with its next call.
    if (news.revision < (*follower)->revision())
        return;
    answered_.insert(news.prefix);
    if (source_.isEmpty() && answered_.size() == followers_.size()) {
        source_ = from;
        logInfo("store_followed_through_peer", { { "watcher", from.text() } });
        for (PrefixFollower* each : followers_)
            each->pause();
    }
    if (source_ == from) {
        (*follower)->takeNews(news.items, news.revision, news.isSnapshot);
        // All prefixes must stay fresh; the oldest answer counts.
        if (answered_.size() == followers_.size()) {
            newsAt_ = now;
            answered_.clear();
        }
    }
}

void StoreRelay::onLoss(const VmId& peer)
{
    if (peer == source_)
        watchAlone("the watcher cannot be reached");
    if (peer == asked_)
        asked_ = VmId();
}

void StoreRelay::watchAlone(const std::string& reason)
{
    if (!source_.isEmpty())
        logInfo("store_followed_directly", { { "former_watcher", source_.text() }, { "reason", reason } });
    source_ = VmId();
    asked_ = VmId();
    answered_.clear();
    for (PrefixFollower* follower : followers_)
        follower->resume();
}

} // namespace almondlever
