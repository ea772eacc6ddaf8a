#include "ReplicationStream.h"

#include <array>
#include <asio.hpp>
#include <http_parser.h>

namespace almondlever::standin {

namespace {

    constexpr std::size_t readBufferBytes = 64 * 1024;

    class AsioReplicationStream final : public ReplicationStream,
                                        public std::enable_shared_from_this<AsioReplicationStream> {
    public:
        AsioReplicationStream(asio::io_context& context, Handlers handlers)
            : socket_(context)
            , handlers_(std::move(handlers))
        {
            http_parser_init(&parser_, HTTP_RESPONSE);
            parser_.data = this;
        }

        void start(const HttpAddress& address, const std::string& vm, const ReplicationRequest& request)
        {
            const std::string body = encodeRequest(request);
            output_ = "POST /replicate HTTP/1.1\r\nHost: " + address.host + "\r\nAlmondlever-Vm: " + vm
                + "\r\nEndpoint-Connection: control\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                + body;
            std::error_code error;
            const auto ip = asio::ip::make_address(address.host, error);
            if (error)
                return asio::post(socket_.get_executor(), [self = shared_from_this()] { self->end(); });
            socket_.async_connect({ ip, address.port }, [self = shared_from_this()](std::error_code result) {
                if (result)
                    return self->end();
                self->send();
            });
        }

        void close() override
        {
            isOpen_ = false;
            std::error_code ignored;
            socket_.close(ignored);
        }

    private:
        void send()
        {
            if (!isOpen_)
                return;
            std::error_code ignored;
            socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            requestedAt_ = Clock::now();
            asio::async_write(
                socket_, asio::buffer(output_), [self = shared_from_this()](std::error_code error, std::size_t) {
                    if (error)
                        return self->end();
                    self->read();
                });
        }

        void read()
        {
            if (!isOpen_)
                return;
            socket_.async_read_some(
                asio::buffer(input_), [self = shared_from_this()](std::error_code error, std::size_t size) {
                    if (error || !self->consume(size))
                        return self->end();
                    self->read();
                });
        }

        bool consume(std::size_t size)
        {
            static const http_parser_settings settings = makeSettings();
            const std::size_t used = http_parser_execute(&parser_, &settings, input_.data(), size);
            if (used != size || parser_.status_code != 200)
                return false;
            std::size_t begin = 0;
            for (std::size_t end = lines_.find('\n'); end != std::string::npos; end = lines_.find('\n', begin)) {
                if (!deliver(lines_.substr(begin, end - begin)))
                    return false;
                begin = end + 1;
            }
            lines_.erase(0, begin);
            return true;
        }

        bool deliver(const std::string& line)
        {
            if (!isOpen_)
                return false;
            try {
                const ReplicationMessage message = decodeMessage(line);
                handlers_.onMessage(message, requestedAt_ + message.sinceRequest);
                return true;
            } catch (const nlohmann::json::exception&) {
                return false;
            }
        }

        static http_parser_settings makeSettings()
        {
            http_parser_settings settings;
            http_parser_settings_init(&settings);
            settings.on_body = [](http_parser* parser, const char* at, std::size_t size) {
                static_cast<AsioReplicationStream*>(parser->data)->lines_.append(at, size);
                return 0;
            };
            return settings;
        }

        void end()
        {
            if (!isOpen_)
                return;
            close();
            handlers_.onEnd();
        }

        asio::ip::tcp::socket socket_;
        Handlers handlers_;
        http_parser parser_ {};
        std::string output_;
        std::array<char, readBufferBytes> input_ {};
        std::string lines_;
        TimePoint requestedAt_;
        bool isOpen_ = true;
    };

} // namespace

std::shared_ptr<ReplicationStream> ReplicationStream::open(asio::io_context& context, const HttpAddress& address,
    const std::string& vm, const ReplicationRequest& request, Handlers handlers)
{
    const auto stream = std::make_shared<AsioReplicationStream>(context, std::move(handlers));
    stream->start(address, vm, request);
    return stream;
}

} // namespace almondlever::standin
