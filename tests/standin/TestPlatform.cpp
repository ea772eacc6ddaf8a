#include "standin/KeyValueStore.h"
#include "standin/NetworkModel.h"
#include "standin/VmRegistry.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::standin;

namespace {

const TimePoint start {};

} // namespace

// Guards against two operators who both switch the configuration head.
Test(KeyValueStore, changesOnlyFromExpectedRevision)
{
    KeyValueStore store;
    const KeyValueChange first = store.compareAndSwap("head", 0, "1", std::nullopt, start);
    cr_assert(first.isDone);
    cr_assert(!store.compareAndSwap("head", 0, "2", std::nullopt, start).isDone);
    cr_assert(!store.remove("head", first.revision + 1).isDone);
    cr_assert(store.remove("head", first.revision).isDone);
    const KeyValueChange again = store.compareAndSwap("head", 0, "3", std::nullopt, start);
    cr_assert(again.isDone && again.revision > first.revision + 1, "a revision must never be reused");
}

// Guards against leases that outlive their holder, and against renewals that are ignored.
Test(KeyValueStore, deletesKeyWhenLeaseEnds)
{
    KeyValueStore store;
    const auto revision = store.compareAndSwap("lease", 0, "vm-1", Milliseconds(100), start).revision;
    cr_assert(store.compareAndSwap("lease", revision, "vm-1", Milliseconds(100), start + Milliseconds(50)).isDone);
    cr_assert(store.expire(start + Milliseconds(149)).empty());
    cr_assert(store.expire(start + Milliseconds(150)).size() == 1);
    cr_assert(store.find("lease") == nullptr);
}

// Guards against a rate limit that admits more than a second's calls at once or never recovers.
Test(CallRate, admitsRateAndRefusesMore)
{
    CallRate rate(10);
    for (int call = 0; call < 10; ++call)
        cr_assert(rate.admit(start));
    cr_assert(!rate.admit(start));
    cr_assert(rate.admit(start + Milliseconds(100)));
    cr_assert(!rate.admit(start + Milliseconds(100)));
    cr_assert(rate.refused() == 2 && rate.peakPerSecond() == 13);
}

// Guards against a list that shows changes at once, or lets a removed id return.
Test(VmRegistry, showsChangesAfterLag)
{
    VmRegistry registry;
    registry.setLag(Milliseconds(500));
    registry.addInitially({ VmId("vm-1"), VmState::Live, FailureDomainId("khomas-a"), "" });
    cr_assert(registry.setState(VmId("vm-1"), VmState::Leaving, start));
    cr_assert(registry.list(start + Milliseconds(499))[0].state == VmState::Live);
    cr_assert(registry.list(start + Milliseconds(500))[0].state == VmState::Leaving);
    cr_assert(registry.remove(VmId("vm-1"), start));
    cr_assert(!registry.add({ VmId("vm-1"), VmState::Live, FailureDomainId("khomas-a"), "" }, start));
    cr_assert(registry.list(start + Milliseconds(500)).empty());
}

// Guards against partitions that let bytes through in one direction or cut off others.
Test(NetworkModel, blocksBothDirectionsOfPartition)
{
    NetworkModel network;
    network.addFailureDomain("khomas-a", "khomas");
    network.addFailureDomain("erongo-a", "erongo");
    network.setLatencies({ Milliseconds(1), Milliseconds(2), Milliseconds(12) });
    network.placeVm("vm-1", "khomas-a");
    network.placeVm("vm-2", "erongo-a");
    const Place first = network.placeOfVm("vm-1");
    const Place second = network.placeOfVm("vm-2");
    network.setLatencyFactor(3);
    cr_assert(network.latency(first, second) == Milliseconds(36));
    cr_assert(network.latency(network.placeOfVm("stranger"), second) == Duration::zero());
    network.partitionDomains("khomas-a", "erongo-a");
    cr_assert(network.isBlocked(first, second) && network.isBlocked(second, first));
    cr_assert(!network.isBlocked(first, first));
    network.healAll();
    network.isolateVm("vm-1");
    cr_assert(network.isBlocked(second, first) && !network.isBlocked(second, second));
}
