#include "almondlever/observability/DecisionLog.h"
#include "mocks/PromotionFixture.h"

#include <cstdio>
#include <fstream>
#include <iterator>
#include <string>
#include <unistd.h>

using namespace almondlever;

namespace {

constexpr Milliseconds normalPeriod { 4000 };
/** Time to a new primary once one can be chosen. */
constexpr Milliseconds promotionLimit { 5000 };

void writeFor(PromotionFixture& fixture, Duration period)
{
    const TimePoint end = fixture.timers.now() + period;
    while (fixture.timers.now() < end) {
        cr_assert(fixture.write());
        fixture.run(Milliseconds(100));
    }
    for (const EndpointId& id : { fixture.a, fixture.b, fixture.c })
        fixture.acknowledged = std::max(fixture.acknowledged, fixture.endpoints.server(id).position);
}

} // namespace

// Guards against a longer time without a primary because the log holders are counted first.
Test(PromotionQuorum, replacesAFailedPrimaryInTheUsualTime)
{
    PromotionFixture fixture;
    fixture.endpoints.replicates = true;
    writeFor(fixture, normalPeriod);
    const LogPosition end = fixture.acknowledged;
    fixture.acknowledge({ end.term, end.index + 1 }, { fixture.a, fixture.c });
    fixture.crash(fixture.a);
    cr_assert(fixture.runUntil(Milliseconds(2500), [&] { return fixture.leads(fixture.c); }));
    cr_assert(fixture.write());
    cr_assert(fixture.promotions.incomplete.empty());
}

// Guards against the same in a group without callers.
Test(PromotionQuorum, replacesAFailedPrimaryOfAnIdleGroup)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c });
    fixture.crash(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.c); }));
    cr_assert(fixture.promotions.incomplete.empty());
}

// Guards against waiting for ever for the log of an endpoint that is gone for good and was replaced.
Test(PromotionQuorum, replacedEndpointIsNotWaitedFor)
{
    PromotionFixture fixture;
    const EndpointId d("d");
    fixture.run(normalPeriod);
    fixture.crash(fixture.b);
    fixture.run(PromotionFixture::removalTime);
    fixture.endpoints.server(d).position = {};
    fixture.endpoints.server(d).reportsPosition = false;
    fixture.list(d);
    fixture.run(Milliseconds(2000));
    fixture.endpoints.server(d).reportsPosition = true;
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c, d });
    fixture.run(Milliseconds(8000));
    fixture.acknowledge({ 1, 130 }, { fixture.a, d });
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(d); }));
    cr_assert(fixture.promotions.incomplete.empty());
}

// Guards against waiting for the log of a replica that was taken out as planned.
Test(PromotionQuorum, replicaThatLeftIsNotWaitedFor)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.announceExit(fixture.b);
    fixture.run(Milliseconds(2000));
    fixture.crash(fixture.b);
    fixture.run(PromotionFixture::removalTime + Milliseconds(2000));
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.c });
    fixture.run(Milliseconds(8000));
    fixture.acknowledge({ 1, 130 }, { fixture.a, fixture.c });
    fixture.makeUnreachable(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.c); }));
    cr_assert(fixture.promotions.incomplete.empty());
}

// Guards against waiting for the log of a primary that handed over and exited as planned.
Test(PromotionQuorum, primaryThatLeftIsNotWaitedFor)
{
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.announceExit(fixture.a);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b) && fixture.driver().isIdle(); }));
    fixture.crash(fixture.a);
    fixture.run(PromotionFixture::removalTime + Milliseconds(2000));
    fixture.acknowledge({ 2, 120 }, { fixture.b, fixture.c });
    fixture.run(Milliseconds(8000));
    fixture.acknowledge({ 2, 130 }, { fixture.b, fixture.c });
    fixture.makeUnreachable(fixture.b);
    cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.c); }));
    cr_assert(fixture.promotions.incomplete.empty());
}

// Guards against a promotion that counts logs while the store does not answer, and against a group that stays without a
// primary once it does.
Test(PromotionQuorum, waitsForTheStore)
{
    for (const bool isSilent : { false, true }) {
        PromotionFixture fixture;
        fixture.run(normalPeriod);
        fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
        (isSilent ? fixture.store.isSilent : fixture.store.isDown) = true;
        fixture.crash(fixture.a);
        fixture.run(Milliseconds(10000));
        cr_assert(fixture.promotions.promoted.empty());
        fixture.store.isSilent = false;
        fixture.store.isDown = false;
        cr_assert(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b); }));
        cr_assert(fixture.promotions.incomplete.empty());
    }
}

// Guards against a group without a primary whose operator does not learn which endpoint is waited for, whose callers
// wait until their deadline, and whose daemon calls the store again and again meanwhile.
Test(PromotionQuorum, groupThatCannotBeServedSaysSo)
{
    const std::string path = "/tmp/almondlever-promotion-waits-" + std::to_string(getpid());
    PromotionFixture fixture;
    fixture.run(normalPeriod);
    fixture.acknowledge({ 1, 120 }, { fixture.a, fixture.b });
    cr_assert_eq(configureLog({ "info", path }), "");
    fixture.crash(fixture.a);
    fixture.crash(fixture.b);
    fixture.run(PromotionFixture::removalTime);
    flushLog();
    std::ifstream file(path);
    const std::string lines((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    std::remove(path.c_str());
    cr_expect(lines.find("event=promotion_waits group=ledger required=2 missing=1 waits_for=a,b") != std::string::npos);
    cr_expect_eq(fixture.missingLogs(), 1.0);
    const TimePoint sentAt = fixture.timers.now();
    cr_expect_not(fixture.write());
    cr_expect_leq(fixture.timers.now() - sentAt, StatementDispatcher::tickInterval, "refused at once");
    const std::size_t calls = fixture.store.calls;
    const Milliseconds waiting { 30000 };
    fixture.run(waiting);
    // One attempt in each pause: the change record, lease, claim, renewal, log holders and release.
    const auto attempts = static_cast<std::size_t>(waiting / PromotionDriverSettings().missingLogsPause);
    cr_expect_leq(fixture.store.calls - calls, 8 * attempts);
    fixture.bringBack(fixture.b);
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(fixture.b); }));
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.write(); }));
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.missingLogs() == 0.0; }));
}

// Guards against counting too few holders when an endpoint joins after the list was read and before the replicas were
// paused: it may have helped the old primary to acknowledge a commit.
Test(PromotionQuorum, endpointThatJoinsDuringTheComparisonCounts)
{
    PromotionFixture fixture;
    const EndpointId d("d");
    fixture.run(normalPeriod);
    std::size_t reads = 0;
    fixture.driver().setMembersRefresh([&](const std::function<void(bool)>& callback) {
        if (++reads == 2) {
            fixture.endpoints.server(d).isSilent = true;
            fixture.list(d);
            fixture.acknowledge({ 1, 120 }, { fixture.a, d });
        }
        fixture.timers.callAfter(Milliseconds(4), [callback](TimePoint) { callback(true); });
    });
    fixture.crash(fixture.a);
    fixture.run(Milliseconds(4000));
    cr_expect_geq(reads, 2U);
    cr_expect(fixture.promotions.promoted.empty(), "b and c lack a commit that d may hold");
    fixture.endpoints.server(d).isSilent = false;
    cr_expect(fixture.runUntil(promotionLimit, [&] { return fixture.leads(d); }));
    cr_expect(fixture.promotions.incomplete.empty());
}
