#include "almondlever/transport/HttpClient.h"

#include <asio.hpp>
#include <atomic>
#include <criterion/criterion.h>
#include <functional>
#include <optional>
#include <thread>

using namespace almondlever;

namespace {

constexpr Milliseconds requestTimeout { 400 };
/** Long enough for bytes to cross the loopback interface. */
constexpr Milliseconds transferTime { 60 };

/** A server on loopback that answers each connection with a script, on a thread of its own. */
class ScriptedServer {
public:
    using Socket = asio::ip::tcp::socket;
    /** Serves one connection; returns when it is to be closed. */
    using Script = std::function<void(Socket&)>;

    explicit ScriptedServer(Script script)
        : acceptor_(context_, { asio::ip::address_v4::loopback(), 0 })
        , thread_([this, script = std::move(script)] { serve(script); })
    {
    }

    ~ScriptedServer()
    {
        isStopping_ = true;
        std::error_code ignored;
        Socket(context_).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
    }

    HttpAddress address() const { return { "127.0.0.1", acceptor_.local_endpoint().port() }; }
    int connections() const { return connections_; }

    /** Reads one request without a body and returns its target; empty when the client has closed the connection. */
    static std::string readTarget(Socket& socket)
    {
        std::string request;
        std::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
        if (error)
            return {};
        const auto begin = request.find(' ') + 1;
        return request.substr(begin, request.find(' ', begin) - begin);
    }

    static void send(Socket& socket, const std::string& bytes)
    {
        std::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
    }

private:
    void serve(const Script& script)
    {
        while (true) {
            Socket socket(context_);
            std::error_code error;
            acceptor_.accept(socket, error);
            if (error || isStopping_)
                return;
            ++connections_;
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            script(socket);
        }
    }

    asio::io_context context_;
    asio::ip::tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_ { false };
    std::atomic<int> connections_ { 0 };
    std::thread thread_;
};

std::string responseTo(const std::string& target)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) + "\r\n\r\n" + target;
}

/** Answers all requests correctly, the first of each server in a special way. */
ScriptedServer::Script answerFirst(std::function<void(ScriptedServer::Socket&, const std::string& target)> answer)
{
    const auto isFirst = std::make_shared<bool>(true);
    return [isFirst, answer = std::move(answer)](ScriptedServer::Socket& socket) {
        while (true) {
            const std::string target = ScriptedServer::readTarget(socket);
            if (target.empty())
                return;
            if (!*isFirst) {
                ScriptedServer::send(socket, responseTo(target));
                continue;
            }
            *isFirst = false;
            answer(socket, target);
        }
    };
}

struct Client {
    HttpResult request(const ScriptedServer& server, const std::string& target)
    {
        std::optional<HttpResult> result;
        client.request(server.address(), { "GET", target, {}, {} }, requestTimeout,
            [&result](HttpResult received) { result = std::move(received); });
        while (!result)
            context.run_one_for(Milliseconds(100));
        return *result;
    }

    /** Requests "/a" and then "/b"; the second response must be the one to the second request. */
    HttpResult requestTwice(const ScriptedServer& server, Milliseconds pause = Milliseconds(0))
    {
        HttpResult first = request(server, "/a");
        const TimePoint end = Clock::now() + pause;
        while (Clock::now() < end)
            context.run_one_for(Milliseconds(5));
        // It stops when all connections are closed.
        context.restart();
        const HttpResult second = request(server, "/b");
        cr_assert(second.hasValue());
        cr_assert_str_eq(second.value().body.c_str(), "/b");
        return first;
    }

    asio::io_context context;
    HttpClient client { context };
};

} // namespace

// Guards against the second copy of a response being taken for the response to the next request, when it has arrived
// but not been read by the time that request is sent.
Test(HttpResponses, unreadSecondResponseIsNotTheNextOne)
{
    const ScriptedServer server(answerFirst([](auto& socket, const std::string& target) {
        ScriptedServer::send(socket, responseTo(target));
        std::this_thread::sleep_for(transferTime / 3);
        ScriptedServer::send(socket, responseTo(target));
    }));
    Client client;
    std::optional<HttpResult> second;
    client.client.request(server.address(), { "GET", "/a", {}, {} }, requestTimeout, [&](const HttpResult& first) {
        cr_assert(first.hasValue());
        // The thread is busy while the second copy arrives.
        std::this_thread::sleep_for(transferTime);
        client.client.request(server.address(), { "GET", "/b", {}, {} }, requestTimeout,
            [&second](HttpResult received) { second = std::move(received); });
    });
    while (!second)
        client.context.run_one_for(Milliseconds(100));
    cr_assert(second->hasValue());
    cr_assert_str_eq(second->value().body.c_str(), "/b");
    cr_assert_eq(server.connections(), 2);
}

