#include "almondlever/front/StoreRelay.h"

#include "almondlever/observability/DecisionLog.h"

#include <algorithm>

namespace almondlever {

void StoreRelay::setMembers(const MembershipView& view)
{
    const bool wasRelay = place_.isRelay;
    place_ = placeInNewsTree(view, settings_.self, settings_.tree);
    if (place_.isRelay != wasRelay)
        logInfo("store_relay", { { "is_relay", place_.isRelay ? "yes" : "no" } });
    for (PrefixFollower* follower : followers_) {
        follower->setWait(place_.isWatcher ? settings_.watcherWait : PrefixFollower::watchWait);
        follower->setPauses(place_.isWatcher ? PrefixFollower::Pauses() : settings_.otherPauses);
    }
    if (place_.isWatcher)
        watchAlone("this daemon is a watcher");
}

const LiveDaemon* StoreRelay::nextSource()
{
    for (const LiveDaemon& source : place_.sources) {
        if (source.id == asked_)
            return &source;
    }
    if (place_.sources.empty())
        return nullptr;
    const LiveDaemon& source = place_.sources[nextSource_++ % place_.sources.size()];
    asked_ = source.id;
    answered_.clear();
    return &source;
}

void StoreRelay::onTick(TimePoint now)
{
    if (place_.isWatcher || !network_)
        return;
    if (!source_.isEmpty() && now - newsAt_ > settings_.patience)
        watchAlone("no news from any source");
    if (now - askedAt_ >= settings_.askInterval)
        ask(now);
}

void StoreRelay::ask(TimePoint now)
{
    askedAt_ = now;
    const bool isSilent = asked_ == source_ && now - newsAt_ > settings_.switchAfter;
    if (source_.isEmpty() || isSilent)
        asked_ = VmId();
    const LiveDaemon* source = nextSource();
    if (!source)
        return;
    StoreNewsRequest request;
    for (const PrefixFollower* follower : followers_)
        request.known.push_back({ follower->prefix(), follower->revision() });
    if (!network_->send(source->id, source->peerAddress, request))
        onLoss(source->id);
}

std::optional<TimePoint> StoreRelay::confirmedAt(const PrefixFollower& follower) const
{
    if (source_.isEmpty())
        return follower.confirmedAt();
    const auto found = newsConfirmedAt_.find(follower.prefix());
    return found == newsConfirmedAt_.end() ? std::nullopt : std::optional<TimePoint>(found->second);
}

void StoreRelay::onRequest(const VmId& from, const StoreNewsRequest& request, TimePoint now)
{
    if (!place_.isWatcher && !place_.isRelay)
        return;
    for (const StoreNewsRequest::Known& known : request.known) {
        const auto follower = std::find_if(followers_.begin(), followers_.end(),
            [&known](const PrefixFollower* candidate) { return candidate->prefix() == known.prefix; });
        if (follower == followers_.end())
            continue;
        const std::optional<TimePoint> confirmed = confirmedAt(**follower);
        if (!confirmed)
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
    const Milliseconds oldest = place_.asksRelays ? settings_.oldestRelayedNews : settings_.oldestNews;
    if (place_.isWatcher || from != asked_ || news.age > oldest)
        return;
    const auto follower = std::find_if(followers_.begin(), followers_.end(),
        [&news](const PrefixFollower* candidate) { return candidate->prefix() == news.prefix; });
    if (follower == followers_.end())
        return;
    // A source that is behind this daemon is not relied on; it catches up with its next call.
    if (news.revision < (*follower)->revision())
        return;
    answered_.insert(news.prefix);
    const bool hasAll = answered_.size() == followers_.size();
    if (source_ != from && hasAll) {
        logInfo("store_followed_through_peer", { { "source", from.text() }, { "former", source_.text() } });
        source_ = from;
        for (PrefixFollower* each : followers_)
            each->pause();
    }
    // A daemon that has followed another source takes what the next one says at once.
    if (!(*follower)->isPaused())
        return;
    (*follower)->takeNews(news.items, news.revision, news.isSnapshot);
    newsConfirmedAt_[news.prefix] = now - news.age;
    // All prefixes must stay fresh; the oldest answer counts.
    if (hasAll) {
        newsAt_ = now;
        answered_.clear();
    }
}

void StoreRelay::onLoss(const VmId& peer)
{
    if (peer != asked_)
        return;
    // The next one is asked with the next tick; the store is called only when no source has news for a while.
    asked_ = VmId();
    askedAt_ = TimePoint {};
}

void StoreRelay::watchAlone(const std::string& reason)
{
    if (!source_.isEmpty())
        logInfo("store_followed_directly", { { "former_source", source_.text() }, { "reason", reason } });
    source_ = VmId();
    asked_ = VmId();
    answered_.clear();
    newsConfirmedAt_.clear();
    for (PrefixFollower* follower : followers_)
        follower->resume();
}

} // namespace almondlever
