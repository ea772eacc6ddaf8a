#include "almondlever/customers/CustomerGate.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

std::shared_ptr<const CustomerRegistry> makeRegistry(const std::vector<Customer>& customers)
{
    auto registry = std::make_shared<CustomerRegistry>();
    for (const Customer& customer : customers)
        registry->add(customer);
    return registry;
}

Customer makeCustomer(const std::string& name, const std::vector<std::string>& keys)
{
    Customer customer;
    customer.id = CustomerId(name);
    for (const std::string& key : keys)
        customer.keys.push_back(KeyDigest::of(key));
    return customer;
}

struct GateFixture {
    DecisionLog log { 0 };
    Metrics metrics;
    QuotaSettings settings;
    QuotaCoordinator coordinator { VmId("vm-1"), settings };
    QuotaClient quota { VmId("vm-1"), FailureDomainId("d"), coordinator, log, metrics, settings };
    CustomerGate gate { Milliseconds(5000), quota, log, metrics };
    TimePoint start { std::chrono::hours(1) };

    KeyDecision check(const std::string& key, Milliseconds at) const
    {
        return gate.checkKey(KeyDigest::of(key), start + at);
    }
};

} // namespace

// Guards against statements of one customer that run under the name of another.
Test(Keys, eachKeyNamesItsCustomer)
{
    GateFixture fixture;
    fixture.gate.setCustomers(makeRegistry(
        { makeCustomer("curing", { "k1", "k2" }), makeCustomer("buyers", { "k3" }), makeCustomer("without", {}) }));
    fixture.gate.confirm(fixture.start);
    cr_assert_eq(fixture.check("k1", Milliseconds(0)).customer.text(), "curing");
    cr_assert_eq(fixture.check("k2", Milliseconds(0)).customer.text(), "curing");
    cr_assert_eq(fixture.check("k3", Milliseconds(0)).customer.text(), "buyers");
    cr_assert(fixture.check("k4", Milliseconds(0)).outcome == KeyDecision::Outcome::UnknownKey);
    cr_assert(fixture.check("", Milliseconds(0)).outcome == KeyDecision::Outcome::UnknownKey);
    cr_assert(fixture.check("without", Milliseconds(0)).outcome == KeyDecision::Outcome::UnknownKey);
}

// Guards against a withdrawn key that stays in force, and against a moved key that still names its former customer.
Test(Keys, followTheConfiguration)
{
    GateFixture fixture;
    fixture.gate.setCustomers(makeRegistry({ makeCustomer("curing", { "k1" }), makeCustomer("buyers", { "k2" }) }));
    fixture.gate.confirm(fixture.start);
    fixture.gate.setCustomers(makeRegistry({ makeCustomer("curing", {}), makeCustomer("buyers", { "k1" }) }));
    cr_assert_eq(fixture.check("k1", Milliseconds(0)).customer.text(), "buyers");
    cr_assert(fixture.check("k2", Milliseconds(0)).outcome == KeyDecision::Outcome::UnknownKey);
}

// A configuration gives one key to two customers. Guards against daemons that disagree on whose it is.
Test(Keys, sharedKeyBelongsToTheFirstCustomer)
{
    const auto registry = makeRegistry({ makeCustomer("curing", { "k1", "k1" }), makeCustomer("buyers", { "k1" }) });
    cr_assert_eq(registry->findByKey(KeyDigest::of("k1"))->id.text(), "curing");
}

// The store turns a daemon away while keys are withdrawn. Guards against a withdrawn key that is accepted later than
// allowed, and against refusing keys while the limit is not reached.
Test(Keys, areRefusedWhenTheConfigurationIsTooOld)
{
    GateFixture fixture;
    fixture.gate.setCustomers(makeRegistry({ makeCustomer("curing", { "k1" }) }));
    cr_assert(fixture.check("k1", Milliseconds(0)).outcome == KeyDecision::Outcome::Unconfirmed);
    fixture.gate.confirm(fixture.start);
    cr_assert(fixture.check("k1", Milliseconds(5000)).outcome == KeyDecision::Outcome::Accepted);
    const KeyDecision late = fixture.check("k1", Milliseconds(5001));
    cr_assert(late.outcome == KeyDecision::Outcome::Unconfirmed);
    cr_assert_gt(late.retryAfter.count(), 0);
    // An unknown key is never accepted, so it needs no proof.
    cr_assert(fixture.check("k4", Milliseconds(5001)).outcome == KeyDecision::Outcome::UnknownKey);
    // An older proof, which arrives late, does not shorten the newer one.
    fixture.gate.confirm(fixture.start + Milliseconds(3000));
    fixture.gate.confirm(fixture.start + Milliseconds(1000));
    cr_assert(fixture.check("k1", Milliseconds(8000)).outcome == KeyDecision::Outcome::Accepted);
}

// Half of a fleet loses the store for longer than withdrawn keys may be accepted. Guards against callers that stay with
// a daemon until it refuses them, although the balancer could have moved them meanwhile.
Test(Keys, callersAreMovedBeforeTheirKeysAreRefused)
{
    GateFixture fixture;
    fixture.gate.setCustomers(makeRegistry({ makeCustomer("curing", { "k1" }) }));
    fixture.gate.confirm(fixture.start);
    cr_assert(fixture.gate.canServe(fixture.start + Milliseconds(5000)));
    cr_assert(!fixture.check("k1", Milliseconds(5001)).endsSession);
    fixture.gate.setReadinessLead(Milliseconds(2000));
    cr_assert(fixture.gate.canServe(fixture.start + Milliseconds(3000)));
    cr_assert(!fixture.gate.canServe(fixture.start + Milliseconds(3001)));
    cr_assert(fixture.check("k1", Milliseconds(5000)).outcome == KeyDecision::Outcome::Accepted);
    cr_assert(fixture.check("k1", Milliseconds(5001)).endsSession);
}

// Guards against keys that are demanded where the configuration has no customers.
Test(Keys, areNotNeededWithoutCustomers)
{
    GateFixture fixture;
    cr_assert(fixture.check("anything", Milliseconds(0)).outcome == KeyDecision::Outcome::Accepted);
    cr_assert(fixture.gate.isConfirmed(fixture.start));
}
