#include "StandinHttpServer.h"

#include "HttpRequestReader.h"

#include <algorithm>
#include <array>
#include <asio.hpp>
#include <cstdio>

namespace almondlever::standin {

namespace {

    constexpr std::size_t readBufferBytes = 16 * 1024;
    /** A client that sends more while its request is answered is cut off. */
    constexpr std::size_t maximumPendingBytes = 2 * 1024 * 1024;
    /** Bounds how long a refused connection may stay half closed. */
    constexpr Milliseconds refusalLinger { 1000 };

    const char* reasonPhrase(unsigned status)
    {
        switch (status) {
        case 200:
            return "OK";
        case 400:
            return "Bad Request";
        case 404:
            return "Not Found";
        case 409:
            return "Conflict";
        case 413:
            return "Payload Too Large";
        case 429:
            return "Too Many Requests";
        default:
            return "Error";
        }
    }

    std::string serialize(const HttpResponse& response, bool closeAfterwards)
    {
        std::string text;
        text.reserve(160 + response.body.size());
        text += "HTTP/1.1 " + std::to_string(response.status) + ' ' + reasonPhrase(response.status) + "\r\n";
        for (const HttpHeader& field : response.headers)
            text += field.first + ": " + field.second + "\r\n";
        if (closeAfterwards)
            text += "Connection: close\r\n";
        text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n";
        text += response.body;
        return text;
    }

} // namespace

struct StandinHttpServer::State : std::enable_shared_from_this<StandinHttpServer::State> {
    class Session;

    State(asio::io_context& ioContext, NetworkModel& networkModel, Settings given, Handlers handlerSet)
        : context(ioContext)
        , network(networkModel)
        , settings(std::move(given))
        , handlers(std::move(handlerSet))
        , acceptor(ioContext)
    {
    }

    void accept();
    void admit(asio::ip::tcp::socket socket);
    void refuse(asio::ip::tcp::socket socket);

    asio::io_context& context;
    NetworkModel& network;
    Settings settings;
    Handlers handlers;
    asio::ip::tcp::acceptor acceptor;
    std::map<std::uint64_t, std::shared_ptr<Session>> sessions;
    std::uint64_t nextId = 1;
    std::size_t peak = 0;
};

class StandinHttpServer::State::Session final : public StandinConnection, public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<State> server, asio::ip::tcp::socket socket, std::uint64_t id)
        : server_(std::move(server))
        , socket_(std::move(socket))
        , id_(id)
        , acceptedAt_(Clock::now())
    {
    }

    void start()
    {
        const auto onLoss = [self = weak_from_this()] {
            if (const auto session = self.lock())
                session->close();
        };
        requests_ = DelayLine::create(server_->context, server_->network, onLoss);
        answers_ = DelayLine::create(server_->context, server_->network, onLoss);
        connectLines();
        read();
    }

    std::uint64_t id() const override { return id_; }
    TimePoint acceptedAt() const override { return acceptedAt_; }
    bool hasSentRequest() const override { return hasSentRequest_; }
    bool isControl() const override { return isControl_; }

    void respond(const HttpResponse& response, bool closeAfterwards) override
    {
        const bool closes = closeAfterwards || wantsClose_;
        answers_->push([self = shared_from_this(), text = serialize(response, closes), closes] {
            self->isAnswering_ = false;
            self->closeAfterWrite_ = closes;
            self->write(text);
            self->readNextRequest();
        });
    }

    void startStream() override
    {
        static const std::string head
            = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        answers_->push([self = shared_from_this()] { self->write(head); });
    }

    void sendPart(const std::string& part) override
    {
        std::array<char, 20> length {};
        std::snprintf(length.data(), length.size(), "%zx\r\n", part.size());
        answers_->push([self = shared_from_this(), text = length.data() + part + "\r\n"] { self->write(text); });
    }

    void close() override
    {
        if (!isOpen_)
            return;
        isOpen_ = false;
        requests_->clear();
        answers_->clear();
        std::error_code ignored;
        socket_.close(ignored);
        const auto self = shared_from_this();
        server_->sessions.erase(id_);
        if (server_->handlers.onClose)
            server_->handlers.onClose(self);
    }

