#include "mocks/PromotionFixture.h"

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
