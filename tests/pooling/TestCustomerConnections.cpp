#include "mocks/DispatcherFixture.h"

#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** A fixture whose endpoints are told the customer of each connection. */
struct CustomerFixture : DispatcherFixture {
    explicit CustomerFixture(std::size_t customers)
    {
        dispatcher.setConnectionsByCustomer(true);
        for (std::size_t number = 0; number < customers; ++number) {
            const std::string key = "key-" + std::to_string(number);
            access.addKey(key, "customer-" + std::to_string(number));
            callers.push_back(std::make_unique<FakeCaller>(*this, "orders", key));
        }
    }

    std::vector<std::unique_ptr<FakeCaller>> callers;
};

} // namespace

// More customers than connections write in turn. Guards against a daemon that opens more than its share, and against a
// customer that gets no connection because idle ones of others take all.
Test(CustomerConnections, idleOnesMakeRoomForOtherCustomers)
{
    CustomerFixture fixture(60);
    for (std::size_t number = 0; number < fixture.callers.size(); ++number) {
        fixture.callers[number]->write("w" + std::to_string(number));
        fixture.advance(Milliseconds(40));
        cr_assert(fixture.callers[number]->succeeded(), "customer %zu", number);
        cr_assert_leq(fixture.endpoints.server(fixture.a).connections, 32U, "the share under load is 0.8 of 40");
    }
}

// Guards against opening a connection for each statement of a customer that has an idle one.
Test(CustomerConnections, areReused)
{
    CustomerFixture fixture(1);
    const std::size_t before = fixture.endpoints.server(fixture.a).openedConnections;
    for (int number = 0; number < 10; ++number) {
        fixture.callers[0]->write("w" + std::to_string(number));
        fixture.advance(Milliseconds(50));
    }
    cr_assert_eq(fixture.endpoints.server(fixture.a).openedConnections - before, 1U);
}

// The endpoint refuses further connections. Guards against statements that wait for their deadline, and against a
// refusal that may have run.
Test(CustomerConnections, refusedConnectionLeavesTheStatementUnrun)
{
    CustomerFixture fixture(2);
    fixture.callers[0]->write("w0");
    fixture.advance(Milliseconds(60));
    fixture.endpoints.server(fixture.a).maximumConnections = fixture.endpoints.server(fixture.a).connections;
    fixture.callers[1]->write("w1");
    fixture.advance(Milliseconds(1200));
    cr_assert(fixture.callers[1]->hasError(StatementError::Busy));
    cr_assert_eq(fixture.endpoints.runsOf("w1"), 0U);
    fixture.endpoints.server(fixture.a).maximumConnections = 1000;
    fixture.advance(Milliseconds(1200));
    fixture.callers[1]->write("w2");
    fixture.advance(Milliseconds(100));
    cr_assert(fixture.callers[1]->succeeded());
}

// A caller leaves while a connection is opened for it. Guards against running its statement, and against a connection
// that stays busy for nobody.
Test(CustomerConnections, callerThatLeavesRunsNothing)
{
    CustomerFixture fixture(1);
    fixture.callers[0]->write("w0");
    fixture.callers[0]->session.onCallerClosed(fixture.timers.now());
    fixture.advance(Milliseconds(100));
    cr_assert_eq(fixture.endpoints.runsOf("w0"), 0U);
    FakeCaller again(fixture, "orders", "key-0");
    const std::size_t opened = fixture.endpoints.server(fixture.a).openedConnections;
    again.write("w1");
    fixture.advance(Milliseconds(50));
    cr_assert(again.succeeded());
    cr_assert_eq(fixture.endpoints.server(fixture.a).openedConnections, opened);
}
