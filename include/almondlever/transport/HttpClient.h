#pragma once

#include "almondlever/transport/HttpConnection.h"

#include <map>
#include <vector>

namespace almondlever {

/**
 * Sends requests over keep-alive connections to each address, opening another one when all are busy.
 *
 * Used where requests are independent: the platform's services, probes and the tools. Endpoint statements go through
 * EndpointPool, which respects the limits of the server. A request that fails because the peer has closed an idle
 * connection is not retried; that decision is the caller's.
 *
 * @see HttpConnection
 */
class HttpClient {
public:
    enum class Reuse {
        KeepAlive,
        /** Each request has a connection of its own, so that no response to another one can be taken for its response,
         * not even one that the server sends twice and late. For calls whose acceptance must not be mistaken. */
        OneRequest,
    };

    explicit HttpClient(asio::io_context&, const HttpTransferLimits& = {}, Reuse = Reuse::KeepAlive);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /** Sends a request; the time-out includes connecting and, without transfer limits, the whole response. The callback
     * is called exactly once. */
    void request(const HttpAddress&, const HttpRequest&, Duration timeout, HttpConnection::ResponseCallback);

    /** Closes all connections; requests in flight fail. */
    void closeAll();

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever
