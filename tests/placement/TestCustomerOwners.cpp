#include "almondlever/placement/CustomerOwners.h"

#include <algorithm>
#include <criterion/criterion.h>
#include <set>

using namespace almondlever;

namespace {

const GroupId group("ledger");
const TimePoint start { std::chrono::hours(1) };

const std::map<FailureDomainId, std::string> regions { { FailureDomainId("a-1"), "a" }, { FailureDomainId("a-2"), "a" },
    { FailureDomainId("b-1"), "b" }, { FailureDomainId("b-2"), "b" } };

LiveDaemon makeDaemon(const std::string& domain)
{
    return { VmId("vm-" + domain), FailureDomainId(domain), "", false };
}

std::vector<LiveDaemon> makeOwners()
{
    return { makeDaemon("a-1"), makeDaemon("a-2"), makeDaemon("b-1"), makeDaemon("b-2") };
}

OwnerAvailability areAllReady(const LiveDaemon&) { return OwnerAvailability::Ready; }

/** CustomerOwners of a daemon in failure domain a-1. */
struct Fixture {
    explicit Fixture(const CustomerOwnerSettings& settings = {})
        : owners(FailureDomainId("a-1"), regions, settings)
    {
        owners.setOwners({ { group, makeOwners() } });
    }

    VmId send(
        const std::string& customer, TimePoint now, const CustomerOwners::Availability& availability = areAllReady)
    {
        const OwnerChoice choice = owners.choose(group, CustomerId(customer), availability, now);
        cr_assert(choice.owner);
        VmId owner = choice.owner->id;
        owners.noteSent(group, CustomerId(customer), owner, now);
        return owner;
    }

    CustomerOwners owners;
};

} // namespace

// Guards against a customer whose statements alternate between owners, each of which opens a connection for it.
Test(CustomerOwners, smallCustomerStaysWithItsOwner)
{
    Fixture fixture;
    std::set<VmId> used;
    TimePoint now = start;
    for (int number = 0; number < 200; ++number, now += Milliseconds(100)) {
        fixture.send("other-" + std::to_string(number % 20), now);
        if (number % 20 == 0)
            used.insert(fixture.send("small", now));
    }
    cr_assert_eq(used.size(), 1U);
}

// Guards against owners of one region that get all customers of another, and against two daemons that disagree.
Test(CustomerOwners, customersAreSpreadOverTheRegion)
{
    Fixture fixture;
    CustomerOwners other(FailureDomainId("a-2"), regions);
    std::vector<LiveDaemon> reversed = makeOwners();
    std::reverse(reversed.begin(), reversed.end());
    other.setOwners({ { group, reversed } });
    std::map<VmId, int> counts;
    for (int number = 0; number < 200; ++number) {
        const CustomerId customer("customer-" + std::to_string(number));
        const OwnerChoice choice = fixture.owners.choose(group, customer, areAllReady, start);
        cr_assert_eq(choice.owner->id, other.choose(group, customer, areAllReady, start).owner->id);
        ++counts[choice.owner->id];
    }
    cr_assert_eq(counts.size(), 2U);
    cr_assert_geq(counts[VmId("vm-a-1")], 70);
    cr_assert_geq(counts[VmId("vm-a-2")], 70);
}

// Guards against an owner that becomes a hot spot because one large customer prefers it.
Test(CustomerOwners, largeCustomerSpillsToTheNextOwner)
{
    Fixture fixture;
    std::map<VmId, int> counts;
    for (int number = 0; number < 100; ++number)
        ++counts[fixture.send("large", start + Milliseconds(100) * number)];
    cr_assert_leq(std::max(counts[VmId("vm-a-1")], counts[VmId("vm-a-2")]), 63, "1.25 times the mean of 50");
    const OwnerChoice choice = fixture.owners.choose(group, CustomerId("large"), areAllReady, start);
    cr_assert_gt(choice.customerShare, 0.9);
    cr_assert_gt(choice.bound, 1);
}

