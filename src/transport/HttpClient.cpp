#include "almondlever/transport/HttpClient.h"

#include <asio.hpp>
#include <set>

namespace almondlever {

struct HttpClient::State : std::enable_shared_from_this<HttpClient::State> {
    State(asio::io_context& ioContext, const HttpTransferLimits& limits, Reuse connectionReuse)
        : context(ioContext)
        , transferLimits(limits)
        , reuse(connectionReuse)
    {
    }

    using Connection = std::shared_ptr<HttpConnection>;

    Connection takeIdle(const HttpAddress& address)
    {
        std::vector<Connection>& list = idle[address];
        while (!list.empty()) {
            Connection connection = std::move(list.back());
            list.pop_back();
            if (connection->isOpen())
                return connection;
        }
        return nullptr;
    }

    void send(const HttpAddress& address, const Connection& connection, const HttpRequest& request, TimePoint deadline,
        HttpConnection::ResponseCallback callback)
    {
        const Duration remaining = deadline - Clock::now();
        if (remaining <= Duration::zero()) {
            connection->close();
            return callback(HttpFailure { false, "timed out before the request was sent" });
        }
        active.insert(connection);
        connection->send(request, remaining,
            [self = shared_from_this(), address, connection, callback = std::move(callback)](HttpResult result) {
                self->active.erase(connection);
                if (self->reuse == Reuse::OneRequest)
                    connection->close();
                if (connection->isOpen() && !self->isClosed)
                    self->idle[address].push_back(connection);
                callback(std::move(result));
            });
    }

    asio::io_context& context;
    HttpTransferLimits transferLimits;
    Reuse reuse;
    std::map<HttpAddress, std::vector<Connection>> idle;
    std::set<Connection> active;
    bool isClosed = false;
};

HttpClient::HttpClient(asio::io_context& context, const HttpTransferLimits& transferLimits, Reuse reuse)
    : state_(std::make_shared<State>(context, transferLimits, reuse))
{
}

HttpClient::~HttpClient()
{
    closeAll();
    state_->isClosed = true;
}

void HttpClient::request(
    const HttpAddress& address, const HttpRequest& request, Duration timeout, HttpConnection::ResponseCallback callback)
{
    const TimePoint deadline = Clock::now() + timeout;
    if (const auto connection = state_->takeIdle(address))
        return state_->send(address, connection, request, deadline, std::move(callback));
    const auto connection = HttpConnection::create(state_->context);
    connection->setTransferLimits(state_->transferLimits);
    state_->active.insert(connection);
    connection->connect(address, timeout,
        [state = state_, address, connection, request, deadline, callback = std::move(callback)](
            const Result<Done, HttpFailure>& connected) {
            state->active.erase(connection);
            if (!connected)
                return callback(connected.error());
            state->send(address, connection, request, deadline, callback);
        });
}

void HttpClient::closeAll()
{
    const auto active = std::move(state_->active);
    state_->active.clear();
    const auto idle = std::move(state_->idle);
    state_->idle.clear();
    for (const auto& [address, connections] : idle) {
        for (const auto& connection : connections)
            connection->close();
    }
    for (const auto& connection : active)
        connection->close();
}

} // namespace almondlever
