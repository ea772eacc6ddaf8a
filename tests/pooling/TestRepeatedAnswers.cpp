#include "mocks/DispatcherFixture.h"

#include <array>
#include <criterion/criterion.h>

using namespace almondlever;

namespace {

bool isSigned(const Reply& reply) { return !reply.error && reply.detail != "-"; }

void repeatAnswers(DispatcherFixture& fixture, Milliseconds delay, const std::function<bool(const Reply&)>& which)
{
    for (const EndpointId& id : { fixture.a, fixture.b, fixture.c }) {
        fixture.endpoints.server(id).repeats = which;
        fixture.endpoints.server(id).repeatDelay = delay;
    }
}

std::size_t openedConnections(DispatcherFixture& fixture)
{
    std::size_t count = 0;
    for (const EndpointId& id : { fixture.a, fixture.b, fixture.c })
        count += fixture.endpoints.server(id).openedConnections;
    return count;
}

std::uint64_t countUnmatched(DispatcherFixture& fixture, const std::string& result)
{
    return fixture.metrics.counter("almondlever_endpoint_unmatched_replies_total", "result=\"" + result + '"');
}

} // namespace

// Guards against giving a caller the answer to another statement, when an endpoint answers twice and the second time
// late: every later answer on the connection then belongs to the statement before.
Test(RepeatedAnswers, answerOfAnotherStatementIsNotDelivered)
{
    for (const Milliseconds delay : { Milliseconds(1), Milliseconds(5), Milliseconds(12), Milliseconds(40) }) {
        for (const char* database : { "orders", "proofs", "jobs" }) {
            DispatcherFixture fixture;
            repeatAnswers(fixture, delay, isSigned);
            FakeCaller caller(fixture, database);
            for (int number = 0; number < 40; ++number) {
                const std::string id = "r" + std::to_string(number);
                caller.read(id);
                fixture.advance(Milliseconds(13));
                if (number % 3 == 0)
                    fixture.advance(Milliseconds(25));
            }
            fixture.advance(Milliseconds(1000));
            cr_assert_eq(caller.replies.size(), 40U);
            for (std::size_t number = 0; number < caller.replies.size(); ++number) {
                cr_assert(!caller.replies[number].error);
                cr_assert_eq(
                    caller.replies[number].detail, fixture.endpoints.signatureOf("r" + std::to_string(number)));
            }
        }
    }
}

// Guards against a statement that runs outside of its transaction, or in that of another caller: an answer that comes
// twice is taken for that to BEGIN or ROLLBACK, so that the proxy and the endpoint differ about what is open.
Test(RepeatedAnswers, transactionsStayTogether)
{
    for (const int repetition : { 0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 }) {
        const std::size_t interval = 1 + static_cast<std::size_t>(repetition % 3);
        const Milliseconds delay
            = std::array { Milliseconds(1), Milliseconds(4), Milliseconds(9), Milliseconds(30) }.at(
                static_cast<std::size_t>(repetition / 3));
        DispatcherFixture fixture;
        std::size_t answers = 0;
        repeatAnswers(fixture, delay, [&answers, interval](const Reply&) { return ++answers % interval == 0; });
        FakeCaller first(fixture, "orders");
        FakeCaller second(fixture, "orders");
        for (int number = 0; number < 20; ++number) {
            const std::string suffix = std::to_string(number);
            first.begin();
            first.write("w" + suffix);
            second.read("s" + suffix);
            fixture.advance(Milliseconds(20));
            first.read("r" + suffix);
            second.write("v" + suffix);
            fixture.advance(Milliseconds(45));
            first.commit("c" + suffix);
            fixture.advance(Milliseconds(60));
        }
        std::map<std::string, std::size_t> connectionOf;
        for (const RunStatement& run : fixture.endpoints.runs()) {
            const char kind = run.id.front();
            const std::string transaction = run.id.substr(1);
            cr_assert_eq(run.wasInTransaction, kind != 'v', "%s", run.id.c_str());
            if (kind == 'w')
                connectionOf[transaction] = run.connection;
            if (kind == 'r' || kind == 'c')
                cr_assert_eq(run.connection, connectionOf[transaction], "%s", run.id.c_str());
        }
        for (const FakeCaller* caller : { &first, &second }) {
            for (const Reply& reply : caller->replies)
                cr_assert(!reply.error, "%s %s", toText(*reply.error), reply.detail.c_str());
        }
    }
}