// Guards against statements for an owner that does not respond, and for another region while one of this can serve.
Test(CustomerOwners, ownerThatIsSilentIsSkipped)
{
    Fixture fixture;
    const VmId preferred = fixture.send("customer", start);
    const auto withoutPreferred = [&preferred](const LiveDaemon& owner) {
        return owner.id == preferred ? OwnerAvailability::Unusable : OwnerAvailability::Ready;
    };
    const OwnerChoice choice = fixture.owners.choose(group, CustomerId("customer"), withoutPreferred, start);
    cr_assert_neq(choice.owner->id, preferred);
    cr_assert_eq(choice.owner->failureDomain.text().front(), 'a');
    cr_assert_eq(choice.reason, OwnerReason::Unavailable);
}

// Guards against refusals while owners of other regions can serve, and against using them before.
Test(CustomerOwners, otherRegionsServeWhenNoneOfTheRegionCan)
{
    Fixture fixture;
    const auto withoutRegion = [](const LiveDaemon& owner) {
        return owner.failureDomain.text().front() == 'a' ? OwnerAvailability::NotConnected : OwnerAvailability::Ready;
    };
    const OwnerChoice choice = fixture.owners.choose(group, CustomerId("customer"), withoutRegion, start);
    cr_assert_eq(choice.owner->failureDomain.text().front(), 'b');
    cr_assert_eq(choice.reason, OwnerReason::OtherRegion);
    const auto isUnusable = [](const LiveDaemon&) { return OwnerAvailability::Unusable; };
    cr_assert_null(fixture.owners.choose(group, CustomerId("customer"), isUnusable, start).owner);
    const auto isNotConnected = [](const LiveDaemon&) { return OwnerAvailability::NotConnected; };
    const OwnerChoice waiting = fixture.owners.choose(group, CustomerId("customer"), isNotConnected, start);
    cr_assert_eq(waiting.owner->id, waiting.preferred->id);
}

// Guards against customers of the owners that stay which move when one leaves, and against loads from before.
Test(CustomerOwners, onlyCustomersOfAnOwnerThatLeavesMove)
{
    Fixture fixture;
    std::map<std::string, VmId> before;
    for (int number = 0; number < 50; ++number) {
        const std::string customer = "customer-" + std::to_string(number);
        before[customer] = fixture.owners.choose(group, CustomerId(customer), areAllReady, start).owner->id;
    }
    for (int number = 0; number < 20; ++number)
        fixture.send("customer-0", start);
    const VmId joined("vm-a-3");
    std::vector<LiveDaemon> owners = makeOwners();
    owners.push_back(makeDaemon("a-2"));
    owners.back().id = joined;
    owners.erase(owners.begin());
    fixture.owners.setOwners({ { group, owners } });
    for (const auto& [customer, owner] : before) {
        const OwnerChoice choice = fixture.owners.choose(group, CustomerId(customer), areAllReady, start);
        cr_assert_eq(choice.preferredLoad, 0);
        cr_assert(owner == VmId("vm-a-1") || choice.owner->id == owner || choice.owner->id == joined);
    }
}

// Guards against memory that grows with the number of customers, and against orders that are lost with it.
Test(CustomerOwners, keepsABoundedNumberOfCustomers)
{
    CustomerOwnerSettings settings;
    settings.maximumCachedOrders = 10;
    Fixture fixture(settings);
    const VmId first = fixture.owners.choose(group, CustomerId("first"), areAllReady, start).owner->id;
    for (int number = 0; number < 100; ++number)
        fixture.send("customer-" + std::to_string(number), start);
    cr_assert_eq(fixture.owners.choose(group, CustomerId("first"), areAllReady, start).owner->id, first);
}

// Guards against a choice among all failure domains where their regions are not known.
Test(CustomerOwners, failureDomainsWithoutRegionAreRegions)
{
    CustomerOwners owners(FailureDomainId("a-1"), {});
    owners.setOwners({ { group, makeOwners() } });
    for (int number = 0; number < 20; ++number) {
        const CustomerId customer(std::to_string(number));
        cr_assert_eq(owners.choose(group, customer, areAllReady, start).owner->id, VmId("vm-a-1"));
    }
}
