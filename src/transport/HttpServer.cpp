#include "almondlever/transport/HttpServer.h"

#include <asio.hpp>
#include <restinio/all.hpp>

namespace almondlever {

namespace {

    /** Counts connections and notifies a handler when one is opened or closed. */
    class ConnectionListener {
    public:
        void state_changed(const restinio::connection_state::notice_t& notice) noexcept // NOLINT: name set by RESTinio
        {
            const bool isOpen = restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause());
            const bool isClosed = restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause());
            if (!isOpen && !isClosed)
                return;
            count_ += isOpen ? 1 : -1;
            if (handler_)
                handler_(notice.connection_id(), isOpen);
        }

        std::size_t count() const { return static_cast<std::size_t>(count_); }
        void setHandler(HttpServer::ConnectionHandler handler) { handler_ = std::move(handler); }

    private:
        std::int64_t count_ = 0;
        HttpServer::ConnectionHandler handler_;
    };

    using RequestHandler = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;

    struct ServerTraits : restinio::default_single_thread_traits_t {
        using request_handler_t = RequestHandler; // NOLINT: name set by RESTinio
        using connection_state_listener_t = ConnectionListener; // NOLINT: name set by RESTinio
        static constexpr bool use_connection_count_limiter = true; // NOLINT: name set by RESTinio
    };

    class RestinioExchange final : public HttpExchange {
    public:
        explicit RestinioExchange(restinio::request_handle_t request)
            : request_(std::move(request))
            , method_(request_->header().method().c_str())
            , path_(request_->header().path())
        {
        }

        const std::string& method() const override { return method_; }
        const std::string& path() const override { return path_; }

        std::string query(const std::string& name) const override
        {
            const auto parameters
                = restinio::try_parse_query<restinio::parse_query_traits::relaxed>(request_->header().query());
            if (!parameters)
                return {};
            const auto value = parameters->get_param(name);
            return value ? std::string(*value) : std::string();
        }

        std::string header(const std::string& name) const override { return request_->header().get_field_or(name, ""); }
        const std::string& body() const override { return request_->body(); }
        std::uint64_t connection() const override { return request_->connection_id(); }

        void respond(const HttpResponse& response, bool closeConnection) override
        {
            if (isAnswered_)
                return;
            isAnswered_ = true;
            const auto code = static_cast<std::uint16_t>(response.status);
            auto builder = request_->create_response(
                restinio::http_status_line_t { restinio::http_status_code_t { code }, reasonPhrase(code) });
            for (const HttpHeader& field : response.headers)
                builder.append_header(field.first, field.second);
            if (closeConnection)
                builder.connection_close();
            else if (request_->header().should_keep_alive())
                builder.connection_keep_alive();
            builder.set_body(response.body);
            builder.done();
        }

    private:
        static const char* reasonPhrase(std::uint16_t code)
        {
            switch (code) {
            case 200:
                return "OK";
            case 400:
                return "Bad Request";
            case 403:
                return "Forbidden";
            case 404:
                return "Not Found";
            case 409:
                return "Conflict";
            case 413:
                return "Payload Too Large";
            case 429:
                return "Too Many Requests";
            case 500:
                return "Internal Server Error";
            case 503:
                return "Service Unavailable";
            case 504:
                return "Gateway Timeout";
            default:
                return code < 400 ? "Success" : "Error";
            }
        }

        restinio::request_handle_t request_;
        std::string method_;
        std::string path_;
        bool isAnswered_ = false;
    };

    class RestinioServer final : public HttpServer {
    public:
        RestinioServer(asio::io_context& context, HttpServerSettings settings, Handler handler)
            : context_(context)
            , settings_(std::move(settings))
            , handler_(std::move(handler))
            , listener_(std::make_shared<ConnectionListener>())
        {
        }

        ~RestinioServer() override { stopAccepting(); }

        Result<HttpAddress, std::string> start() override
        {
            try {
                server_ = std::make_unique<restinio::http_server_t<ServerTraits>>(
                    restinio::external_io_context(context_), [this](auto& settings) { configure(settings); });
                server_->open_sync();
            } catch (const std::exception& error) {
                return "cannot listen on " + settings_.host + ':' + std::to_string(settings_.port) + ": "
                    + error.what();
            }
            return HttpAddress { settings_.host, port_ };
        }

        void stopAccepting() override
        {
            if (server_)
                server_->close_sync();
        }

        std::size_t openConnections() const override { return listener_->count(); }

        void onConnection(ConnectionHandler handler) override { listener_->setHandler(std::move(handler)); }

    private:
        template <typename Settings> void configure(Settings& settings)
        {
            settings.address(settings_.host)
                .port(settings_.port)
                .request_handler([handler = handler_](const restinio::request_handle_t& request) {
                    handler(std::make_shared<RestinioExchange>(request));
                    return restinio::request_accepted();
                })
                .connection_state_listener(listener_)
                .max_parallel_connections(settings_.maximumConnections)
                .read_next_http_message_timelimit(settings_.readTimeout)
                .write_http_response_timelimit(settings_.writeTimeout)
                .handle_request_timeout(settings_.handleTimeout)
                .buffer_size(4096)
                .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t {}
                                              .max_url_size(2048)
                                              .max_field_name_size(256)
                                              .max_field_value_size(settings_.maximumHeaderValueBytes)
                                              .max_field_count(64)
                                              .max_body_size(settings_.maximumBodyBytes))
                .acceptor_post_bind_hook(
                    [this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); })
                .acceptor_options_setter(
                    [](auto& options) { options.set_option(asio::ip::tcp::acceptor::reuse_address(true)); });
            settings.socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay(true)); });
        }

        asio::io_context& context_;
        HttpServerSettings settings_;
        Handler handler_;
        std::shared_ptr<ConnectionListener> listener_;
        std::unique_ptr<restinio::http_server_t<ServerTraits>> server_;
        std::uint16_t port_ = 0;
    };

} // namespace

std::unique_ptr<HttpServer> makeHttpServer(
    asio::io_context& context, const HttpServerSettings& settings, HttpServer::Handler handler)
{
    return std::make_unique<RestinioServer>(context, settings, std::move(handler));
}

} // namespace almondlever
