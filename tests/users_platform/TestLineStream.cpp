#include "platform/LineStream.h"

#include <criterion/criterion.h>
#include <stdexcept>

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
