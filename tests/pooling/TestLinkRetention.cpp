#include "almondlever/pooling/LinkRetention.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

const CustomerId steady("steady");
const CustomerId rare("rare");
const CustomerId large("large");
constexpr Milliseconds held { 30 };
const TimePoint start { std::chrono::hours(1) };

/** Statements at a constant rate until `start`. */
void play(LinkRetention& retention, const CustomerId& customer, double perSecond)
{
    const std::chrono::duration<double> gap(1 / perSecond);
    for (std::chrono::duration<double> age = std::chrono::seconds(100); age.count() > 0; age -= gap)
        retention.noteStatement(customer, start - std::chrono::duration_cast<Duration>(age));
}

} // namespace

// Guards against closing the connection of a customer that returns soon because that of a rare one was used last.
Test(LinkRetention, rareCustomerMakesRoom)
{
    LinkRetention retention;
    play(retention, steady, 2);
    play(retention, rare, 0.05);
    const std::vector<RetainableLink> links { { &steady, true, start - std::chrono::seconds(2) },
        { &rare, true, start - Milliseconds(10) } };
    cr_assert_eq(retention.chooseForRoom(links, held, start), 1U);
}

// Guards against a large customer that keeps a connection which it rarely needs, beside others.
Test(LinkRetention, thirdConnectionOfALargeCustomerMakesRoom)
{
    LinkRetention retention;
    play(retention, large, 5);
    play(retention, rare, 0.2);
    const std::vector<RetainableLink> links { { &large, true, start - Milliseconds(20) },
        { &large, false, start - Milliseconds(5) }, { &large, true, start - Milliseconds(10) },
        { &rare, true, start - std::chrono::seconds(1) } };
    cr_assert_eq(retention.chooseForRoom(links, held, start), 0U);
    // With two connections, the second is used more often than that of the rare customer.
    const std::vector<RetainableLink> fewer { links[1], links[2], links[3] };
    cr_assert_eq(retention.chooseForRoom(fewer, held, start), 2U);
}

// Guards against closing a connection that is in use.
Test(LinkRetention, connectionsInUseStay)
{
    LinkRetention retention;
    play(retention, steady, 2);
    const std::vector<RetainableLink> links { { &rare, false, start }, { &steady, true, start } };
    cr_assert_eq(retention.chooseForRoom(links, held, start), 1U);
    cr_assert_not(retention.chooseForRoom({ { &rare, false, start } }, held, start).has_value());
}

// Guards against a short burst that takes the places of customers with constant demand.
Test(LinkRetention, burstDoesNotDisplaceConstantDemand)
{
    LinkRetention retention;
    play(retention, steady, 1);
    for (int number = 0; number < 8; ++number)
        retention.noteStatement(rare, start - Milliseconds(10 * number));
    const std::vector<RetainableLink> links { { &steady, true, start - std::chrono::seconds(1) },
        { &rare, true, start } };
    cr_assert_eq(retention.chooseForRoom(links, held, start), 1U);
}

// Guards against connections that stay open for nobody, and against closing those that are needed in the next wave.
Test(LinkRetention, surplusIsClosedWhenItsCustomerIsGone)
{
    LinkRetention retention;
    play(retention, steady, 1);
    const std::vector<RetainableLink> links { { &steady, true, start } };
    const TimePoint nextWave = start + std::chrono::seconds(11);
    cr_assert_not(retention.chooseSurplus(links, held, nextWave).has_value());
    const TimePoint later = start + std::chrono::seconds(180);
    cr_assert_eq(retention.chooseSurplus(links, held, later), 0U);
}

// Guards against memory that grows with the number of customers.
Test(LinkRetention, keepsABoundedNumberOfCustomers)
{
    LinkRetentionSettings settings;
    settings.maximumCustomers = 10;
    LinkRetention retention(settings);
    for (int number = 0; number < 11; ++number)
        retention.noteStatement(CustomerId(std::to_string(number)), start);
    cr_assert_eq(retention.requestRate(CustomerId("0"), start), 0);
    cr_assert_gt(retention.requestRate(CustomerId("10"), start), 0);
}
