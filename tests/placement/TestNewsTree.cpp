#include "almondlever/placement/NewsTree.h"

#include <criterion/criterion.h>
#include <map>

using namespace almondlever;

namespace {

/** A fleet over six failure domains; three VMs of each have four times the capacity of the others. */
MembershipView makeFleet(std::size_t size)
{
    MembershipView view;
    for (std::size_t number = 0; number < size; ++number) {
        LiveDaemon daemon;
        // The numbers have the same length, so that the view is sorted by id.
        daemon.id = VmId("vm-" + std::to_string(100000 + number));
        daemon.failureDomain = FailureDomainId("domain-" + std::to_string(number % 6));
        daemon.capacity = number < 18 ? 50 : 12;
        view.daemons.push_back(daemon);
    }
    return view;
}

} // namespace

// Pattern: 295 daemons asked three small VMs, which fell behind, lost answers of endpoints and doubted their primaries.
// Guards against a daemon whose work grows with the fleet.
Test(NewsTree, nobodyAnswersMoreThanAFewAtAnySize)
{
    for (const std::size_t size : { 8, 72, 295, 1200 }) {
        const MembershipView view = makeFleet(size);
        const NewsTreeSettings settings;
        std::map<VmId, std::size_t> asked;
        std::size_t watchers = 0;
        for (const LiveDaemon& daemon : view.daemons) {
            const NewsPlace place = placeInNewsTree(view, daemon.id, settings);
            watchers += place.isWatcher ? 1 : 0;
            cr_assert(place.isWatcher || !place.sources.empty());
            if (!place.isWatcher)
                ++asked[place.sources.front().id];
        }
        cr_assert_eq(watchers, 3U);
        for (const auto& [id, count] : asked)
            cr_assert_leq(count, size > 1000 ? 60U : 40U, "%s is asked by %zu of %zu", id.text().c_str(), count, size);
    }
}

// Guards against small VMs that carry the news of all while larger ones idle.
Test(NewsTree, strongerVmsAreChosen)
{
    const MembershipView view = makeFleet(295);
    for (const LiveDaemon& daemon : view.daemons) {
        const NewsPlace place = placeInNewsTree(view, daemon.id, NewsTreeSettings());
        if (place.isWatcher)
            cr_assert_eq(daemon.capacity, 50U);
    }
}

// Guards against news that cross between failure domains once for each daemon.
Test(NewsTree, daemonsAskTheirOwnFailureDomain)
{
    const MembershipView view = makeFleet(295);
    for (const LiveDaemon& daemon : view.daemons) {
        const NewsPlace place = placeInNewsTree(view, daemon.id, NewsTreeSettings());
        if (place.isWatcher || place.isRelay)
            continue;
        cr_assert_geq(place.sources.size(), 2U, "one source may fail");
        for (const LiveDaemon& source : place.sources) {
            cr_assert(source.failureDomain == daemon.failureDomain);
            cr_assert(placeInNewsTree(view, source.id, NewsTreeSettings()).isRelay);
        }
    }
}

// Guards against daemons that choose a VM which is about to leave.
Test(NewsTree, nobodyAsksWhoLeaves)
{
    MembershipView view = makeFleet(295);
    for (std::size_t number = 0; number < 18; ++number)
        view.daemons[number].isLeaving = true;
    for (const LiveDaemon& daemon : view.daemons) {
        for (const LiveDaemon& source : placeInNewsTree(view, daemon.id, NewsTreeSettings()).sources)
            cr_assert(!source.isLeaving);
    }
}