// Guards against telling a caller that nothing of its write is kept, when the refusal of an earlier statement comes
// twice and is taken for the answer to the write.
Test(RepeatedAnswers, refusalOfAnotherStatementIsNotDelivered)
{
    for (int delay = 5; delay < 90; delay += 3) {
        DispatcherFixture fixture;
        repeatAnswers(fixture, Milliseconds(delay), [](const Reply& reply) { return reply.error.has_value(); });
        auto& primary = fixture.endpoints.server(fixture.a);
        FakeCaller caller(fixture, "orders");
        for (int number = 0; number < 20; ++number) {
            // The endpoint refuses one write; a moment later it has room, and the refusal comes again.
            primary.slots = 0;
            primary.queueLimit = 0;
            const std::string id = "w" + std::to_string(number);
            caller.write(id);
            fixture.advance(Milliseconds(3));
            primary.slots = 2;
            primary.queueLimit = 24;
            fixture.advance(Milliseconds(200));
            cr_assert_leq(fixture.endpoints.runsOf(id), 1U, "%s, delay %d ms", id.c_str(), delay);
            const Reply& reply = caller.replies.back();
            if (reply.error)
                cr_assert(!guaranteesNoEffect(*reply.error) || fixture.endpoints.runsOf(id) == 0);
            else
                cr_assert_eq(reply.detail, fixture.endpoints.signatureOf(id));
        }
    }
}

// Guards against a mend that opens a new connection for each answer that comes twice: openings cost the endpoint's
// slots.
Test(RepeatedAnswers, connectionsAreKept)
{
    DispatcherFixture fixture;
    fixture.advance(Milliseconds(1000));
    const std::size_t before = openedConnections(fixture);
    repeatAnswers(fixture, Milliseconds(3), [](const Reply&) { return true; });
    FakeCaller caller(fixture, "orders");
    for (int number = 0; number < 50; ++number) {
        caller.read("r" + std::to_string(number));
        fixture.advance(Milliseconds(50));
    }
    cr_assert_eq(caller.replies.size(), 50U);
    cr_assert_eq(openedConnections(fixture), before);
    cr_assert_gt(countUnmatched(fixture, "repetition"), 50U);
    cr_assert_eq(countUnmatched(fixture, "mismatch"), 0U);
}

// Guards against a stale read: the answer to an earlier BEGIN comes again, and its log position is taken for the one at
// which the primary is now.
Test(RepeatedAnswers, positionOfAnEarlierAnswerIsNotTakenForTheCurrentOne)
{
    for (int variant = 0; variant < 200; ++variant) {
        const int delay = 290 + variant % 40;
        const int repeated = variant / 40;
        DispatcherFixture fixture;
        int answers = 0;
        repeatAnswers(fixture, Milliseconds(delay), [&answers, repeated](const Reply& reply) {
            return !reply.error && reply.state == TransactionState::Open && answers++ == repeated;
        });
        FakeCaller caller(fixture, "proofs");
        fixture.advance(Milliseconds(500));
        // Another daemon's commit is acknowledged now; the replicas do not receive it.
        fixture.endpoints.server(fixture.a).position = { 1, 200 };
        const TimePoint acknowledged = fixture.timers.now();
        for (int number = 0; number < 160; ++number) {
            const std::size_t before = fixture.endpoints.runs().size();
            const bool mustSeeCommit = fixture.timers.now() - Milliseconds(1500) > acknowledged;
            caller.read("r" + std::to_string(number));
            fixture.advance(Milliseconds(18));
            for (std::size_t run = before; mustSeeCommit && run < fixture.endpoints.runs().size(); ++run)
                cr_assert(fixture.endpoints.runs()[run].endpoint == fixture.a, "delay %d ms, read %d", delay, number);
        }
    }
}
