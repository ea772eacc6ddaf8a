#include "almondlever/failover/FailoverCoordinator.h"
#include "mocks/SampleConfiguration.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace std::chrono_literals;

namespace {

const EndpointId primary("ledger-1-a");

/** An observer of a large fleet, which probes seldom, and which knows its primary. */
struct CalmObserver {
    CalmObserver()
    {
        settings.calmProbeInterval = Milliseconds(3000);
        coordinator = makeFailoverCoordinator(makeSampleConfiguration()->databases[0], VmId("vm-1"), settings, now);
        coordinator->setObservers({ { VmId("vm-1"), FailureDomainId("zone-a") },
            { VmId("vm-2"), FailureDomainId("zone-b") }, { VmId("vm-3"), FailureDomainId("zone-c") } });
        for (const char* zone : { "a", "b", "c" }) {
            EndpointStatus status;
            status.endpoint = EndpointId(std::string("ledger-1-") + zone);
            status.promisedTerm = 1;
            status.logEnd = { 1, 1 };
            const bool isLeading = status.endpoint == primary;
            status.role = isLeading ? EndpointRole::Primary : EndpointRole::Replica;
            status.following = isLeading ? EndpointId() : primary;
            coordinator->onStatus(status.endpoint, status, now);
        }
        // Past the probes that were due at the start.
        for (int i = 0; i < 20; ++i)
            tick();
    }

    /** Answers all probes at once; returns how often the primary was probed. */
    int tick()
    {
        now += 20ms;
        int probes = 0;
        for (const FailoverAction& action : coordinator->onTick(now)) {
            const auto* probe = std::get_if<ProbeAction>(&action);
            if (!probe)
                continue;
            probes += probe->endpoint == primary ? 1 : 0;
            EndpointStatus status;
            status.endpoint = probe->endpoint;
            status.promisedTerm = 1;
            status.role = probe->endpoint == primary ? EndpointRole::Primary : EndpointRole::Replica;
            status.following = probe->endpoint == primary ? EndpointId() : primary;
            coordinator->onStatus(probe->endpoint, status, now);
        }
        return probes;
    }

    int probesWithin(Milliseconds time)
    {
        int probes = 0;
        for (Milliseconds passed { 0 }; passed < time; passed += 20ms)
            probes += tick();
        return probes;
    }

    FailoverSettings settings;
    TimePoint now { 1h };
    std::unique_ptr<FailoverCoordinator> coordinator;
};

} // namespace

// Guards the control budget: without a doubt a large fleet probes seldom.
Test(ProbeIntervals, calmObserverProbesSeldom)
{
    CalmObserver observer;
    cr_assert(observer.probesWithin(6000ms) <= 2);
}

// Guards the write gap on a large fleet: a doubt from traffic must be followed by probes at once, and be passed on.
Test(ProbeIntervals, doubtFromTrafficProbesAtOnceAndTellsOthers)
{
    CalmObserver observer;
    bool isReported = false;
    for (const FailoverAction& action : observer.coordinator->onPrimaryFailed(primary, observer.now))
        isReported = isReported || std::holds_alternative<ReportSuspicionAction>(action);
    cr_assert(isReported);
    cr_assert(observer.probesWithin(500ms) >= 2);
}

// Guards the agreement of observers: another observer's doubt must be followed by probes at once.
Test(ProbeIntervals, doubtOfAnotherObserverProbesAtOnce)
{
    CalmObserver observer;
    observer.coordinator->onSuspicion({ DatabaseId("ledger-1"), VmId("vm-2"), 1, primary, false }, observer.now);
    cr_assert(observer.probesWithin(500ms) >= 2);
}
