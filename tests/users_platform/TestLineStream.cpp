#include "platform/LineStream.h"

#include <criterion/criterion.h>
#include <stdexcept>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** A stream of the tested side and the socket of its peer. */
struct Pair {
    explicit Pair(asio::io_context& context)
        : peer(context)
    {
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
        peer.connect(acceptor.local_endpoint());
        stream = std::make_shared<LineStream>(acceptor.accept());
    }

    void handle(std::function<void(std::string_view)> onLine)
    {
        LineStream::Handlers handlers;
        handlers.onLine = std::move(onLine);
        handlers.onClosed = [this](const std::string& closedBecause) { reason = closedBecause; };
        stream->setHandlers(std::move(handlers));
        stream->start();
    }
    void say(const std::string& text) { asio::write(peer, asio::buffer(text)); }

    asio::ip::tcp::socket peer;
    std::shared_ptr<LineStream> stream;
    std::string reason;
};

} // namespace

// Guards against one caller's message that ends the process and with it the connections of thousands of others.
Test(LineStream, failingHandlerClosesItsConnectionOnly)
{
    asio::io_context context;
    Pair bad(context);
    Pair good(context);
    std::string heard;
    bad.handle([](std::string_view) { throw std::runtime_error("unexpected"); });
    good.handle([&heard](std::string_view line) { heard = line; });
    bad.say("QUERY 1 READ x\r\n");
    good.say("QUERY 2 READ x\r\n");
    for (int i = 0; i < 100 && (heard.empty() || bad.reason.empty()); ++i)
        context.run_one_for(Milliseconds(50));
    cr_assert_eq(heard, "QUERY 2 READ x");
    cr_assert_eq(bad.reason, "internal error: unexpected");
    cr_assert(good.reason.empty());
    good.stream->close();
}
