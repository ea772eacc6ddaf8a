#include "mocks/FakeEndpoints.h"
#include "mocks/FakeMetadataStore.h"
#include "platform/CallerListener.h"
#include "platform/LineCodec.h"
#include "platform/StoreInventory.h"

#include <criterion/criterion.h>
#include <string>
#include <vector>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

class FailingPromotions final : public PromotionService {
public:
    void promote(const GroupId&, const EndpointId&, const std::string&, std::uint64_t,
        std::function<void(PromotionResult, const std::string&)>) override
    {
        cr_assert_fail("nothing is to be promoted");
    }
};

/** A daemon with a primary and a replica in virtual time, and callers on real connections. */
struct Fixture {
    asio::io_context context;
    FakeTimerService timers;
    FakeMetadataStore store { timers };
    FakeEndpoints endpoints { timers };
    StoreInventory inventory;
    FailingPromotions promotions;
    LimitSettings limits;
    std::unique_ptr<FrontDaemon> daemon;
    std::unique_ptr<CallerListener> listener;
    asio::ip::tcp::endpoint address;

    Fixture()
    {
        endpoints.server(EndpointId("i-1")).leads = true;
        endpoints.server(EndpointId("i-2"));
        store.put("op/config",
            R"({"version":7,"routes":[{"database":"fiti","type":"primary","timeout-ms":1000,"target-latency-ms":900,)"
            R"("priority":0,"service":"huvo"}],"services":[{"name":"huvo","max-conns":34,"sync-replicas":1}],)"
            R"("limits":{"max-body-bytes":2000000,"tx-idle-ms":3000}})");
        putEntry("i-1", "primary");
        putEntry("i-2", "replica");
        FrontSettings settings;
        settings.vm = VmId("vm-1");
        settings.failureDomain = FailureDomainId("khomas-a");
        settings.peerAddress = "10.1.0.1:1";
        daemon = std::make_unique<FrontDaemon>(settings, store, endpoints, promotions, inventory, timers, nullptr);
        limits.callerDescriptors = 10;
        listener = std::make_unique<CallerListener>(context, *daemon, limits);
        address = { asio::ip::make_address("127.0.0.1"), findFreePort() };
        cr_assert_eq(listener->start({ "127.0.0.1", address.port() }), "");
    }

    ~Fixture()
    {
        listener->stop();
        // The callers have closed; their connections end with the events that are left.
        run(Milliseconds(20));
        daemon.reset();
    }

    /** Applies changed limits. */
    void restartListener()
    {
        listener->stop();
        listener = std::make_unique<CallerListener>(context, *daemon, limits);
        cr_assert_eq(listener->start({ "127.0.0.1", address.port() }), "");
    }

    void startDaemon()
    {
        daemon->start();
        timers.advance(Milliseconds(3000));
        cr_assert(daemon->isReady());
    }

    /** Lets events of the network and of the timers happen for this long in virtual time. */
    void run(Milliseconds duration)
    {
        for (Milliseconds passed { 0 }; passed < duration; passed += Milliseconds(1)) {
            context.run_one_for(Milliseconds(1));
            context.poll();
            timers.advance(Milliseconds(1));
        }
    }

private:
    void putEntry(const std::string& id, const std::string& role)
    {
        store.put("servers/" + id,
            R"({"service":"huvo","address":"10.1.0.9:80","zone":"khomas-a","slots":5,"phase":"ready","db-role":")"
                + role + "\"}");
    }

    std::uint16_t findFreePort()
    {
        const asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        return acceptor.local_endpoint().port();
    }
};

/** A caller's connection; collects what it receives. */
class Caller {
public:
    explicit Caller(Fixture& fixture)
        : fixture_(fixture)
        , socket_(fixture.context)
    {
        socket_.connect(fixture.address);
        socket_.non_blocking(true);
    }

    void send(std::string_view text)
    {
        while (!text.empty()) {
            std::error_code error;
            text.remove_prefix(socket_.write_some(asio::buffer(text), error));
            cr_assert(!error || error == asio::error::would_block, "%s", error.message().c_str());
            fixture_.run(Milliseconds(1));
        }
    }

    /** Sends the text and returns what is received within a time that suffices for every answer. */
    std::string exchange(std::string_view text)
    {
        constexpr Milliseconds patience { 100 };
        send(text);
        fixture_.run(patience);
        std::string received;
        std::array<char, 4096> buffer {};
        std::error_code error;
        while (!error)
            received.append(buffer.data(), socket_.read_some(asio::buffer(buffer), error));
        isClosed_ = error != asio::error::would_block;
        return received;
    }

