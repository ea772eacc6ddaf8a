#include "mocks/FakeFleet.h"

#include <criterion/criterion.h>
#include <random>
#include <set>

using namespace almondlever;

namespace {

/** Time in which a configuration must be in force everywhere. */
constexpr Milliseconds applyLimit { 5000 };
/** 10 Mbit/s. */
constexpr std::size_t slowLink = 1250 * 1000;

std::vector<std::string> letters()
{
    std::vector<std::string> names;
    for (char name = 'a'; name <= 'z'; ++name)
        names.emplace_back(1, name);
    return names;
}

/** A configuration with routes like those of an operator, each with names of its own. */
std::string makeConfiguration(std::size_t routes, unsigned seed)
{
    std::mt19937 random(seed);
    const auto word = [&random] {
        std::string text;
        for (int i = 0; i < 7; ++i)
            text += static_cast<char>('a' + random() % 26);
        return text;
    };
    std::string text = "{\"version\":" + std::to_string(seed) + ",\"routes\":[";
    for (std::size_t route = 0; route < routes; ++route)
        text += "{\"name\":\"r-" + word() + "\",\"database\":\"" + word()
            + "10\",\"prefix\":\"/\",\"type\":\"read_your_writes\",\"timeout-ms\":1000,\"target-latency-ms\":2000,"
              "\"priority\":2,\"service\":\"huvo11a\",\"max-attempts\":2,\"max-staleness-ms\":2500},";
    return text + "{}]}";
}

} // namespace

// The operator's configuration grows by 3,000 routes, and daemons have links of 10 Mbit/s. Guards against the same
// update being requested again while it is under way, and complete updates being dropped, until no daemon receives one.
Test(StoreUpdates, largeConfigurationReachesDaemonsWithSlowLinks)
{
    FakeFleet fleet(letters(), 2, 4);
    fleet.bytesPerSecond = slowLink;
    fleet.run(Milliseconds(3000));
    std::map<VmId, std::size_t> before;
    std::size_t callsBefore = 0;
    for (const auto* daemon : fleet.others()) {
        before[daemon->id] = daemon->bytesReceived;
        callsBefore += daemon->store.calls;
    }
    const std::string large = makeConfiguration(3000, 2);
    fleet.put(large);
    fleet.run(applyLimit);
    for (const auto* daemon : fleet.others()) {
        cr_assert(daemon->configuration == large, "%s has an older configuration", daemon->id.text().c_str());
        cr_assert_lt(daemon->bytesReceived - before[daemon->id], large.size() * 2, "%s", daemon->id.text().c_str());
    }
    std::size_t callsAfter = 0;
    for (const auto* daemon : fleet.others())
        callsAfter += daemon->store.calls;
    cr_assert_eq(callsAfter, callsBefore, "daemons behind relays call the store");
}

// Guards against a change that waits until the transfers of the one before it have ended.
Test(StoreUpdates, changesOfALargeConfigurationFollowEachOther)
{
    FakeFleet fleet(letters(), 2, 4);
    fleet.bytesPerSecond = slowLink;
    for (unsigned version = 2; version < 6; ++version) {
        fleet.put(makeConfiguration(3000, version));
        fleet.run(Milliseconds(500));
    }
    const std::string last = makeConfiguration(3000, 6);
    fleet.put(last);
    fleet.run(applyLimit);
    for (const auto* daemon : fleet.others())
        cr_assert(daemon->configuration == last, "%s has an older configuration", daemon->id.text().c_str());
}

// Daemons of the former version neither request packages nor offer them. Guards against such a daemon that gets a large
// update in a form that it cannot read.
Test(StoreUpdates, formerVersionGetsPlainUpdates)
{
    FakeFleet fleet;
    fleet.bytesPerSecond = slowLink;
    const std::string large = makeConfiguration(3000, 2);
    fleet.put(large);
    fleet.run(applyLimit);
    auto& watcher = *fleet.watchers()[0];
    auto& former = *fleet.others()[0];
    std::vector<StoreUpdate> received;
    former.onStoreUpdate = [&received](const StoreUpdate& update) { received.push_back(update); };
    StoreUpdateRequest request;
    request.known = { { "op/", 1 } };
    request.number = 1;
    former.send(watcher.id, "x", request);
    fleet.run(Milliseconds(1000));
    const auto plain = std::find_if(
        received.begin(), received.end(), [](const StoreUpdate& update) { return !update.items.empty(); });
    cr_assert(plain != received.end());
    cr_assert_eq(plain->items[0].value, large);
    cr_assert(!plain->packed);
}

// The source of a download is lost in the middle. Guards against a download that never continues.
Test(StoreUpdates, downloadContinuesFromAnotherSource)
{
    FakeFleet fleet;
    fleet.bytesPerSecond = slowLink / 10;
    fleet.run(Milliseconds(2000));
    auto& daemon = *fleet.others()[0];
    const std::string large = makeConfiguration(9000, 2);
    fleet.put(large);
    while (daemon.partsReceived < 2)
        fleet.run(Milliseconds(25));
    cr_assert_neq(daemon.configuration, large);
    fleet.daemons.at(daemon.relay.source())->isCut = true;
    fleet.run(applyLimit);
    cr_assert_eq(daemon.configuration, large);
}

// A change comes each 0.3 s, while a download takes longer. Guards against downloads that are given up for the next
// change each time, so that none ends.
Test(StoreUpdates, downloadsEndInAStormOfChanges)
{
    FakeFleet fleet;
    fleet.bytesPerSecond = slowLink / 5;
    fleet.run(Milliseconds(2000));
    std::map<VmId, std::set<std::string>> seen;
    for (unsigned version = 2; version < 22; ++version) {
        fleet.put(makeConfiguration(9000, version));
        fleet.run(Milliseconds(300));
        for (const auto* daemon : fleet.others())
            seen[daemon->id].insert(daemon->configuration);
    }
    for (const auto* daemon : fleet.others())
        cr_assert_geq(seen[daemon->id].size(), 4U, "%s", daemon->id.text().c_str());
}
