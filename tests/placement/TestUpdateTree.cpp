#include "almondlever/placement/UpdateTree.h"

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

// 295 daemons queried three small VMs, which became overloaded, lost answers from endpoints and suspected their
// primaries. Guards against a daemon whose load grows with the fleet.
Test(UpdateTree, boundsRequestersPerDaemonAtAnySize)
{
    for (const std::size_t size : { 8, 72, 295, 1200 }) {
        const MembershipView view = makeFleet(size);
        const UpdateTreeSettings settings;
        std::map<VmId, std::size_t> asked;
        std::size_t watchers = 0;
        for (const LiveDaemon& daemon : view.daemons) {
            const UpdateTreePosition position = positionInUpdateTree(view, daemon.id, settings);
            watchers += position.isWatcher ? 1 : 0;
            cr_assert(position.isWatcher || !position.sources.empty());
            if (!position.isWatcher)
                ++asked[position.sources.front().id];
        }
        cr_assert_eq(watchers, 3U);
        for (const auto& [id, count] : asked)
            cr_assert_leq(count, size > 1000 ? 60U : 40U, "%s is asked by %zu of %zu", id.text().c_str(), count, size);
    }
}

// Guards against small VMs distributing the updates for all while larger ones are idle.
Test(UpdateTree, prefersVmsWithMoreCapacity)
{
    const MembershipView view = makeFleet(295);
    for (const LiveDaemon& daemon : view.daemons) {
        const UpdateTreePosition position = positionInUpdateTree(view, daemon.id, UpdateTreeSettings());
        if (position.isWatcher)
            cr_assert_eq(daemon.capacity, 50U);
    }
}

// Guards against updates that cross between failure domains once per daemon.
Test(UpdateTree, queriesRelaysInOwnFailureDomain)
{
    const MembershipView view = makeFleet(295);
    for (const LiveDaemon& daemon : view.daemons) {
        const UpdateTreePosition position = positionInUpdateTree(view, daemon.id, UpdateTreeSettings());
        if (position.isWatcher || position.isRelay)
            continue;
        cr_assert_geq(position.sources.size(), 2U, "one source may fail");
        for (const LiveDaemon& source : position.sources) {
            cr_assert(source.failureDomain == daemon.failureDomain);
            cr_assert(positionInUpdateTree(view, source.id, UpdateTreeSettings()).isRelay);
        }
    }
}

// Guards against querying a daemon that is leaving.
Test(UpdateTree, neverQueriesLeavingDaemons)
{
    MembershipView view = makeFleet(295);
    for (std::size_t number = 0; number < 18; ++number)
        view.daemons[number].isLeaving = true;
    for (const LiveDaemon& daemon : view.daemons) {
        for (const LiveDaemon& source : positionInUpdateTree(view, daemon.id, UpdateTreeSettings()).sources)
            cr_assert(!source.isLeaving);
    }
}