    /** Resets the connection, so that writing to it fails. */
    void reset()
    {
        socket_.set_option(asio::socket_base::linger(true, 0));
        socket_.close();
    }

    bool isClosed() const { return isClosed_; }

private:
    Fixture& fixture_;
    asio::ip::tcp::socket socket_;
    bool isClosed_ = false;
};

std::vector<std::string> textsOf(const FakeEndpoints& endpoints)
{
    std::vector<std::string> texts;
    for (const RunStatement& statement : endpoints.runs())
        texts.push_back(statement.id + ' ' + statement.text);
    return texts;
}

bool startsWith(const std::string& text, const std::string& prefix) { return text.rfind(prefix, 0) == 0; }

} // namespace

// Guards against data that reaches an endpoint changed, or of which a part runs as a statement.
Test(CallerListener, passesDataOnUnchanged)
{
    Fixture fixture;
    fixture.startDaemon();
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    caller.exchange("QUERY 1 WRITE 1a4 phwcufhf\ngrly\nQUERY 2 WRITE 1a4 x\r\n");
    const std::vector<std::string> statements { "1 WRITE 1a4 phwcufhf\ngrly\nQUERY 2 WRITE 1a4 x" };
    cr_assert(textsOf(fixture.endpoints) == statements);
}

// Guards against running a statement that was cut off before its end.
Test(CallerListener, runsNoStatementWithoutItsEnd)
{
    for (const char* end : { "", "\r", "\n", "\n\n", "\n\r" }) {
        Fixture fixture;
        fixture.startDaemon();
        {
            Caller caller(fixture);
            cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
            cr_assert_eq(caller.exchange(std::string("QUERY 1 WRITE 1a4 x") + end), "");
        }
        fixture.run(Milliseconds(100));
        cr_assert(fixture.endpoints.runs().empty());
    }
}

// Guards against losing a statement that is sent behind STARTUP while the daemon does not know its configuration yet.
Test(CallerListener, answersStatementsSentBeforeTheSessionIsOpen)
{
    Fixture fixture;
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\nQUERY 1 SET zone x\r\nQUERY 2 BEGIN\r\n"), "");
    cr_assert(!caller.isClosed());
    fixture.startDaemon();
    cr_assert_eq(caller.exchange(""), "READY I -\r\nCOMPLETE -\r\nREADY I -\r\nCOMPLETE -\r\nREADY T -\r\n");
    cr_assert(!caller.isClosed());
}

// Guards against running statements of a caller whose session is refused, and against keeping any number of them:
// reading pauses, and what the daemon has not read is answered later.
Test(CallerListener, refusesStatementsOfASessionThatIsNotOpened)
{
    Fixture fixture;
    Caller unknown(fixture);
    cr_assert_eq(unknown.exchange("STARTUP nowhere who\r\nQUERY 1 WRITE 1a4 x\r\n"), "");
    Caller eager(fixture);
    constexpr std::size_t pipelined = 4 * Session::maximumPipelined;
    std::string statements;
    for (std::size_t i = 0; i < pipelined; ++i)
        statements += "QUERY " + std::to_string(i) + " SET zone x\r\n";
    cr_assert_eq(eager.exchange("STARTUP fiti who\r\n" + statements), "");
    cr_assert(!eager.isClosed());
    // One statement of the other caller waits as well.
    cr_assert_leq(fixture.listener->limits().unansweredStatements(), fixture.limits.pipelinedStatements + 1);
    fixture.startDaemon();
    cr_assert_eq(unknown.exchange(""), "ERROR NODB -\r\n");
    cr_assert(unknown.isClosed());
    cr_assert(fixture.endpoints.runs().empty());
    std::string expected = "READY I -\r\n";
    for (std::size_t i = 0; i < pipelined; ++i)
        expected += "COMPLETE -\r\nREADY I -\r\n";
    cr_assert_eq(eager.exchange(""), expected);
}

// Guards against losing order or statements when reading pauses behind one that runs.
Test(CallerListener, answersMoreStatementsThanItKeeps)
{
    Fixture fixture;
    fixture.startDaemon();
    Caller caller(fixture);
    std::string statements;
    std::vector<std::string> expected;
    for (int i = 0; i < 150; ++i) {
        const std::string statement = std::to_string(i) + " WRITE 1a4 x" + std::to_string(i);
        statements += "QUERY " + statement + "\r\n";
        expected.push_back(statement);
    }
    caller.send("STARTUP fiti who\r\n" + statements);
    for (int i = 0; i < 100 && fixture.endpoints.runs().size() < expected.size(); ++i) {
        caller.exchange("");
        cr_assert_leq(fixture.listener->limits().unansweredStatements(), fixture.limits.pipelinedStatements);
    }
    cr_assert(textsOf(fixture.endpoints) == expected);
    cr_assert(!caller.isClosed());
}

