#include "almondlever/failover/FailoverCoordinator.h"
#include "mocks/SampleConfiguration.h"

#include <criterion/criterion.h>

using namespace almondlever;
using namespace std::chrono_literals;

namespace {

const EndpointId primary("ledger-1-a");

/** An observer in a large fleet, with a long probe interval and a known, healthy primary. */
struct ObserverOfHealthyPrimary {
    ObserverOfHealthyPrimary()
    {
        settings.healthyProbeInterval = Milliseconds(3000);
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
        // Skip the probes that are due at the start.
        for (int i = 0; i < 20; ++i)
            tick();
    }

    /** Answers all probes at once; returns the number of probes of the primary. */
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

// Guards against probe traffic that exceeds the control budget of a large fleet while the primary is healthy.
Test(ProbeIntervals, healthyPrimaryIsProbedRarely)
{
    ObserverOfHealthyPrimary observer;
    cr_assert(observer.probesWithin(6000ms) <= 2);
}

// Guards against a long write gap in a large fleet: a failed statement must trigger probes here and on other observers.
Test(ProbeIntervals, failedStatementTriggersProbesAndReport)
{
    ObserverOfHealthyPrimary observer;
    bool isReported = false;
    for (const FailoverAction& action : observer.coordinator->onPrimaryFailed(primary, observer.now))
        isReported = isReported || std::holds_alternative<ReportSuspicionAction>(action);
    cr_assert(isReported);
    cr_assert(observer.probesWithin(500ms) >= 2);
}

// Guards against slow agreement: a report of another observer must trigger probes at once.
Test(ProbeIntervals, reportOfAnotherObserverTriggersProbes)
{
    ObserverOfHealthyPrimary observer;
    observer.coordinator->onSuspicion({ DatabaseId("ledger-1"), VmId("vm-2"), 1, primary, false }, observer.now);
    cr_assert(observer.probesWithin(500ms) >= 2);
}
