#include "almondlever/common/Time.h"
#include "soak/StandinConnection.h"

#include <algorithm>
#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::soak;

namespace {

/** A group with one endpoint, which leads, and a connection to it. */
struct Connected {
    asio::io_context context;
    PromiseChecker checker;
    StandinGroup group { context, checker, GroupId("ledger"), 1, OddData::None };
    StandinEndpoint& endpoint = group.add(EndpointId("a"));
    std::shared_ptr<WireStream> stream = std::make_shared<WireStream>(context);
    std::vector<std::string> messages;
    bool isClosed = false;

    void open(const EndpointFaults& faults)
    {
        group.setFirstLeader(endpoint.id());
        // A port that was free a moment ago.
        const std::uint16_t port
            = asio::ip::tcp::acceptor(context, { asio::ip::address_v4::loopback(), 0 }).local_endpoint().port();
        cr_assert_eq(endpoint.start(port), "");
        endpoint.faults() = faults;
        stream->connect(port,
            { [this](std::string_view message) { messages.emplace_back(message); }, [this] { isClosed = true; } });
        stream->write("STARTUP ledger test a\r\n");
    }

    template <typename Condition> bool waitFor(Condition condition)
    {
        constexpr std::chrono::seconds limit { 10 };
        const TimePoint until = Clock::now() + limit;
        while (!condition() && Clock::now() < until)
            context.run_one_for(Milliseconds(20));
        return condition();
    }
    bool waitForMessages(std::size_t count)
    {
        return waitFor([this, count] { return messages.size() >= count; });
    }
};

} // namespace

// Guards against a name, a shape or an argument that the stand-in reads differently from how it was sent.
Test(StandinConnection, runsTextByteForByte)
{
    Connected connected;
    connected.open({});
    SentStatement sent;
    sent.text = "i1  c1-7\nQUERY x READ y ";
    sent.prepared = PreparedShape { true, " q7 READ  arpe" };
    sent.values = { { "zo\nne", " v1 \r" } };
    connected.checker.noteSent("q\n1", sent);
    connected.checker.noteCommitAsked({ " c1-7\nQUERY x READ y " });
    connected.stream->write("QUERY - SET zo\nne  v1 \r\r\nQUERY - PREPARE s\xff WRITE  q7 READ  arpe\r\n");
    connected.stream->write("QUERY q\n1 EXECUTE s\xff i1  c1-7\nQUERY x READ y \r\n");
    constexpr std::size_t setupMessages = 5;
    cr_assert(connected.waitForMessages(setupMessages));
    cr_assert(connected.waitFor([&connected] { return !connected.endpoint.log().empty(); }));
    cr_assert(connected.checker.violations().empty());
    cr_assert_eq(connected.endpoint.log().front().tokens.front(), " c1-7\nQUERY x READ y ");
}

// Guards against a soak without repeated answers: each kind of answer comes twice, byte for byte.
Test(StandinConnection, repeatsAnswers)
{
    Connected connected;
    EndpointFaults faults;
    faults.repeats = 1;
    connected.open(faults);
    cr_assert(connected.waitForMessages(2));
    cr_assert(connected.messages == std::vector<std::string>(2, "READY I 0.0"));
    for (const char* text : { "SET zone v1", "BEGIN", "STATUS", "READ" }) {
        connected.messages.clear();
        connected.stream->write(std::string("QUERY - ") + text + "\r\n");
        const auto countEnds = [&connected] {
            return std::count_if(connected.messages.begin(), connected.messages.end(),
                [](const std::string& message) { return message.rfind("READY", 0) == 0; });
        };
        cr_assert(connected.waitFor([&countEnds] { return countEnds() == 2; }), "%s", text);
        const auto half = static_cast<std::ptrdiff_t>(connected.messages.size() / 2);
        cr_assert(std::equal(connected.messages.begin(), connected.messages.begin() + half,
                      connected.messages.begin() + half, connected.messages.end()),
            "%s", text);
    }
    constexpr std::size_t answers = 5;
    cr_assert_eq(connected.group.repeated(), answers);
    cr_assert(!connected.isClosed);
}

// Guards against an answer that is repeated after its connection has ended.
Test(StandinConnection, repeatsNothingAfterTheEnd)
{
    Connected connected;
    EndpointFaults faults;
    faults.repeats = 1;
    connected.open(faults);
    cr_assert(connected.waitForMessages(1));
    connected.stream->close();
    constexpr Milliseconds longestDelay { 1600 };
    connected.context.run_for(longestDelay);
    cr_assert_leq(connected.messages.size(), 2U);
    cr_assert_eq(connected.group.repeated(), connected.messages.size() - 1);
}

// Guards against a soak without cut answers, and against a cut that leaves the connection open.
Test(StandinConnection, cutsAnswersOff)
{
    Connected connected;
    EndpointFaults faults;
    connected.open(faults);
    cr_assert(connected.waitForMessages(1));
    connected.endpoint.faults().cuts = 1;
    connected.messages.clear();
    connected.stream->write("QUERY - STATUS\r\n");
    cr_assert(connected.waitFor([&connected] { return connected.isClosed; }));
    cr_assert_lt(connected.messages.size(), 3U);
    cr_assert_eq(connected.group.accepted(), 1U);
}
