#include "almondlever/forwarding/StatementForwarder.h"
#include "mocks/FakePeerNetwork.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** Counts the statements that run on this daemon. */
struct LocalRunner final : StatementRunner {
    Ticket submit(StatementRequest, StatementCallback, TimePoint) override { return ++submitted; }
    Ticket submit(const TransactionHandle&, StatementRequest, StatementCallback, TimePoint) override
    {
        return ++submitted;
    }
    void abandon(Ticket, TimePoint) override { }
    void endTransaction(const TransactionHandle&, TimePoint) override { }

    Ticket submitted = 0;
};

LiveDaemon makeDaemon(const std::string& name, const std::string& domain)
{
    return { VmId(name), FailureDomainId(domain), name, false };
}

/** A daemon in failure domain a-1; the group's owners are two daemons of its region and one of another. */
struct Fixture {
    explicit Fixture(bool spreads, const std::string& self = "entry")
        : forwarder(local, log, metrics, makeSettings(spreads, self))
    {
        forwarder.setNetwork(&network);
        std::map<GroupId, std::vector<LiveDaemon>> owners { { group,
            { makeDaemon("near", "a-1"), makeDaemon("beside", "a-2"), makeDaemon("far", "b-1") } } };
        if (self == "entry")
            forwarder.setOwners(std::move(owners), {});
        else
            forwarder.setOwners({}, std::move(owners));
    }

    static ForwarderSettings makeSettings(bool spreads, const std::string& self)
    {
        ForwarderSettings settings;
        settings.self = VmId(self);
        settings.failureDomain = FailureDomainId("a-1");
        settings.regions
            = { { FailureDomainId("a-1"), "a" }, { FailureDomainId("a-2"), "a" }, { FailureDomainId("b-1"), "b" } };
        settings.spreadsCustomersOverOwners = spreads;
        return settings;
    }

    void submit(const std::string& customer, bool isWrite = false)
    {
        StatementRequest request;
        request.statement.id = "s" + std::to_string(++lastStatement);
        request.statement.kind = isWrite ? StatementKind::Write : StatementKind::Read;
        request.statement.text = "READ x";
        request.group = group;
        request.customer = CustomerId(customer);
        request.isWrite = isWrite;
        request.deadline = now + Milliseconds(1000);
        request.contents = std::make_shared<const SessionContents>();
        forwarder.submit(
            std::move(request), [](StatementResult&&, TimePoint) {}, now);
    }

    /** Number of statements that were sent to a daemon. */
    std::size_t countSent(const std::string& name) const
    {
        std::size_t count = 0;
        for (const auto& [to, message] : network.sent)
            count += to == VmId(name) && std::holds_alternative<SessionStatement>(message) ? 1 : 0;
        return count;
    }

    const GroupId group { "ledger" };
    TimePoint now { std::chrono::hours(1) };
    LocalRunner local;
    DecisionLog log { 0 };
    Metrics metrics;
    FakePeerNetwork network;
    StatementForwarder forwarder;
    std::size_t lastStatement = 0;
};

} // namespace

// Guards against customers that all use the owner of the caller's failure domain, where each needs a connection.
Test(CustomerForwarding, customersAreSpreadOverTheOwnersOfTheRegion)
{
    Fixture fixture(true);
    for (int number = 0; number < 40; ++number)
        fixture.submit("customer-" + std::to_string(number));
    cr_assert_geq(fixture.countSent("near"), 10U);
    cr_assert_geq(fixture.countSent("beside"), 10U);
    cr_assert_eq(fixture.countSent("far"), 0U);
    cr_assert_eq(fixture.countSent("near") + fixture.countSent("beside"), 40U);
    cr_assert_gt(fixture.metrics.counter("almondlever_customer_owners_total", "reason=\"preferred\""), 0U);
}

// Guards against a change of behaviour where the setting is off, and for callers without a customer.
Test(CustomerForwarding, ownerOfTheFailureDomainIsUsedWithoutTheSetting)
{
    Fixture off(false);
    for (int number = 0; number < 10; ++number)
        off.submit("customer-" + std::to_string(number));
    cr_assert_eq(off.countSent("near"), 10U);
    Fixture withoutCustomer(true);
    for (int number = 0; number < 10; ++number)
        withoutCustomer.submit("");
    cr_assert_eq(withoutCustomer.countSent("near"), 10U);
    Fixture owner(false, "near");
    for (int number = 0; number < 10; ++number)
        owner.submit("customer-" + std::to_string(number));
    cr_assert_eq(owner.local.submitted, 10U);
    cr_assert(owner.network.sent.empty());
}

// Guards against an owner that opens connections for customers whose connections are at another owner.
Test(CustomerForwarding, ownerForwardsToThePreferredOwner)
{
    Fixture fixture(true, "near");
    for (int number = 0; number < 40; ++number)
        fixture.submit("customer-" + std::to_string(number));
    cr_assert_geq(fixture.local.submitted, 10U);
    cr_assert_geq(fixture.countSent("beside"), 10U);
    cr_assert_eq(fixture.countSent("far"), 0U);
}

// Guards against statements of an owner that wait for a preferred owner which does not respond.
Test(CustomerForwarding, ownerRunsStatementsOfASilentOwnerItself)
{
    Fixture fixture(true, "near");
    for (int number = 0; number < 40; ++number)
        fixture.submit("customer-" + std::to_string(number));
    const std::size_t moved = fixture.countSent("beside");
    fixture.forwarder.onLoss(VmId("beside"), fixture.now);
    cr_assert_eq(fixture.local.submitted, 40U, "reads are repeated on this daemon");
    cr_assert_gt(moved, 0U);
    fixture.submit("customer-0");
    cr_assert_eq(fixture.countSent("beside"), moved);
    cr_assert_eq(fixture.countSent("far"), 0U);
}

// Guards against a write that runs twice because its owner was lost.
Test(CustomerForwarding, writeIsNotRepeatedWhenItsOwnerIsLost)
{
    Fixture fixture(true, "near");
    for (int number = 0; number < 40; ++number)
        fixture.submit("customer-" + std::to_string(number), true);
    const Ticket before = fixture.local.submitted;
    fixture.forwarder.onLoss(VmId("beside"), fixture.now);
    cr_assert_eq(fixture.local.submitted, before);
}

// Guards against a large customer whose statements all meet at one owner, and against a spill without a trace.
Test(CustomerForwarding, largeCustomerSpillsToTheNextOwner)
{
    Fixture fixture(true);
    for (int number = 0; number < 100; ++number, fixture.now += Milliseconds(10))
        fixture.submit("large");
    cr_assert_leq(std::max(fixture.countSent("near"), fixture.countSent("beside")), 63U);
    cr_assert_gt(fixture.metrics.counter("almondlever_customer_owners_total", "reason=\"load\""), 0U);
}
