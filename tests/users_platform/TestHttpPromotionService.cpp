#include "platform/HttpPromotionService.h"

#include <asio.hpp>
#include <criterion/criterion.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace almondlever;
using namespace almondlever::platform;

namespace {

/** Reads one request; returns its body, empty when the client has closed the connection. */
std::string readBody(asio::ip::tcp::socket& socket)
{
    std::string text;
    std::error_code error;
    const std::size_t headBytes = asio::read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", error);
    if (error)
        return {};
    const std::string field = "Content-Length: ";
    const std::size_t bodyBytes = std::stoul(text.substr(text.find(field) + field.size()));
    if (text.size() < headBytes + bodyBytes)
        asio::read(socket, asio::dynamic_buffer(text), asio::transfer_exactly(headBytes + bodyBytes - text.size()));
    return text.substr(headBytes);
}

/** Accepts promotions of the group "a" and refuses others; sends each answer again when the next request arrives. */
void serve(asio::ip::tcp::acceptor& acceptor, int connections)
{
    while (connections-- > 0) {
        asio::ip::tcp::socket socket(acceptor.get_executor());
        acceptor.accept(socket);
        std::string former;
        for (std::string body = readBody(socket); !body.empty(); body = readBody(socket)) {
            const bool isAccepted = nlohmann::json::parse(body).at("service") == "a";
            const std::string response = std::string("HTTP/1.1 ") + (isAccepted ? "200 OK" : "409 Conflict")
                + "\r\nContent-Length: 2\r\n\r\n{}";
            std::error_code ignored;
            asio::write(socket, asio::buffer(former.empty() ? response : former), ignored);
            former = response;
        }
    }
}

} // namespace

// Guards against an acceptance that comes a second time, after the next call was sent, and is taken for its answer.
Test(HttpPromotionService, acceptanceOfAnotherCallIsNotTaken)
{
    asio::io_context serverContext;
    asio::ip::tcp::acceptor acceptor(serverContext, { asio::ip::address_v4::loopback(), 0 });
    std::thread server([&acceptor] { serve(acceptor, 2); });
    asio::io_context context;
    std::vector<PromotionResult> results;
    {
        HttpPromotionService service(context, { "127.0.0.1", acceptor.local_endpoint().port() });
        const auto promote = [&](const char* group) {
            const std::size_t before = results.size();
            service.promote(GroupId(group), EndpointId("i"), "vm", 1,
                [&results](PromotionResult result, const std::string&) { results.push_back(result); });
            context.restart();
            while (results.size() == before)
                context.run_one_for(Milliseconds(50));
        };
        promote("a");
        promote("b");
    }
    // The second connection, if the calls shared the first one.
    std::error_code ignored;
    asio::ip::tcp::socket(context).connect(acceptor.local_endpoint(), ignored);
    server.join();
    cr_assert(results[0] == PromotionResult::Accepted);
    cr_assert(results[1] == PromotionResult::Refused);
}
