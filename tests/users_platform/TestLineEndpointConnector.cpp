#include "platform/LineEndpointConnector.h"

#include "mocks/FakeTimerService.h"
#include "pooling/PooledLink.h"

#include <asio.hpp>
#include <criterion/criterion.h>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** Keeps what a connection reports. */
class RecordingOwner final : public PooledLinkOwner {
public:
    void onPooledLinkOpened(PooledLink&, const Reply&, TimePoint /*now*/) override { isOpen = true; }
    void onPooledLinkReply(PooledLink&, const Reply&, TimePoint /*now*/) override { }
    void onUnmatchedReply(PooledLink&, ReplyMatch match, const Reply&, TimePoint /*now*/) override
    {
        unmatched.push_back(match);
    }
    void onPooledLinkClosed(
        PooledLink&, const std::string& reason, std::optional<StatementError>, TimePoint /*now*/) override
    {
        closeReason = reason;
    }

    bool isOpen = false;
    std::vector<ReplyMatch> unmatched;
    std::string closeReason;
};

/** A connection to an endpoint that a test plays by hand. */
struct PlayedEndpoint {
    PlayedEndpoint()
        : acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 })
        , connector(context, timers)
        , socket(context)
        , link(std::make_shared<PooledLink>(owner, EndpointId("i-1"), CustomerId(), timers.now()))
    {
        EndpointEntry entry;
        entry.id = EndpointId("i-1");
        entry.group = GroupId("ledger");
        entry.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        link->attach(connector.connect(entry, CustomerId(), link));
        socket = acceptor.accept();
        play("READY I 3.1\r\n", [this] { return owner.isOpen; });
    }

    ~PlayedEndpoint() { link->abandon(); }
    PlayedEndpoint(const PlayedEndpoint&) = delete;
    PlayedEndpoint& operator=(const PlayedEndpoint&) = delete;

    /** Sends the bytes and runs the event loop until the condition holds, one second at most. */
    void play(const std::string& bytes, const std::function<bool()>& isDone)
    {
        asio::write(socket, asio::buffer(bytes));
        for (int i = 0; i < 100 && !isDone(); ++i) {
            context.restart();
            context.run_one_for(Milliseconds(10));
        }
    }

    void send(EndpointCommand::Kind kind, const std::string& text = "")
    {
        EndpointCommand command;
        command.kind = kind;
        command.id = text.empty() ? "" : "1";
        command.text = text;
        link->send(
            command,
            [this](const Reply* reply, TimePoint) {
                if (reply)
                    replies.push_back(*reply);
            },
            timers.now());
    }

    void playAnswers(const std::string& bytes, std::size_t count)
    {
        play(bytes, [this, count] { return replies.size() >= count; });
    }

    asio::io_context context { 1 };
    FakeTimerService timers;
    asio::ip::tcp::acceptor acceptor;
    LineEndpointConnector connector;
    RecordingOwner owner;
    asio::ip::tcp::socket socket;
    std::shared_ptr<PooledLink> link;
    std::vector<Reply> replies;
};

} // namespace

// Guards against passing on READY alone, or an answer without a signature, as the result of a statement.
Test(LineEndpointConnector, statementsAreAnsweredOnlyByWholeSignedReplies)
{
    PlayedEndpoint endpoint;
    endpoint.send(EndpointCommand::Kind::Forward, "READ x");
    endpoint.playAnswers("READY I 3.1\r\nCOMPLETE -\r\nREADY I 3.1\r\nDATAROW a\r\nCOMPLETE s1\r\nREADY I 3.2\r\n", 1);
    cr_assert_eq(endpoint.replies.size(), 1U);
    cr_assert_eq(endpoint.replies[0].detail, "s1");
    cr_assert_eq(endpoint.replies[0].rows.size(), 1U);
    cr_assert_eq(endpoint.owner.unmatched.size(), 2U);
    cr_assert_eq(endpoint.owner.closeReason, "");
}

// Guards against taking the second of two equal answers for that to the next command, over a real connection.
Test(LineEndpointConnector, repeatedAnswersAreNotTakenForLaterOnes)
{
    const std::string first = "DATAROW a\r\nCOMPLETE s1\r\nREADY I 3.2\r\n";
    PlayedEndpoint endpoint;
    endpoint.send(EndpointCommand::Kind::Forward, "READ x");
    endpoint.playAnswers(first, 1);
    endpoint.send(EndpointCommand::Kind::QueryStatus);
    endpoint.playAnswers(first + "DATAROW replica 3 3.9 0 1 0 1\r\nCOMPLETE -\r\nREADY I 3.2\r\n", 2);
    endpoint.send(EndpointCommand::Kind::Forward, "READ y");
    endpoint.playAnswers(first + "DATAROW b\r\nCOMPLETE s2\r\nREADY I 3.2\r\n", 3);
    cr_assert_eq(endpoint.replies.size(), 3U);
    cr_assert(endpoint.replies[1].replication.has_value());
    cr_assert(endpoint.replies[1].replication->received == LogPosition({ 3, 9 }));
    cr_assert_eq(endpoint.replies[2].detail, "s2");
    cr_assert_eq(endpoint.owner.closeReason, "");
}

// Guards against an answer that is cut off and would be completed by the next one.
Test(LineEndpointConnector, answerThatIsCutOffIsNotDelivered)
{
    PlayedEndpoint endpoint;
    endpoint.send(EndpointCommand::Kind::Forward, "READ x");
    endpoint.play("DATAROW a\r\nCOMPLETE s1\r\nREA", [] { return false; });
    endpoint.socket.close();
    for (int i = 0; i < 100 && endpoint.owner.closeReason.empty(); ++i) {
        endpoint.context.restart();
        endpoint.context.run_one_for(Milliseconds(10));
    }
    cr_assert(endpoint.replies.empty());
    cr_assert_neq(endpoint.owner.closeReason, "");
}

// Guards against a command that is never sent, and whose statement waits for its time-out.
Test(LineEndpointConnector, commandThatIsNoMessageClosesTheConnection)
{
    PlayedEndpoint endpoint;
    endpoint.send(EndpointCommand::Kind::Forward, "READ x\r\nQUERY 2 WRITE y z");
    cr_assert_eq(endpoint.owner.closeReason, "");
    endpoint.play("", [&endpoint] { return !endpoint.owner.closeReason.empty(); });
    cr_assert_eq(endpoint.owner.closeReason, "a command does not fit into one message");
    cr_assert(endpoint.replies.empty());
}
