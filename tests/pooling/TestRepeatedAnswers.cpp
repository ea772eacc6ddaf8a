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

// Guards against a write that runs twice: the refusal of its first attempt is repeated while the second one runs, and
// so is the answer to an earlier BEGIN, which is taken for the answer to the probe behind that refusal.
Test(RepeatedAnswers, repeatedBeginDoesNotConfirmARepeatedRefusal)
{
    std::size_t twice = 0;
    for (int delay = 10; delay < 130; delay += 3) {
        DispatcherFixture fixture;
        fixture.endpoints.server(fixture.a).work = Milliseconds(60);
        repeatAnswers(fixture, Milliseconds(delay), [&fixture, delay](const Reply& reply) {
            fixture.endpoints.server(fixture.a).repeatDelay = Milliseconds(reply.error ? delay : delay + 100);
            return reply.error || (reply.detail == "-" && reply.state == TransactionState::Open);
        });
        auto& primary = fixture.endpoints.server(fixture.a);
        FakeCaller caller(fixture, "orders");
        for (int number = 0; number < 20; ++number) {
            // A read of the primary, which begins a transaction for it, and then a write that is refused once.
            caller.read("r" + std::to_string(number));
            fixture.advance(Milliseconds(80));
            primary.slots = 0;
            primary.queueLimit = 0;
            const std::string id = "w" + std::to_string(number);
            caller.write(id);
            fixture.advance(Milliseconds(3));
            primary.slots = 2;
            primary.queueLimit = 24;
            fixture.advance(Milliseconds(300));
            twice += fixture.endpoints.runsOf(id) > 1 ? 1 : 0;
        }
    }
    cr_assert_eq(twice, 0U, "%zu writes ran twice", twice);
}

// Guards against a write outside of transactions that runs inside one that the proxy began: a refusal is repeated while
// BEGIN is unanswered, and the connection is used for another statement.
Test(RepeatedAnswers, repeatedRefusalDoesNotAnswerBegin)
{
    std::size_t misplaced = 0;
    for (int delay = 1; delay < 80; ++delay) {
        DispatcherFixture fixture;
        repeatAnswers(fixture, Milliseconds(delay), [](const Reply& reply) { return reply.error.has_value(); });
        auto& primary = fixture.endpoints.server(fixture.a);
        FakeCaller first(fixture, "orders");
        FakeCaller second(fixture, "orders");
        for (int number = 0; number < 20; ++number) {
            primary.slots = 0;
            primary.queueLimit = 0;
            first.write("w" + std::to_string(number));
            fixture.advance(Milliseconds(3));
            primary.slots = 2;
            primary.queueLimit = 24;
            for (int turn = 0; turn < 6; ++turn) {
                const std::string suffix = std::to_string(number) + '.' + std::to_string(turn);
                second.read("r" + suffix);
                first.write("v" + suffix);
                fixture.advance(Milliseconds(15));
            }
            fixture.advance(Milliseconds(100));
        }
        for (const RunStatement& run : fixture.endpoints.runs())
            misplaced += run.id.front() != 'r' && run.wasInTransaction ? 1 : 0;
    }
    cr_assert_eq(misplaced, 0U, "%zu writes ran in a transaction that was not theirs", misplaced);
}

// Guards against a statement of a transaction that runs outside of it: the answer to an earlier BEGIN is repeated while
// the endpoint refuses the present one.
Test(RepeatedAnswers, repeatedBeginDoesNotReplaceARefusedOne)
{
    std::size_t outside = 0;
    for (int delay = 30; delay < 160; ++delay) {
        DispatcherFixture fixture;
        auto& former = fixture.endpoints.server(fixture.a);
        former.isPipelined = true;
        former.distance = Milliseconds(10);
        former.work = Milliseconds(2);
        fixture.advance(Milliseconds(1000));
        repeatAnswers(fixture, Milliseconds(delay),
            [](const Reply& reply) { return !reply.error && reply.state == TransactionState::Open; });
        FakeCaller caller(fixture, "orders");
        caller.begin();
        caller.read("r1");
        fixture.advance(Milliseconds(60));
        caller.commit("c1");
        fixture.advance(Milliseconds(40));
        // Another daemon has the primary changed.
        former.leads = false;
        fixture.endpoints.server(fixture.b).leads = true;
        fixture.endpoints.server(fixture.b).position = { 2, 100 };
        caller.begin();
        caller.read("r2");
        fixture.advance(Milliseconds(900));
        for (const RunStatement& run : fixture.endpoints.runs())
            outside += run.id.front() == 'r' && !run.wasInTransaction ? 1 : 0;
    }
    cr_assert_eq(outside, 0U, "%zu statements ran outside of their transactions", outside);
}

// Guards against a stale read: the answers to the BEGIN and the ROLLBACK of an earlier query of the primary's position
// both come again before those to the present query.
Test(RepeatedAnswers, repeatedBeginAndRollbackDoNotProveAPosition)
{
    std::size_t stale = 0;
    for (int delay = 250; delay < 800; delay += 10) {
        DispatcherFixture fixture;
        auto& primary = fixture.endpoints.server(fixture.a);
        primary.distance = Milliseconds(50);
        fixture.advance(Milliseconds(2000));
        int begins = 0;
        repeatAnswers(fixture, Milliseconds(delay), [&primary, &begins, delay](const Reply& reply) {
            if (reply.error || reply.detail != "-")
                return false;
            const bool isBegin = reply.state == TransactionState::Open;
            primary.repeatDelay = Milliseconds(isBegin ? delay : delay - 95);
            begins += isBegin ? 1 : 0;
            return begins == 1;
        });
        while (begins < 1)
            fixture.advance(Milliseconds(1));
        fixture.advance(Milliseconds(110));
        // Another daemon's commit is acknowledged now; the replicas do not receive it.
        primary.position = { 1, 200 };
        const TimePoint acknowledged = fixture.timers.now();
        FakeCaller caller(fixture, "proofs");
        std::map<std::string, TimePoint> sentAt;
        for (int number = 0; number < 160; ++number) {
            const std::string id = "r" + std::to_string(number);
            sentAt[id] = fixture.timers.now();
            caller.read(id);
            fixture.advance(Milliseconds(18));
        }
        for (const RunStatement& run : fixture.endpoints.runs()) {
            const bool mustSeeCommit = sentAt.at(run.id) - Milliseconds(1500) > acknowledged;
            stale += mustSeeCommit && run.endpoint != fixture.a ? 1 : 0;
        }
    }
    cr_assert_eq(stale, 0U, "%zu stale reads", stale);
}