// Guards against an account that outlives its connection, and against refusing a new caller while a silent one could
// make room for it.
Test(CallerListener, closesTheOldestSilentConnectionForANewCaller)
{
    Fixture fixture;
    fixture.startDaemon();
    std::vector<std::unique_ptr<Caller>> silent;
    for (std::size_t i = 0; i < fixture.limits.callerDescriptors; ++i) {
        silent.push_back(std::make_unique<Caller>(fixture));
        fixture.run(Milliseconds(10));
    }
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    silent.front()->exchange("");
    silent.back()->exchange("");
    cr_assert(silent.front()->isClosed());
    cr_assert(!silent.back()->isClosed());
    cr_assert_eq(fixture.listener->limits().connections(), fixture.limits.callerDescriptors);
    silent.clear();
    fixture.run(Milliseconds(50));
    cr_assert_eq(fixture.listener->limits().connections(), 1U);
}

// Guards against a caller that stops in the middle of a large statement and keeps others from theirs, and against
// closing its connection without saying that the statement has not run.
Test(CallerListener, refusesAStalledStatementForWhoseMemoryOthersWait)
{
    Fixture fixture;
    fixture.limits.largeStatementBytes = fixture.limits.statementCopies * platform::maximumMessageBytes;
    fixture.restartListener();
    fixture.startDaemon();
    Caller stalled(fixture);
    cr_assert_eq(stalled.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    Caller waiting(fixture);
    cr_assert_eq(waiting.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    const std::string data(300000, 'x');
    cr_assert_eq(stalled.exchange("QUERY 1 WRITE 1a4 " + data), "");
    cr_assert_eq(waiting.exchange("QUERY 1 WRITE 1a4 " + data + "\r\n"), "", "two statements have the memory of one");
    std::string refusal;
    std::string answer;
    for (int i = 0; i < 80 && (refusal.empty() || answer.empty()); ++i) {
        refusal += stalled.exchange("");
        answer += waiting.exchange("");
    }
    cr_assert(startsWith(refusal, "ERROR BUSY "), "'%s'", refusal.c_str());
    cr_assert(stalled.isClosed());
    cr_assert(startsWith(answer, "COMPLETE "), "'%s'", answer.c_str());
    cr_assert_eq(fixture.endpoints.runs().size(), 1U);
    cr_assert_eq(fixture.listener->limits().held().largeStatements, 0U);
}

// Guards against closing the connection silently when a session's state gets no memory.
Test(CallerListener, refusesStateBeyondTheShareOfAllSessions)
{
    Fixture fixture;
    fixture.limits.sessionStateBytes = 1024 * 1024;
    fixture.restartListener();
    fixture.startDaemon();
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    const std::string value(700000, 'x');
    cr_assert_eq(caller.exchange("QUERY 1 SET a " + value + "\r\n"), "COMPLETE -\r\nREADY I -\r\n");
    cr_assert(startsWith(caller.exchange("QUERY 2 SET b " + value.substr(0, 200000) + "\r\n"), "ERROR TOOBIG "));
    cr_assert_eq(caller.exchange("QUERY 3 SET a x\r\n"), "COMPLETE -\r\nREADY I -\r\n");
    cr_assert_eq(fixture.listener->limits().held().sessionState, 0U);
    cr_assert(fixture.listener->limits().held() == fixture.listener->limits().sumOverAccounts());
}

// Guards against handling what follows a message that is refused: it may be the rest of data.
Test(CallerListener, handlesNothingAfterARefusedMessage)
{
    const std::string statement = "\r\nQUERY 2 WRITE 1a4 x\r\n";
    for (const std::string& refused :
        { std::string("STARTUP fiti who"), std::string("HELLO"), std::string("READY I -"), std::string() }) {
        Fixture fixture;
        fixture.startDaemon();
        Caller caller(fixture);
        cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
        cr_assert(startsWith(caller.exchange(refused + statement), "ERROR MALFORMED "), "'%s'", refused.c_str());
        cr_assert(caller.isClosed(), "'%s'", refused.c_str());
        cr_assert(fixture.endpoints.runs().empty(), "'%s'", refused.c_str());
    }
    Fixture fixture;
    fixture.startDaemon();
    Caller caller(fixture);
    cr_assert(startsWith(caller.exchange("QUERY 1 WRITE 1a4 x\r\nSTARTUP fiti who" + statement), "ERROR MALFORMED "));
    cr_assert(caller.isClosed(), "a statement before STARTUP");
    cr_assert(fixture.endpoints.runs().empty());
}

// Guards against closing without the protocol's error when a message is too long, and against running what follows it.
Test(CallerListener, refusesAMessageThatIsTooLong)
{
    const std::string tooLong(platform::maximumMessageBytes + 1, 'x');
    for (const std::string& message : { tooLong, "QUERY 1 WRITE 1a4 " + tooLong + "\r\nQUERY 2 WRITE 1a4 x\r\n" }) {
        Fixture fixture;
        fixture.startDaemon();
        Caller caller(fixture);
        cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
        const std::string answer = caller.exchange(message);
        cr_assert(startsWith(answer, "ERROR TOOBIG "), "'%s'", answer.c_str());
        cr_assert(caller.isClosed());
        cr_assert(fixture.endpoints.runs().empty());
    }
}

// Guards against a refusal that the caller takes for the answer to the statement before it, which may have run.
Test(CallerListener, answersEarlierStatementsBeforeItRefuses)
{
    Fixture fixture;
    fixture.startDaemon();
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    const std::string answer
        = caller.exchange("QUERY 1 WRITE 1a4 x\r\nQUERY 2 WRITE 1a4 y\r\nHELLO\r\nQUERY 3 WRITE 1a4 z\r\n");
    const std::vector<std::string> statements { "1 WRITE 1a4 x", "2 WRITE 1a4 y" };
    cr_assert(textsOf(fixture.endpoints) == statements);
    LineBuffer lines;
    lines.append(answer);
    for (int i = 0; i < 2; ++i) {
        cr_assert(startsWith(std::string(lines.next().value_or("")), "COMPLETE "), "%s", answer.c_str());
        cr_assert(startsWith(std::string(lines.next().value_or("")), "READY I "), "%s", answer.c_str());
    }
    cr_assert(startsWith(std::string(lines.next().value_or("")), "ERROR MALFORMED "), "%s", answer.c_str());
    cr_assert(!lines.next());
    cr_assert(caller.isClosed());
}

// Guards against ending a session, and with it a transaction, because of one text that is not a statement.
Test(CallerListener, answersATextThatIsNotAStatement)
{
    Fixture fixture;
    fixture.startDaemon();
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    for (const char* text : { "READ", "READ  x", "AFTER 3.1 READ x", "RESET" }) {
        const std::string answer = caller.exchange("QUERY 1 " + std::string(text) + "\r\n");
        cr_assert(startsWith(answer, "ERROR MALFORMED "), "'%s'", text);
        cr_assert_neq(answer.find("\r\nREADY I -\r\n"), std::string::npos, "'%s'", text);
        cr_assert(!caller.isClosed());
    }
    cr_assert(fixture.endpoints.runs().empty());
}

// Guards against using a connection after it was released: the answer to a statement and the refusal behind it meet a
// caller that has reset its connection.
Test(CallerListener, survivesACallerThatResetsBeforeItIsRefused)
{
    Fixture fixture;
    fixture.startDaemon();
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    caller.send("QUERY 1 WRITE 1a4 x\r\nHELLO\r\n");
    caller.reset();
    // The answer arrives before the reset has been noticed.
    fixture.timers.advance(Milliseconds(100));
    fixture.run(Milliseconds(10));
    cr_assert_eq(fixture.endpoints.runs().size(), 1U);
}

// Guards against the same at the end of the process, when a running statement is answered and the connection closed.
Test(CallerListener, survivesACallerThatResetsBeforeTheDaemonStops)
{
    Fixture fixture;
    fixture.startDaemon();
    Caller caller(fixture);
    cr_assert_eq(caller.exchange("STARTUP fiti who\r\n"), "READY I -\r\n");
    fixture.endpoints.server(EndpointId("i-1")).stallsWrites = true;
    caller.send("QUERY 1 WRITE 1a4 x\r\n");
    caller.reset();
    bool isStopped = false;
    fixture.daemon->beginStop([&isStopped] { isStopped = true; });
    fixture.timers.advance(Milliseconds(30000));
    fixture.run(Milliseconds(10));
    cr_assert(isStopped);
}
