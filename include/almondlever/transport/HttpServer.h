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

/** A request received by the server, and the means to respond to it. At most one response is sent. */
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
    /** Number of the connection on which the request arrived, starting at 1. */
    virtual std::uint64_t connection() const = 0;
    /** Sends the response; later calls are ignored. */
    virtual void respond(const HttpResponse&, bool closeConnection = false) = 0;
};

/** Limits of a server; a connection that exceeds one is closed or refused. */
struct HttpServerSettings {
    std::string host = "127.0.0.1";
    /** 0 selects a free port. */
    std::uint16_t port = 0;
    std::size_t maximumConnections = 20000;
    std::size_t maximumBodyBytes = 1024 * 1024;
    std::size_t maximumHeaderValueBytes = 8 * 1024;
    /** A connection that stays idle or does not complete its request within this time is closed. */
    Milliseconds readTimeout { 60000 };
    /** The connection of a client that does not read its response within this time is closed. */
    Milliseconds writeTimeout { 5000 };
    /** If no response is sent within this time, the connection of the request is closed. */
    Milliseconds handleTimeout { 60000 };
};

/** HTTP/1.1 server on an io_context, built on RESTinio. Runs on the thread of the io_context. */
class HttpServer {
public:
    using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;
    using ConnectionHandler = std::function<void(std::uint64_t connection, bool isOpen)>;

    virtual ~HttpServer() = default;

    /** Starts accepting connections; on failure returns why the address cannot be used. */
    virtual Result<HttpAddress, std::string> start() = 0;
    /** Stops accepting new connections; open ones continue until the io_context stops. */
    virtual void stopAccepting() = 0;
    virtual std::size_t openConnections() const = 0;
    /** Sets the handler that is called when a connection opens or closes. Call before start. */
    virtual void onConnection(ConnectionHandler) = 0;
};

std::unique_ptr<HttpServer> makeHttpServer(asio::io_context&, const HttpServerSettings&, HttpServer::Handler);

} // namespace almondlever
