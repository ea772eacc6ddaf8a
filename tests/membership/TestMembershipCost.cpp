#include "FakeFleet.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <sstream>

using namespace almondlever;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t seed = 20261204;
constexpr std::size_t watchers = 3;
/** The part of the control-traffic budget of 5 KB/s that membership may use. */
constexpr double budgetBytesPerSecond = 2048;
/** Time between VM replacements at design size, 1,400 a day. */
constexpr seconds replacementInterval { 61 };

/** WebSocket ping and pong with headers, every 10 s, on a channel that carries nothing else. */
constexpr double pingBytesPerSecond = 2 * 48 / 10.0;

double inSeconds(Duration span) { return std::chrono::duration<double>(span).count(); }

struct Cost {
    double meanBytes = 0;
    double largestBytes = 0;
    double meanMessages = 0;
};

Cost costOf(FakeFleet& fleet)
{
    Cost cost;
    double count = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (!fleet.isRunning(index))
            continue;
        ++count;
        const double bytes = static_cast<double>(fleet.bytes(index)) / fleet.secondsCounted();
        cost.meanBytes += bytes;
        cost.largestBytes = std::max(cost.largestBytes, bytes);
        cost.meanMessages += static_cast<double>(fleet.messages(index)) / fleet.secondsCounted();
    }
    const double pings = pingBytesPerSecond * 2 * static_cast<double>(fleet.openChannels()) / count;
    cost.meanBytes = cost.meanBytes / count + pings;
    cost.largestBytes += pings;
    cost.meanMessages /= count;
    return cost;
}

/** Delivers the VM list to the watchers one after the other. */
void deliverListToWatchers(FakeFleet& fleet, std::uint64_t version)
{
    for (std::size_t watcher = 0; watcher < watchers; ++watcher) {
        fleet.deliverVmList(watcher, fleet.list(), version);
        fleet.run(Milliseconds(300));
    }
}

/** Replaces a VM: shows it as leaving, stops it after 10 s, drops it from the list and lets another join. */
void replaceOne(FakeFleet& fleet, std::size_t victim, std::size_t number, std::uint64_t& version)
{
    auto& list = fleet.list();
    const VmId id = fleet.self(victim).id;
    const auto entry
        = std::find_if(list.begin(), list.end(), [&id](const VmListEntry& candidate) { return candidate.id == id; });
    entry->state = VmState::Leaving;
    deliverListToWatchers(fleet, ++version);
    fleet.leave(victim);
    fleet.run(seconds(10));
    fleet.kill(victim);
    list.erase(entry);
    deliverListToWatchers(fleet, ++version);
    list.push_back(FakeFleet::entry(number));
    fleet.boot(list.back(), true);
    deliverListToWatchers(fleet, ++version);
}

void measure(std::size_t size)
{
    cr_assert(size >= watchers + 3, "%zu members: two are replaced and one killed beside the watchers", size);
    FakeFleet fleet(size, seed);
    fleet.run(seconds(90));
    fleet.resetCounts();
    fleet.run(seconds(60));
    const Cost steady = costOf(fleet);
    std::printf("members=%zu steady bytes_per_s=%.0f largest_bytes_per_s=%.0f messages_per_s=%.2f channels=%.1f\n",
        size, steady.meanBytes, steady.largestBytes, steady.meanMessages,
        2.0 * static_cast<double>(fleet.openChannels()) / static_cast<double>(size));

    std::uint64_t version = 1;
    fleet.resetCounts();
    for (std::size_t number = 0; number < 2; ++number) {
        const TimePoint start = fleet.now;
        replaceOne(fleet, watchers + number, size + number, version);
        fleet.run(replacementInterval - (fleet.now - start));
    }
    const Cost replacing = costOf(fleet);
    std::printf(
        "members=%zu replacing bytes_per_s=%.0f largest_bytes_per_s=%.0f messages_per_s=%.2f largest_message=%zu\n",
        size, replacing.meanBytes, replacing.largestBytes, replacing.meanMessages, fleet.largestMessageBytes);

    const VmId endpoint("endpoint-vm");
    fleet.list().push_back({ endpoint, VmState::Leaving, FailureDomainId("domain-1"), "" });
    fleet.deliverVmList(0, fleet.list(), ++version);
    const auto isKnown = [&](Membership& membership) { return membership.leavingVms().count(endpoint) != 0; };
    const Duration leaving = fleet.timeUntil([&] { return fleet.all(isKnown); }, seconds(60));

    const VmId victim = fleet.self(size - 1).id;
    fleet.kill(size - 1);
    const Duration death = fleet.timeUntil([&] { return fleet.noneContains(victim); }, seconds(120));
    fleet.run(seconds(20));
    std::size_t falseDeaths = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.isRunning(index))
            falseDeaths += size - 1 - std::min(size - 1, fleet.at(index).view().daemons.size());
    }
    std::printf("members=%zu leaving_known_s=%.2f death_known_s=%.2f missing_entries=%zu\n", size, inSeconds(leaving),
        inSeconds(death), falseDeaths);

    cr_expect(steady.meanBytes <= budgetBytesPerSecond, "%zu: %.0f", size, steady.meanBytes);
    cr_expect(replacing.meanBytes <= budgetBytesPerSecond, "%zu: %.0f", size, replacing.meanBytes);
    cr_expect(inSeconds(leaving) <= (size <= 9 ? 3 : 10), "%zu: %.2f", size, inSeconds(leaving));
    cr_expect(inSeconds(death) < 120, "%zu: %.2f", size, inSeconds(death));
    cr_expect(falseDeaths == 0, "%zu: %zu", size, falseDeaths);
}

} // namespace

// Guards against traffic that grows with the fleet and against updates that reach some daemons too late.
// ALMONDLEVER_FLEET_SIZES sets the sizes to measure, for example "9 100 1000 4400". The largest needs about 4 GB of
// memory.
Test(MembershipCost, staysWithinBudget)
{
    const char* sizes = std::getenv("ALMONDLEVER_FLEET_SIZES");
    std::istringstream stream(sizes == nullptr ? "9 100" : sizes);
    std::size_t size = 0;
    while (stream >> size)
        measure(size);
    std::fflush(stdout);
}
