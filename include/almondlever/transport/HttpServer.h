#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/transport/HttpMessage.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace asio {
class io_context;
}

namespace almondlever {

/** A request as the server received it, with what is needed to answer it. Answered at most once. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const std::string& method() const = 0;
    /** Path without the query. */
    virtual const std::string& path() const = 0;
    /** Value of a query parameter; empty when absent. */
    virtual std::string query(const std::string& name) const = 0;
    /** Value of a header field; empty when absent. */
    virtual std::string header(const std::string& name) const = 0;
    virtual const std::string& body() const = 0;
    /** Number of the connection that the request came on, from 1. */
    virtual std::uint64_t connection() const = 0;
    /** Sends the answer; later calls are ignored. */
    virtual void respond(const HttpResponse&, bool closeConnection = false) = 0;
};

/** Limits of a server; a connection that exceeds one is dropped or refused. */
struct HttpServerSettings {
    std::string host = "127.0.0.1";
    /** Zero picks a free port. */
    std::uint16_t port = 0;
    std::size_t maximumConnections = 20000;
    std::size_t maximumBodyBytes = 1024 * 1024;
    std::size_t maximumHeaderValueBytes = 8 * 1024;
    /** A connection that idles or does not finish its request is closed. */
    Milliseconds readTimeout { 60000 };
    /** A client that does not read its answer is closed. */
    Milliseconds writeTimeout { 5000 };
    /** A request without an answer by then gets its connection closed. */
    Milliseconds handleTimeout { 60000 };
};

/** HTTP/1.1 server on an io_context, built on RESTinio. Runs on the thread of the io_context. */
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    using ConnectionHandler = std::function<void(std::uint64_t connection, bool isOpen)>;

    virtual ~HttpServer() = default;

    /** Starts to accept; the error says why the address cannot be used. */
    virtual Result<HttpAddress, std::string> start() = 0;
    /** Stops to accept new connections; open ones go on until the io_context stops. */
    virtual void stopAccepting() = 0;
    virtual std::size_t openConnections() const = 0;
    /** Called when a connection opens and closes. Set before start. */
    virtual void onConnection(ConnectionHandler) = 0;
};

std::unique_ptr<HttpServer> makeHttpServer(asio::io_context&, const HttpServerSettings&, HttpServer::Handler);

} // namespace almondlever
