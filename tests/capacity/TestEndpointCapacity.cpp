#include "almondlever/capacity/GroupCapacity.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const StatementClass shortRead { StatementClass::Type::Read, 0 };
const StatementClass longRead { StatementClass::Type::Read, 1 };
const StatementClass commit { StatementClass::Type::Commit, 0 };
const EndpointId a("a");
const EndpointId b("b");
const std::vector<EndpointId> both { a, b };

/** A report of reads at endpoint a. */
GroupReport makeReport(std::uint64_t answers, std::uint64_t failures)
{
    GroupReport report;
    report.group = GroupId("ledger");
    report.period = Milliseconds(4000);
    EndpointReport entry;
    entry.endpoint = a;
    entry.kind = shortRead.number();
    entry.answers = answers;
    entry.failures = failures;
    entry.meanLatency = entry.unloadedLatency = Microseconds(20000);
    report.endpoints.push_back(entry);
    return report;
}

void answer(GroupCapacity& group, const EndpointId& id, std::size_t count, TimePoint now)
{
    for (std::size_t number = 0; number < count; ++number)
        group.endpoint(id).noteAnswer(shortRead, Milliseconds(20), 1, now);
}

} // namespace

// The callers change from short reads to long ones and commits, which take ten times as long. Guards against taking
// another mix of statements for a slow endpoint, which shrinks the window or ejects the endpoint.
Test(EndpointCapacity, anotherMixOfStatementsIsNoSlowness)
{
    GroupCapacity group(GroupId("ledger"));
    group.endpoint(a).setMaximum(7);
    TimePoint now(std::chrono::hours(1));
    const auto run = [&](const StatementClass& kind, Milliseconds latency) {
        for (int number = 0; number < 60; ++number) {
            now += Milliseconds(150);
            group.endpoint(a).noteAnswer(kind, latency, 3, now);
            group.endpoint(b).noteAnswer(shortRead, Milliseconds(10), 1, now);
            group.evaluate(both, now);
        }
    };
    run(shortRead, Milliseconds(10));
    const double window = group.endpoint(a).window();
    run(longRead, Milliseconds(100));
    run(commit, Milliseconds(220));
    cr_assert_geq(group.endpoint(a).window(), window);
    cr_assert(group.endpoint(a).state() == EndpointCapacity::State::Admitted);
    cr_assert(group.endpoint(a).excess(now) < Milliseconds(10));
}

// Guards against an estimate that needs many samples: six statements a second must show a slowdown within a second.
Test(EndpointCapacity, fewSamplesShowASlowdown)
{
    EndpointCapacity capacity;
    TimePoint now(std::chrono::hours(1));
    for (int number = 0; number < 30; ++number)
        capacity.noteAnswer(shortRead, Milliseconds(20), 1, now += Milliseconds(160));
    for (int number = 0; number < 6; ++number)
        capacity.noteAnswer(shortRead, Milliseconds(200), 1, now += Milliseconds(160));
    // From here the window shrinks, and an endpoint that is twice as slow without load is preferred.
    cr_assert(*capacity.expectedLatency(shortRead, now) > Milliseconds(20) + EndpointCapacity::toleratedExcess);
    // Without new statements the estimate returns, so that the endpoint is tried again.
    cr_assert(*capacity.expectedLatency(shortRead, now + std::chrono::seconds(12)) < Milliseconds(50));
}

// Guards against reports of others, whose own paths may be at fault, that eject an endpoint which answers this daemon.
Test(EndpointCapacity, reportsDoNotEjectWhatOwnStatementsProveGood)
{
    GroupCapacity group(GroupId("ledger"));
    const TimePoint now(std::chrono::hours(1));
    answer(group, a, 6, now);
    answer(group, b, 6, now);
    group.onReport(VmId("vm-2"), makeReport(10, 10), now);
    group.evaluate(both, now);
    cr_assert(group.endpoint(a).state() == EndpointCapacity::State::Admitted);
}

// Guards against a daemon that must see all failures itself although others have reported them.
Test(EndpointCapacity, reportsEjectWhatThisDaemonDoesNotKnow)
{
    GroupCapacity group(GroupId("ledger"));
    const TimePoint now(std::chrono::hours(1));
    answer(group, a, 1, now);
    answer(group, b, 6, now);
    group.onReport(VmId("vm-2"), makeReport(10, 10), now);
    group.evaluate(both, now);
    cr_assert(group.endpoint(a).state() == EndpointCapacity::State::Ejected);
    const auto changes = group.takeChanges();
    cr_assert_eq(changes.size(), 1U);
    cr_assert_eq(changes[0].reason, "failures");
    cr_assert_eq(changes[0].reported.failures, 10);
}

