#include "almondlever/transport/HttpClient.h"

#include <algorithm>
#include <asio.hpp>
#include <criterion/criterion.h>
#include <optional>

using namespace almondlever;

namespace {

constexpr Milliseconds requestTimeout { 300 };
constexpr HttpTransferLimits limits { Milliseconds(200), Milliseconds(1500) };

/** A server on loopback that sends its response in pieces, with a pause before each. */
class SlowServer {
public:
    SlowServer()
        : acceptor_(context, { asio::ip::address_v4::loopback(), 0 })
        , socket_(context)
        , timer_(context)
    {
        acceptor_.async_accept(socket_, [this](std::error_code error) {
            cr_assert(!error);
            asio::async_read_until(
                socket_, asio::dynamic_buffer(request_), "\r\n\r\n", [this](std::error_code readError, std::size_t) {
                    if (!readError)
                        sendPiece();
                });
        });
    }

    /** Requests the response and runs the event loop until it has arrived or failed. */
    HttpResult request(HttpClient& client, const HttpRequest& sent = { "GET", "/", {}, {} })
    {
        std::optional<HttpResult> result;
        const HttpAddress address { "127.0.0.1", acceptor_.local_endpoint().port() };
        startedAt = Clock::now();
        client.request(address, sent, requestTimeout, [&result](HttpResult received) { result = std::move(received); });
        while (!result)
            context.run_one_for(Milliseconds(100));
        return *result;
    }

    Duration elapsed() const { return Clock::now() - startedAt; }

    asio::io_context context;
    std::size_t pieces = 10;
    std::size_t piecesSent = 0;
    /** No more pieces are sent after this number. */
    std::size_t stopsAfter = 1000;
    Milliseconds pause { 80 };
    TimePoint startedAt {};

private:
    void sendPiece()
    {
        if (piecesSent >= std::min(pieces, stopsAfter))
            return;
        timer_.expires_after(pause);
        timer_.async_wait([this](std::error_code error) {
            if (error)
                return;
            output_ = piecesSent == 0
                ? "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(pieces * 4) + "\r\n\r\nabcd"
                : "abcd";
            ++piecesSent;
            asio::async_write(socket_, asio::buffer(output_), [this](std::error_code writeError, std::size_t) {
                if (!writeError)
                    sendPiece();
            });
        });
    }

    asio::ip::tcp::acceptor acceptor_;
    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    std::string request_;
    std::string output_;
};

} // namespace

// Guards against a large response that is given up although its bytes keep arriving, and is requested from the start.
Test(HttpClient, responseThatKeepsArrivingIsNotGivenUp)
{
    SlowServer server;
    HttpClient client(server.context, limits);
    const HttpResult result = server.request(client);
    cr_assert(result.hasValue());
    cr_assert_eq(result.value().body.size(), 40U);
    cr_assert_gt(server.elapsed() / Milliseconds(1), requestTimeout.count());
}

// Guards against waiting for the rest of a response that no longer arrives.
Test(HttpClient, stalledResponseFails)
{
    SlowServer server;
    server.stopsAfter = 3;
    HttpClient client(server.context, limits);
    cr_assert(!server.request(client));
    cr_assert_lt(server.elapsed() / Milliseconds(1), 1000);
}

// Guards against a server that never ends its response.
Test(HttpClient, responseThatNeverEndsFails)
{
    SlowServer server;
    server.pieces = 1000;
    HttpClient client(server.context, limits);
    cr_assert(!server.request(client));
    cr_assert_lt(server.elapsed() / Milliseconds(1), 2500);
}

// Guards against a longer wait for a server that does not answer at all.
Test(HttpClient, timeoutAppliesUntilTheResponseBegins)
{
    SlowServer server;
    server.stopsAfter = 0;
    HttpClient client(server.context, limits);
    cr_assert(!server.request(client));
    cr_assert_lt(server.elapsed() / Milliseconds(1), 1000);
}

// Guards against a name with a line end or a blank that ends a header or a target and begins another request.
Test(HttpClient, sendsNoRequestThatItsTextsWouldSplit)
{
    const std::vector<HttpRequest> requests {
        { "POST", "/promotion", { { "X-Duty-Holder", "a\r\nX-Fence-Token: 9" } }, "" },
        { "POST", "/promotion", { { "X-Duty-Holder", "a\nb" } }, "" },
        { "POST", "/promotion", { { "X-Duty-Holder", std::string("a\0b", 3) } }, "" },
        { "POST", "/promotion", { { "X: y\r\nZ", "a" } }, "" },
        { "GET", "/key HTTP/1.1\r\n\r\nGET /", {}, "" },
        { "GET", "/key with blank", {}, "" },
        { "GET", "", {}, "" },
    };
    for (const HttpRequest& request : requests) {
        SlowServer server;
        HttpClient client(server.context);
        const HttpResult result = server.request(client, request);
        cr_assert(!result);
        cr_assert(!result.error().mayHaveBeenSent);
        cr_assert_eq(server.piecesSent, 0U);
    }
    SlowServer server;
    server.pieces = 1;
    HttpClient client(server.context);
    cr_assert(server.request(client, { "POST", "/promotion", { { "X-Duty-Holder", "a b \xc3\xa4" } }, "" }).hasValue());
}
