#include "platform/HttpMetadataStore.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <optional>
#include <thread>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** Sends a page for the requested prefix, and on the first connection each page again when the next request arrives. */
void serve(asio::ip::tcp::acceptor& acceptor, int connections)
{
    for (int connection = 0; connection < connections; ++connection) {
        asio::ip::tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket);
        std::string former;
        while (true) {
            std::string request;
            std::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            if (error)
                break;
            const std::string key = request.find("prefix=op/") != std::string::npos ? "op/config" : "servers/i";
            const std::string body = R"({"items":[{"key":")" + key + R"(","value":"YQ==","revision":5}],"as-of":5})";
            const std::string response
                = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            const bool isShifted = connection == 0 && !former.empty();
            asio::write(socket, asio::buffer(isShifted ? former : response), error);
            former = response;
        }
    }
}

} // namespace

// Guards against a page that comes a second time, after the next call was sent, and is taken for its answer: the
// endpoints would be missing from the inventory.
Test(HttpMetadataStore, pageOfAnotherCallIsNotTaken)
{
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor(serverContext, { asio::ip::address_v4::loopback(), 0 });
    std::thread server([&acceptor] { serve(acceptor, 2); });
    asio::io_context context;
    Metrics metrics;
    {
        HttpMetadataStore store(context, { "127.0.0.1", acceptor.local_endpoint().port() }, metrics);
        const auto read = [&](const std::string& prefix) {
            std::optional<StoreResult<StorePage>> page;
            store.readRange(prefix, "", [&page](StoreResult<StorePage> result) { page = std::move(result); });
            context.restart();
            while (!page)
                context.run_one_for(Milliseconds(50));
            return *page;
        };
        cr_assert(read("op/").hasValue());
        const auto shifted = read("servers/");
        cr_assert(!shifted.hasValue());
        cr_assert(shifted.error().kind == StoreFailure::Kind::NoAnswer);
        const auto repeated = read("servers/");
        cr_assert(repeated.hasValue());
        cr_assert_eq(repeated.value().items.at(0).key, "servers/i");
    }
    server.join();
}
