#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/transport/HttpMessage.h"

#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace almondlever {

/** Extends the time limit of a request while its response is being received. */
struct HttpTransferLimits {
    /** Once the response has begun, the request fails when no byte arrives for this long; 0 for no extension. */
    Duration stall { 0 };
    /** Limit of the whole request. */
    Duration total { 0 };
};

/**
 * One HTTP/1.1 keep-alive connection that carries one request at a time.
 *
 * All calls and callbacks happen on the thread that runs the io_context. After a failure or a time-out the connection
 * is closed, so a late response can never be mistaken for the response to a later request.
 *
 * @see HttpClient
 */
class HttpConnection {
public:
    using ConnectCallback = std::function<void(Result<Done, HttpFailure>)>;
    using ResponseCallback = std::function<void(HttpResult)>;

    static std::shared_ptr<HttpConnection> create(asio::io_context&);
    virtual ~HttpConnection() = default;

    /** Connects within the time-out. */
    virtual void connect(const HttpAddress&, Duration timeout, ConnectCallback) = 0;
    /** Sends a request; the callback is called exactly once. The connection must be open and idle. */
    virtual void send(const HttpRequest&, Duration timeout, ResponseCallback) = 0;
    /** By default the time-out of a request includes its whole response. Call before send(). */
    virtual void setTransferLimits(const HttpTransferLimits&) = 0;
    /**
     * True while connected and usable for another request. False when data has arrived although no request is in
     * flight: it could be taken for the response to the next one.
     */
    virtual bool isOpen() const = 0;
    /** True between send and its callback. */
    virtual bool isBusy() const = 0;
    /** Closes immediately; a request in flight fails with mayHaveBeenSent. */
    virtual void close() = 0;
    /** Sets the callback that is called if the peer closes the connection while it is idle. */
    virtual void onIdleClose(std::function<void()>) = 0;

    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

protected:
    HttpConnection() = default;
};

} // namespace almondlever
