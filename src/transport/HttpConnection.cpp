#include "almondlever/transport/HttpConnection.h"

#include "HttpResponseParser.h"
#include "almondlever/transport/DeadPeerDetection.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cassert>

namespace almondlever {

namespace {

    constexpr std::size_t readBufferBytes = 16 * 1024;

    bool hasOnly(const std::string& text, bool mayHaveBlanks)
    {
        constexpr unsigned char deleteCharacter = 0x7f;
        return std::all_of(text.begin(), text.end(), [mayHaveBlanks](unsigned char c) {
            return (c > ' ' && c != deleteCharacter) || (mayHaveBlanks && (c == ' ' || c == '\t'));
        });
    }

    /** True if no text of the request ends its line or its field early, so that a server would read another request. */
    bool isOneRequest(const HttpRequest& request)
    {
        const auto isField = [](const HttpHeader& field) {
            const bool isName = !field.first.empty() && field.first.find(':') == std::string::npos;
            return isName && hasOnly(field.first, false) && hasOnly(field.second, true);
        };
        return !request.method.empty() && hasOnly(request.method, false) && !request.target.empty()
            && hasOnly(request.target, false) && std::all_of(request.headers.begin(), request.headers.end(), isField);
    }

    std::string serialize(const HttpRequest& request, const std::string& host)
    {
        std::string text = request.method + ' ' + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
        for (const HttpHeader& field : request.headers)
            text += field.first + ": " + field.second + "\r\n";
        if (!request.body.empty() || request.method != "GET")
            text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        text += "\r\n";
        text += request.body;
        return text;
    }

    class AsioHttpConnection final : public HttpConnection, public std::enable_shared_from_this<AsioHttpConnection> {
    public:
        explicit AsioHttpConnection(asio::io_context& context)
            : socket_(context)
            , timer_(context)
        {
        }

        void connect(const HttpAddress& address, Duration timeout, ConnectCallback callback) override
        {
            assert(!open_ && !connectCallback_);
            std::error_code error;
            const auto ip = asio::ip::make_address(address.host, error);
            if (error)
                return callback(HttpFailure { false, "'" + address.host + "' is not an IP number" });
            host_ = address.host + ':' + std::to_string(address.port);
            connectCallback_ = std::move(callback);
            startTimer(timeout);
            socket_.async_connect({ ip, address.port },
                [self = shared_from_this()](std::error_code result) { self->finishConnect(result); });
        }

        void send(const HttpRequest& request, Duration timeout, ResponseCallback callback) override
        {
            assert(!isBusy());
            if (!isOpen())
                return callback(HttpFailure { false, "connection is closed" });
            if (!isOneRequest(request))
                return callback(HttpFailure { false, "a header or the target has characters that end it" });
            callback_ = std::move(callback);
            output_ = serialize(request, host_);
            parser_.reset();
            sentAt_ = Clock::now();
            startTimer(timeout);
            asio::async_write(
                socket_, asio::buffer(output_), [self = shared_from_this()](std::error_code error, std::size_t) {
                    if (error)
                        self->fail("cannot send: " + error.message());
                });
        }

        void setTransferLimits(const HttpTransferLimits& limits) override { transferLimits_ = limits; }

        bool isOpen() const override { return open_ && (isBusy() || !hasUnreadData()); }
        bool isBusy() const override { return static_cast<bool>(callback_); }

        void close() override { fail("connection closed locally"); }

        void onIdleClose(std::function<void()> callback) override { idleCloseCallback_ = std::move(callback); }

    private:
        void finishConnect(std::error_code error)
        {
            if (!connectCallback_)
                return;
            if (error)
                return fail("cannot connect: " + error.message());
            timer_.cancel();
            std::error_code ignored;
            socket_.non_blocking(true, ignored);
            socket_.set_option(asio::ip::tcp::no_delay(true), ignored);
            // No data may arrive for a long time while a request is pending. Without this, a partition would go
            // undetected until the request times out.
            detectDeadPeer(socket_.native_handle(), DeadPeerTimes());
            open_ = true;
            read();
            const auto callback = std::move(connectCallback_);
            connectCallback_ = nullptr;
            callback(Done {});
        }

        /** True if data has arrived that is not part of a response to a request, because none is in flight. */
        bool hasUnreadData() const
        {
            std::error_code ignored;
            return socket_.available(ignored) > 0;
        }

        /** Data stays in the socket until it is handled, so that hasUnreadData() knows of all that has arrived. */
        void read()
        {
            socket_.async_wait(asio::socket_base::wait_read,
                [self = shared_from_this()](std::error_code error) { self->readAvailable(error); });
        }

        void readAvailable(std::error_code error)
        {
            if (!open_)
                return;
            std::size_t size = 0;
            if (!error)
                size = socket_.read_some(asio::buffer(input_), error);
            if (error == asio::error::would_block)
                return read();
            consume(error, size);
        }

        void consume(std::error_code error, std::size_t size)
        {
            if (error)
                return fail("connection lost: " + error.message());
            if (!isBusy())
                return fail("data without a request");
            const std::string reason = parser_.feed(input_.data(), size);
            if (!reason.empty())
                return fail(reason);
            if (parser_.isDone())
                return finishResponse();
            if (transferLimits_.stall > Duration(0))
                startTimer(std::min(transferLimits_.stall, sentAt_ + transferLimits_.total - Clock::now()));
            read();
        }

        void finishResponse()
        {
            const bool isKeepAlive = parser_.isKeepAlive();
            HttpResponse response = parser_.release();
            timer_.cancel();
            if (isKeepAlive)
                read();
            else
                shutdown();
            const auto callback = std::move(callback_);
            callback_ = nullptr;
            callback(std::move(response));
        }

        void startTimer(Duration timeout)
        {
            timer_.expires_after(timeout);
            timer_.async_wait([self = shared_from_this()](std::error_code error) {
                // The timer may have been restarted after this handler was queued.
                const bool isStillDue = self->timer_.expiry() <= Clock::now();
                if (!error && isStillDue && (self->callback_ || self->connectCallback_))
                    self->fail("timed out");
            });
        }

        void shutdown()
        {
            open_ = false;
            std::error_code ignored;
            socket_.close(ignored);
        }

        void fail(const std::string& reason)
        {
            const bool wasOpen = open_;
            shutdown();
            timer_.cancel();
            if (connectCallback_) {
                const auto callback = std::move(connectCallback_);
                connectCallback_ = nullptr;
                return callback(HttpFailure { false, reason });
            }
            if (callback_) {
                const auto callback = std::move(callback_);
                callback_ = nullptr;
                return callback(HttpFailure { true, reason });
            }
            if (wasOpen && idleCloseCallback_)
                idleCloseCallback_();
        }

        asio::ip::tcp::socket socket_;
        asio::steady_timer timer_;
        HttpTransferLimits transferLimits_;
        TimePoint sentAt_ {};
        std::string host_;
        std::string output_;
        std::array<char, readBufferBytes> input_ {};
        HttpResponseParser parser_;
        ConnectCallback connectCallback_;
        ResponseCallback callback_;
        std::function<void()> idleCloseCallback_;
        bool open_ = false;
    };

} // namespace

std::shared_ptr<HttpConnection> HttpConnection::create(asio::io_context& context)
{
    return std::make_shared<AsioHttpConnection>(context);
}

} // namespace almondlever