private:
    void connectLines()
    {
        const Place asker = server_->network.placeOfVm(vm_);
        requests_->connect(asker, server_->settings.place);
        answers_->connect(server_->settings.place, asker);
    }

    void read()
    {
        socket_.async_read_some(asio::buffer(input_),
            [self = shared_from_this()](std::error_code error, std::size_t size) { self->consume(error, size); });
    }

    void consume(std::error_code error, std::size_t size)
    {
        if (!isOpen_)
            return;
        if (error)
            return close();
        pending_.append(input_.data(), size);
        if (pending_.size() > maximumPendingBytes)
            return close();
        readNextRequest();
        if (isOpen_)
            read();
    }

    void readNextRequest()
    {
        if (!isOpen_ || isAnswering_ || pending_.empty() || closeAfterWrite_)
            return;
        const std::size_t used = reader_.feed(pending_.data(), pending_.size());
        if (reader_.isMalformed())
            return close();
        pending_.erase(0, used);
        if (!reader_.isDone())
            return;
        StandinRequest request = reader_.release();
        isAnswering_ = true;
        hasSentRequest_ = true;
        isControl_ = request.isControl;
        wantsClose_ = request.wantsClose;
        if (request.vm != vm_) {
            vm_ = request.vm;
            connectLines();
        }
        requests_->push([self = shared_from_this(), request = std::move(request)]() mutable {
            self->server_->handlers.onRequest(self, std::move(request));
        });
    }

    void write(const std::string& text)
    {
        if (!isOpen_)
            return;
        output_ += text;
        if (!isWriting_)
            flush();
    }

    void flush()
    {
        isWriting_ = true;
        writing_.swap(output_);
        output_.clear();
        asio::async_write(
            socket_, asio::buffer(writing_), [self = shared_from_this()](std::error_code error, std::size_t) {
                self->isWriting_ = false;
                if (!self->isOpen_)
                    return;
                if (error)
                    return self->close();
                if (!self->output_.empty())
                    return self->flush();
                if (self->closeAfterWrite_)
                    self->close();
            });
    }

    std::shared_ptr<State> server_;
    asio::ip::tcp::socket socket_;
    std::uint64_t id_;
    TimePoint acceptedAt_;
    std::string vm_;
    std::shared_ptr<DelayLine> requests_;
    std::shared_ptr<DelayLine> answers_;
    HttpRequestReader reader_;
    std::array<char, readBufferBytes> input_ {};
    std::string pending_;
    std::string output_;
    std::string writing_;
    bool isOpen_ = true;
    bool isAnswering_ = false;
    bool isWriting_ = false;
    bool closeAfterWrite_ = false;
    bool hasSentRequest_ = false;
    bool isControl_ = false;
    bool wantsClose_ = false;
};

void StandinHttpServer::State::accept()
{
    acceptor.async_accept([self = weak_from_this()](std::error_code error, asio::ip::tcp::socket socket) {
        const auto state = self.lock();
        if (!state || error == asio::error::operation_aborted || !state->acceptor.is_open())
            return;
        if (!error)
            state->admit(std::move(socket));
        state->accept();
    });
}

void StandinHttpServer::State::admit(asio::ip::tcp::socket socket)
{
    std::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    if (settings.maximumConnections > 0 && sessions.size() >= settings.maximumConnections)
        return refuse(std::move(socket));
    const auto session = std::make_shared<Session>(shared_from_this(), std::move(socket), nextId++);
    sessions.emplace(session->id(), session);
    peak = std::max(peak, sessions.size());
    session->start();
}

void StandinHttpServer::State::refuse(asio::ip::tcp::socket socket)
{
    if (handlers.onRefused)
        handlers.onRefused();
    struct Refusal {
        asio::ip::tcp::socket socket;
        asio::steady_timer timer;
        std::string text;
        std::array<char, 1024> input {};
    };
    auto executor = socket.get_executor();
    const auto refusal = std::make_shared<Refusal>(
        Refusal { std::move(socket), asio::steady_timer(executor), serialize(settings.refusal, true), {} });
    refusal->timer.expires_after(refusalLinger);
    refusal->timer.async_wait([refusal](std::error_code) {
        std::error_code ignored;
        refusal->socket.close(ignored);
    });
    asio::async_write(refusal->socket, asio::buffer(refusal->text), [refusal](std::error_code, std::size_t) {
        std::error_code ignored;
        refusal->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
        // Reading until the client closes keeps a request in flight from resetting the connection before the refusal
        // is read.
        refusal->socket.async_read_some(asio::buffer(refusal->input), [refusal](std::error_code error, std::size_t) {
            if (error)
                refusal->timer.cancel();
        });
    });
}

StandinHttpServer::StandinHttpServer(
    asio::io_context& context, NetworkModel& network, Settings settings, Handlers handlers)
    : state_(std::make_shared<State>(context, network, std::move(settings), std::move(handlers)))
{
}

StandinHttpServer::~StandinHttpServer() { stop(); }

Result<HttpAddress, std::string> StandinHttpServer::start()
{
    try {
        const auto ip = asio::ip::make_address(state_->settings.address.host);
        const asio::ip::tcp::endpoint endpoint(ip, state_->settings.address.port);
        state_->acceptor.open(endpoint.protocol());
        state_->acceptor.set_option(asio::ip::tcp::acceptor::reuse_address(true));
        state_->acceptor.bind(endpoint);
        state_->acceptor.listen();
        state_->settings.address.port = state_->acceptor.local_endpoint().port();
    } catch (const std::system_error& error) {
        return "cannot listen on " + state_->settings.address.host + ':' + std::to_string(state_->settings.address.port)
            + ": " + error.what();
    }
    state_->accept();
    return state_->settings.address;
}

void StandinHttpServer::stop()
{
    std::error_code ignored;
    state_->acceptor.close(ignored);
    for (const Connection& connection : connections())
        connection->close();
}

const HttpAddress& StandinHttpServer::address() const { return state_->settings.address; }

std::size_t StandinHttpServer::openConnections() const { return state_->sessions.size(); }

std::size_t StandinHttpServer::peakConnections() const { return state_->peak; }

std::vector<StandinHttpServer::Connection> StandinHttpServer::connections() const
{
    std::vector<Connection> list;
    for (const auto& [id, session] : state_->sessions)
        list.push_back(session);
    return list;
}

} // namespace almondlever::standin
