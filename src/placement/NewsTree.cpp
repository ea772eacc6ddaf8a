#include "almondlever/placement/NewsTree.h"

#include "Rendezvous.h"

#include <algorithm>

namespace almondlever {

namespace {

    const char* const watchersKey = "store watchers";
    const char* const relaysKey = "store relays of ";

    std::vector<VmId> choose(const std::vector<LiveDaemon>& from, std::size_t count, const std::string& key)
    {
        std::uint32_t most = 0;
        for (const LiveDaemon& daemon : from)
            most = std::max(most, daemon.isLeaving ? 0 : daemon.capacity);
        MembershipView strong;
        for (const LiveDaemon& daemon : from) {
            // VMs within a factor of two of the strongest bear the same work.
            if (!daemon.isLeaving && 2 * daemon.capacity >= most)
                strong.daemons.push_back(daemon);
        }
        std::vector<VmId> chosen;
        completeSpread(chosen, count, key, strong);
        if (chosen.size() < count) {
            MembershipView all;
            all.daemons = from;
            completeSpread(chosen, count, key, all);
        }
        return chosen;
    }

    bool contains(const std::vector<VmId>& ids, const VmId& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    /** The chosen daemons, beginning with another one for each asker, so that askers spread. */
    std::vector<LiveDaemon> inOrderFor(const VmId& asker, const std::vector<VmId>& chosen, const MembershipView& view)
    {
        std::vector<LiveDaemon> ordered;
        const std::size_t first = chosen.empty() ? 0 : hashName(asker.text()) % chosen.size();
        for (std::size_t number = 0; number < chosen.size(); ++number)
            ordered.push_back(*view.find(chosen[(first + number) % chosen.size()]));
        return ordered;
    }

} // namespace

NewsPlace placeInNewsTree(const MembershipView& view, const VmId& self, const NewsTreeSettings& settings)
{
    NewsPlace place;
    const std::vector<VmId> watchers = choose(view.daemons, settings.watchers, watchersKey);
    place.isWatcher = contains(watchers, self);
    if (place.isWatcher)
        return place;
    const bool isFlat = view.daemons.size() <= settings.watchers * settings.childrenOfRelay;
    const LiveDaemon* own = view.find(self);
    if (isFlat || !own) {
        place.sources = inOrderFor(self, watchers, view);
        return place;
    }
    std::vector<LiveDaemon> near;
    for (const LiveDaemon& daemon : view.daemons) {
        if (daemon.failureDomain == own->failureDomain && !contains(watchers, daemon.id))
            near.push_back(daemon);
    }
    const std::size_t needed = (near.size() + settings.childrenOfRelay - 1) / settings.childrenOfRelay;
    const std::vector<VmId> relays = choose(near, needed + settings.spareRelays, relaysKey + own->failureDomain.text());
    place.isRelay = contains(relays, self);
    place.asksRelays = !place.isRelay;
    place.sources = inOrderFor(self, place.isRelay ? watchers : relays, view);
    return place;
}

} // namespace almondlever
