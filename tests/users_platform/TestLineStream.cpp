#include "platform/LineStream.h"

#include <criterion/criterion.h>
#include <stdexcept>
#include <string>
#include <vector>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** A connected pair: the stream under test and the socket of its peer. */
struct ConnectedPair {
    explicit ConnectedPair(asio::io_context& context)
        : peer(context)
    {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        peer.connect(acceptor.local_endpoint());
        stream = std::make_shared<LineStream>(acceptor.accept());
    }

    void startReading(std::function<void(std::string_view)> onLine)
    {
        LineStream::Handlers handlers;
        handlers.onLine = std::move(onLine);
        handlers.onClosed = [this](const std::string& closeReason) { reason = closeReason; };
        stream->setHandlers(std::move(handlers));
        stream->start();
    }
    void sendFromPeer(const std::string& text) { asio::write(peer, asio::buffer(text)); }

    asio::ip::tcp::socket peer;
    std::shared_ptr<LineStream> stream;
    std::string reason;
};

} // namespace

// Guards against an exception in the handling of one caller's message ending the process, and with it the connections
// of thousands of other callers.
Test(LineStream, throwingHandlerClosesOnlyItsConnection)
{
    asio::io_context context;
    ConnectedPair bad(context);
    ConnectedPair good(context);
    std::string receivedLine;
    bad.startReading([](std::string_view) { throw std::runtime_error("unexpected"); });
    good.startReading([&receivedLine](std::string_view line) { receivedLine = line; });
    bad.sendFromPeer("QUERY 1 READ x\r\n");
    good.sendFromPeer("QUERY 2 READ x\r\n");
    for (int i = 0; i < 100 && (receivedLine.empty() || bad.reason.empty()); ++i)
        context.run_one_for(Milliseconds(50));
    cr_assert_eq(receivedLine, "QUERY 2 READ x");
    cr_assert_eq(bad.reason, "internal error: unexpected");
    cr_assert(good.reason.empty());
    good.stream->close();
}

// Guards against passing on an endpoint's message that is too long, and what follows it.
Test(LineStream, closesOnAMessageThatIsTooLong)
{
    asio::io_context context;
    ConnectedPair pair(context);
    std::vector<std::string> lines;
    pair.startReading([&lines](std::string_view line) { lines.emplace_back(line); });
    pair.peer.non_blocking(true);
    const std::string text = "READY I -\r\n" + std::string(maximumMessageBytes + 1, 'x') + "\r\nREADY I -\r\n";
    std::string_view unsent = text;
    for (int i = 0; i < 2000 && pair.reason.empty(); ++i) {
        std::error_code ignored;
        unsent.remove_prefix(pair.peer.write_some(asio::buffer(unsent), ignored));
        context.run_one_for(Milliseconds(5));
    }
    cr_assert_eq(pair.reason, "a message is too long");
    cr_assert_eq(lines.size(), 1U);
    cr_assert_eq(lines[0], "READY I -");
}

// Guards against handling messages after their owner has decided not to, and against missing the end of the connection.
Test(LineStream, ignoresInputAndNoticesTheEnd)
{
    asio::io_context context;
    ConnectedPair pair(context);
    std::vector<std::string> lines;
    pair.startReading([&](std::string_view line) {
        lines.emplace_back(line);
        pair.stream->ignoreInput();
    });
    pair.sendFromPeer("a\r\nb\r\nc");
    for (int i = 0; i < 100 && lines.empty(); ++i)
        context.run_one_for(Milliseconds(50));
    pair.sendFromPeer("\r\nd\r\n");
    pair.peer.close();
    for (int i = 0; i < 100 && pair.reason.empty(); ++i)
        context.run_one_for(Milliseconds(50));
    cr_assert_eq(pair.reason, "closed by the peer");
    cr_assert_eq(lines.size(), 1U);
}