// Guards against a decision from a report of a daemon that has been silent since.
Test(EndpointCapacity, reportsExpire)
{
    GroupCapacity group(GroupId("ledger"));
    const TimePoint now(std::chrono::hours(1));
    group.endpoint(a);
    group.onReport(VmId("vm-2"), makeReport(10, 10), now);
    const TimePoint later = now + EndpointCapacity::reportLifetime;
    answer(group, b, 6, later);
    group.evaluate(both, later);
    cr_assert(group.endpoint(a).state() == EndpointCapacity::State::Admitted);
}

// A statement with an error fails at each endpoint alike. Guards against ejecting an endpoint for its callers' faults.
Test(EndpointCapacity, faultsOfTheCallersEjectNoEndpoint)
{
    GroupCapacity group(GroupId("ledger"));
    const TimePoint now(std::chrono::hours(1));
    for (const EndpointId& id : both) {
        answer(group, id, 10, now);
        for (int number = 0; number < 6; ++number)
            group.endpoint(id).noteFailure(shortRead, now);
    }
    group.evaluate(both, now);
    cr_assert(group.endpoint(a).state() == EndpointCapacity::State::Admitted);
    cr_assert(group.endpoint(b).state() == EndpointCapacity::State::Admitted);
}

// Guards against ejecting the only endpoint that answers, and against doing so without a line about it.
Test(EndpointCapacity, theOnlyServingEndpointIsKept)
{
    GroupCapacity group(GroupId("ledger"));
    const TimePoint now(std::chrono::hours(1));
    answer(group, b, 6, now);
    for (int number = 0; number < 6; ++number)
        group.endpoint(a).noteFailure(shortRead, now);
    group.evaluate({ a }, now);
    cr_assert(group.endpoint(a).state() == EndpointCapacity::State::Admitted);
    const auto changes = group.takeChanges();
    cr_assert_eq(changes.size(), 1U);
    cr_assert(changes[0].kind == CapacityChange::Kind::Kept);
    group.evaluate(both, now);
    cr_assert(group.endpoint(a).state() == EndpointCapacity::State::Ejected);
}

// Guards against reads that wait although an ejected endpoint could serve them, when the admitted one is gone, and
// against reads for a slow ejected endpoint while the admitted one is only full.
Test(EndpointCapacity, ejectedEndpointServesWhenNoOtherCan)
{
    GroupCapacity group(GroupId("ledger"));
    const TimePoint now(std::chrono::hours(1));
    answer(group, a, 1, now);
    answer(group, b, 1, now);
    group.endpoint(a).eject(false, now);
    CapacityCandidate slow { 0, a, false, true, true, 0, 5, {} };
    CapacityCandidate full { 1, b, false, false, true, 5, 5, {} };
    cr_assert(!group.chooseRead({ slow, full }, shortRead, now).has_value());
    full.canServe = false;
    cr_assert(group.chooseRead({ slow, full }, shortRead, now) == std::optional<std::size_t>(0));
}

// Guards against a choice that ignores how long an endpoint takes: an idle nearby one, a remote one, and a nearby one
// with statements waiting.
Test(EndpointCapacity, readGoesWhereItIsExpectedToCompleteFirst)
{
    GroupCapacity group(GroupId("ledger"));
    const TimePoint now(std::chrono::hours(1));
    for (int number = 0; number < 4; ++number) {
        group.endpoint(a).noteAnswer(shortRead, Milliseconds(60), 1, now);
        group.endpoint(b).noteAnswer(shortRead, Milliseconds(20), 1, now);
    }
    CapacityCandidate remote { 0, a, false, true, true, 0, 5, {} };
    CapacityCandidate nearby { 1, b, false, true, true, 2, 5, {} };
    cr_assert(group.chooseRead({ remote, nearby }, shortRead, now) == std::optional<std::size_t>(1));
    nearby.running = 15;
    cr_assert(group.chooseRead({ remote, nearby }, shortRead, now) == std::optional<std::size_t>(0));
    nearby.running = 0;
    nearby.openingTime = Milliseconds(50);
    cr_assert(group.chooseRead({ remote, nearby }, shortRead, now) == std::optional<std::size_t>(0));
}

// After a power loss all owners begin with one statement. Guards against seconds of low concurrency at idle endpoints,
// and against a window that goes on doubling when a queue shows.
Test(EndpointCapacity, windowOfANewDaemonGrowsWithinARoundOfAnswers)
{
    EndpointCapacity capacity;
    capacity.setMaximum(7);
    const TimePoint now(std::chrono::hours(1));
    cr_assert(!capacity.allows(1, false, now));
    for (std::size_t running = 1; running <= 7; ++running)
        capacity.noteAnswer(shortRead, Milliseconds(20), running, now);
    cr_assert_geq(capacity.window(), 7);
    EndpointCapacity loaded;
    loaded.setMaximum(7);
    loaded.noteAnswer(shortRead, Milliseconds(20), 1, now);
    for (int number = 0; number < 6; ++number)
        loaded.noteAnswer(shortRead, Milliseconds(300), 7, now);
    cr_assert_lt(loaded.window(), 4);
}
