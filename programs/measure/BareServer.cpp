#include "HttpLoad.h"

#include <asio.hpp>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <restinio/all.hpp>

namespace almondlever::measure {

namespace {

    /** Same kind of handler and time limits as in src/transport/HttpServer.cpp; no layer of this project lies between.
     */
    struct BareTraits : restinio::default_single_thread_traits_t {
        using request_handler_t // NOLINT: name set by RESTinio
            = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    };

} // namespace

int runBareServer(const HttpAddress& address, std::size_t bodyBytes)
{
    asio::io_context context(1);
    const std::string body(bodyBytes, 'x');
    restinio::http_server_t<BareTraits> server(restinio::external_io_context(context), [&](auto& settings) {
        settings.address(address.host)
            .port(address.port)
            .request_handler([&body](const restinio::request_handle_t& request) {
                return request->create_response()
                    .append_header("Content-Type", "application/json")
                    .connection_keep_alive()
                    .set_body(body)
                    .done();
            })
            .read_next_http_message_timelimit(std::chrono::seconds(60))
            .write_http_response_timelimit(std::chrono::seconds(5))
            .handle_request_timeout(std::chrono::seconds(60))
            .buffer_size(4096);
        settings.socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); });
    });
    try {
        server.open_sync();
    } catch (const std::exception& error) {
        std::cerr << "almondlever-measure: cannot listen: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](std::error_code, int) { context.stop(); });
    context.run();
    return EXIT_SUCCESS;
}

} // namespace almondlever::measure
