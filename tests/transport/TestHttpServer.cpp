#include "almondlever/transport/HttpServer.h"

#include <asio.hpp>
#include <criterion/criterion.h>

using namespace almondlever;

namespace {

/** Long enough for requests and responses to cross the loopback interface. */
constexpr Milliseconds settleTime { 80 };

/** A server that records the requests that reach its handler. */
struct Fixture {
    Fixture()
    {
        const auto started = server->start();
        cr_assert(started.hasValue());
        socket.connect({ asio::ip::address_v4::loopback(), started.value().port });
    }

    void run(Milliseconds time = settleTime)
    {
        context.restart();
        context.run_for(time);
    }

    /** Sends the bytes in one piece and lets the server handle them. */
    void send(const std::string& bytes)
    {
        asio::write(socket, asio::buffer(bytes));
        run();
    }

    /** All that the server has sent. */
    std::string received()
    {
        socket.non_blocking(true);
        std::string text;
        std::error_code error;
        while (!error) {
            std::array<char, 4096> piece {};
            const std::size_t size = socket.read_some(asio::buffer(piece), error);
            text.append(piece.data(), size);
        }
        isClosed = error != asio::error::would_block;
        return text;
    }

    /** Targets and bodies of the requests. */
    std::vector<std::string> requests;
    std::vector<std::shared_ptr<HttpExchange>> held;
    bool isHolding = false;
    bool isClosed = false;
    asio::io_context context;
    std::unique_ptr<HttpServer> server
        = makeHttpServer(context, HttpServerSettings {}, [this](const std::shared_ptr<HttpExchange>& exchange) {
              requests.push_back(exchange->path() + ' ' + exchange->body());
              if (isHolding)
                  held.push_back(exchange);
              else
                  exchange->respond({ 200, {}, exchange->path() });
          });
    asio::ip::tcp::socket socket { context };
};

std::string post(const std::string& target, const std::string& headers, const std::string& body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n" + body;
}

const std::string hidden = "POST /hidden HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

} // namespace

// Guards against a request inside the body of another one that is run because the two lengths of the body disagree.
Test(HttpServer, runsNoRequestInsideABody)
{
    const std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
    const std::vector<std::string> messages {
        post("/a", length, hidden),
        post("/a", "Content-Length: 0\r\n" + length, hidden),
        post("/a", length + "Content-Length: 0\r\n", hidden),
        post("/a", length + "Transfer-Encoding: chunked\r\n", "0\r\n\r\n" + hidden),
        post("/a", "Transfer-Encoding: chunked\r\n" + length, "0\r\n\r\n" + hidden),
        post("/a", "Content-Length: 0, 5\r\n", hidden),
        post("/a", "Content-Length: -1\r\n", hidden),
        post("/a", "Content-Length: 99999999999999999999\r\n", hidden),
        post("/a", "Transfer-Encoding: identity, chunked, x\r\n", hidden),
    };
    for (const std::string& message : messages) {
        Fixture fixture;
        fixture.send(message);
        for (const std::string& request : fixture.requests)
            cr_assert(request.rfind("/hidden", 0) != 0, "%s", message.c_str());
    }
}

// Guards against a response to a pipelined request that overtakes the one before it, so that the caller takes it for
// the answer to another request.
Test(HttpServer, answersPipelinedRequestsInTheirOrder)
{
    Fixture fixture;
    fixture.isHolding = true;
    fixture.send(post("/a", "Content-Length: 1\r\n", "1") + post("/b", "Content-Length: 1\r\n", "2"));
    while (!fixture.held.empty()) {
        const auto last = fixture.held.back();
        fixture.held.pop_back();
        last->respond({ 200, {}, last->path() });
        last->respond({ 200, {}, "twice" });
        fixture.run();
    }
    const std::string text = fixture.received();
    cr_assert_eq(fixture.requests.size(), 2U);
    const auto first = text.find("/a");
    const auto second = text.find("/b");
    cr_assert(first != std::string::npos && second != std::string::npos && first < second);
    cr_assert_eq(text.find("twice"), std::string::npos);
}

// Guards against the response to a request that reaches the next caller, or a handler that fails, when the caller has
// left before it.
Test(HttpServer, responseAfterTheCallerLeftIsDropped)
{
    Fixture fixture;
    fixture.isHolding = true;
    fixture.send(post("/a", "Content-Length: 0\r\n", ""));
    cr_assert_eq(fixture.held.size(), 1U);
    fixture.socket.close();
    fixture.run();
    fixture.held[0]->respond({ 200, {}, "late" });
    fixture.run();
}

// Guards against bytes of a body or a header that change on the way to the handler.
Test(HttpServer, keepsTheBytesOfABody)
{
    const std::string body("\0\r\n\n\xff\xc3 x", 8);
    for (const bool isChunked : { false, true }) {
        Fixture fixture;
        fixture.send(isChunked ? post("/a", "Transfer-Encoding: chunked\r\n", "8\r\n" + body + "\r\n0\r\n\r\n")
                               : post("/a", "Content-Length: 8\r\n", body));
        cr_assert_eq(fixture.requests.size(), 1U);
        cr_assert(fixture.requests[0] == "/a " + body);
    }
}
