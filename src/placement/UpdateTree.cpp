#include "almondlever/placement/UpdateTree.h"

#include "Rendezvous.h"

#include <algorithm>

namespace almondlever {

namespace {

    const char* const watchersKey = "store watchers";
    const char* const relaysKey = "store relays of ";
    const char* const alternativesKey = "store alternatives of ";

    bool contains(const std::vector<VmId>& ids, const VmId& id)
    {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    }

    /** The chosen daemons, rotated by a hash of the requester, so that requesters are spread over them. */
    std::vector<LiveDaemon> rotateForRequester(
        const VmId& requester, const std::vector<VmId>& chosen, const MembershipView& view)
    {
        std::vector<LiveDaemon> ordered;
        const std::size_t first = chosen.empty() ? 0 : hashName(requester.text()) % chosen.size();
        for (std::size_t number = 0; number < chosen.size(); ++number)
            ordered.push_back(*view.find(chosen[(first + number) % chosen.size()]));
        return ordered;
    }

} // namespace

UpdateTreePosition positionInUpdateTree(
    const MembershipView& view, const VmId& self, const UpdateTreeSettings& settings)
{
    UpdateTreePosition position;
    const std::vector<VmId> watchers = chooseStrong(view.daemons, settings.watchers, watchersKey);
    const std::size_t candidates = settings.alternatives + watchers.size() + 1;
    for (const VmId& id : chooseStrong(view.daemons, candidates, alternativesKey + self.text())) {
        if (id != self && !contains(watchers, id) && position.alternatives.size() < settings.alternatives)
            position.alternatives.push_back(*view.find(id));
    }
    position.isWatcher = contains(watchers, self);
    if (position.isWatcher) {
        position.sources = rotateForRequester(self, watchers, view);
        position.sources.erase(std::remove_if(position.sources.begin(), position.sources.end(),
                                   [&self](const LiveDaemon& daemon) { return daemon.id == self; }),
            position.sources.end());
        return position;
    }
    const bool hasTwoLayers = view.daemons.size() <= settings.watchers * settings.childrenPerRelay;
    const LiveDaemon* own = view.find(self);
    if (hasTwoLayers || !own) {
        position.sources = rotateForRequester(self, watchers, view);
        return position;
    }
    std::vector<LiveDaemon> domainDaemons;
    for (const LiveDaemon& daemon : view.daemons) {
        if (daemon.failureDomain == own->failureDomain && !contains(watchers, daemon.id))
            domainDaemons.push_back(daemon);
    }
    const std::size_t needed = (domainDaemons.size() + settings.childrenPerRelay - 1) / settings.childrenPerRelay;
    const std::vector<VmId> relays
        = chooseStrong(domainDaemons, needed + settings.spareRelays, relaysKey + own->failureDomain.text());
    position.isRelay = contains(relays, self);
    position.asksRelays = !position.isRelay;
    position.sources = rotateForRequester(self, position.isRelay ? watchers : relays, view);
    return position;
}

} // namespace almondlever