// Guards against using a connection again on which a response came that nobody asked for.
Test(HttpResponses, secondResponseClosesTheIdleConnection)
{
    const ScriptedServer server(answerFirst([](auto& socket, const std::string& target) {
        ScriptedServer::send(socket, responseTo(target));
        std::this_thread::sleep_for(transferTime / 3);
        ScriptedServer::send(socket, responseTo(target));
    }));
    cr_assert(Client().requestTwice(server, transferTime).hasValue());
    cr_assert_eq(server.connections(), 2);
}

// Guards against using the rest of the received bytes when two responses arrive together.
Test(HttpResponses, twoResponsesTogetherCloseTheConnection)
{
    const ScriptedServer server(answerFirst([](auto& socket, const std::string& target) {
        ScriptedServer::send(socket, responseTo(target) + responseTo(target));
    }));
    cr_assert(!Client().requestTwice(server).hasValue());
    cr_assert_eq(server.connections(), 2);
}

// Guards against taking an interim response for the response, so that the response itself becomes the next one.
Test(HttpResponses, interimResponseIsSkipped)
{
    for (const Milliseconds pause : { Milliseconds(0), transferTime }) {
        const ScriptedServer server(answerFirst([pause](auto& socket, const std::string& target) {
            ScriptedServer::send(socket, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n");
            std::this_thread::sleep_for(pause);
            ScriptedServer::send(socket, responseTo(target));
        }));
        const HttpResult first = Client().requestTwice(server);
        cr_assert(first.hasValue());
        cr_assert_eq(first.value().status, 200U);
        cr_assert_str_eq(first.value().body.c_str(), "/a");
    }
}

// Guards against a response that is taken for complete although its body was cut off or is longer than announced, and
// against using its connection again.
Test(HttpResponses, responseOfWrongLengthFails)
{
    const std::vector<std::string> responses {
        "HTTP/1.1 200 OK\r\nContent-Length: 40\r\n\r\nshort",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nlonger",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nConten",
    };
    for (const std::string& response : responses) {
        for (const bool isClosed : { true, false }) {
            const ScriptedServer server(answerFirst([&](auto& socket, const std::string&) {
                ScriptedServer::send(socket, response);
                std::error_code ignored;
                if (isClosed)
                    socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
            }));
            const HttpResult first = Client().requestTwice(server);
            cr_assert(!first.hasValue(), "%s", response.c_str());
            cr_assert(first.error().mayHaveBeenSent);
            cr_assert_eq(server.connections(), 2);
        }
    }
}

// Guards against a response that arrives after the time-out and becomes the response to the next request.
Test(HttpResponses, lateResponseIsNotTheNextOne)
{
    const ScriptedServer server(answerFirst([](auto& socket, const std::string& target) {
        std::this_thread::sleep_for(requestTimeout + transferTime);
        ScriptedServer::send(socket, responseTo(target));
    }));
    cr_assert(!Client().requestTwice(server, transferTime * 2).hasValue());
    cr_assert_eq(server.connections(), 2);
}

// Guards against a chunked response that is not read completely, so that its rest becomes the next response.
Test(HttpResponses, chunkedResponseInPiecesIsRead)
{
    const ScriptedServer server(answerFirst([](auto& socket, const std::string&) {
        for (const char* piece :
            { "HTTP/1.1 200 OK\r\nTransfer-Enc", "oding: chunked\r\n\r\n2\r\n/", "a\r\n0\r", "\n\r\n" }) {
            ScriptedServer::send(socket, piece);
            std::this_thread::sleep_for(transferTime / 4);
        }
    }));
    const HttpResult first = Client().requestTwice(server);
    cr_assert(first.hasValue());
    cr_assert_str_eq(first.value().body.c_str(), "/a");
    cr_assert_eq(server.connections(), 1);
}

// Guards against a name or value in a request that ends its line and is read as another header or request.
Test(HttpResponses, requestWithALineEndIsNotSent)
{
    const std::vector<HttpRequest> requests {
        { "GET", "/a HTTP/1.1\r\n\r\nGET /hidden", {}, {} },
        { "GET", "/a\n", {}, {} },
        { "GET", "/a b", {}, {} },
        { "GET", "/a", { { "Almondlever-Vm", "vm\r\nX-Fence-Token: 9" } }, {} },
        { "GET", "/a", { { "Almondlever-Vm", std::string("vm\0", 3) } }, {} },
        { "GET", "/a", { { "A:b\nC", "vm" } }, {} },
    };
    for (const HttpRequest& request : requests) {
        std::atomic<bool> isSent { false };
        const ScriptedServer server(
            [&isSent](auto& socket) { isSent = isSent || !ScriptedServer::readTarget(socket).empty(); });
        std::optional<HttpResult> result;
        {
            Client client;
            client.client.request(server.address(), request, requestTimeout,
                [&result](HttpResult received) { result = std::move(received); });
            while (!result)
                client.context.run_one_for(Milliseconds(100));
        }
        std::this_thread::sleep_for(transferTime / 3);
        cr_assert(!result->hasValue());
        cr_assert(!result->error().mayHaveBeenSent);
        cr_assert(!isSent);
    }
}
