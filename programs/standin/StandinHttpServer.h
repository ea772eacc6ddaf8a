#pragma once

#include "DelayLine.h"
#include "almondlever/transport/HttpMessage.h"

#include <asio/ip/tcp.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace almondlever::standin {

/** A request as a stand-in server received it. */
struct StandinRequest {
    std::string method;
    /** Path without the query. */
    std::string path;
    /** Text after the question mark, still encoded. */
    std::string query;
    /** Value of the header Almondlever-Vm. */
    std::string vm;
    /** True for requests with "Endpoint-Connection: control". */
    bool isControl = false;
    /** True when the client asked to close the connection after the answer. */
    bool wantsClose = false;
    std::string body;

    /** Decoded value of a query parameter; empty when absent. */
    std::string parameter(const std::string& name) const;
};

/**
 * One accepted HTTP connection, one request at a time. Requests and answers pass through delay lines between the asking
 * VM and the server.
 */
class StandinConnection {
public:
    virtual ~StandinConnection() = default;

    virtual std::uint64_t id() const = 0;
    virtual TimePoint acceptedAt() const = 0;
    /** True when the connection carried a request, also when the network still holds it. */
    virtual bool hasSentRequest() const = 0;
    /** True when the last request was one of control, also when the network still holds it. */
    virtual bool isControl() const = 0;
    /** Answers the current request. */
    virtual void respond(const HttpResponse&, bool closeAfterwards = false) = 0;
    /** Begins an answer of unknown length. */
    virtual void startStream() = 0;
    /** Sends a part of a stream. */
    virtual void sendPart(const std::string&) = 0;
    /** Closes at once; held requests and answers are lost. */
    virtual void close() = 0;
};

/**
 * Small HTTP/1.1 server on http_parser. It exists beside the library's HttpServer because the stand-in must close, hold
 * and refuse single connections, which RESTinio does not offer.
 */
class StandinHttpServer {
public:
    using Connection = std::shared_ptr<StandinConnection>;

    struct Handlers {
        std::function<void(const Connection&, StandinRequest)> onRequest;
        /** May be empty. Called when an accepted connection ended. */
        std::function<void(const Connection&)> onClose;
        /** May be empty. Called for each connection beyond the limit, which gets the refusal and is closed. */
        std::function<void()> onRefused;
    };
    struct Settings {
        HttpAddress address;
        Place place;
        /** Zero means no limit. */
        std::size_t maximumConnections = 0;
        /** Answer to connections beyond the limit. */
        HttpResponse refusal;
    };

    StandinHttpServer(asio::io_context&, NetworkModel&, Settings, Handlers);
    ~StandinHttpServer();
    StandinHttpServer(const StandinHttpServer&) = delete;
    StandinHttpServer& operator=(const StandinHttpServer&) = delete;

    /** Listens; the error says why that fails. Port 0 picks a free port, which a later start uses again. */
    Result<HttpAddress, std::string> start();
    /** Closes the listening socket and all connections. */
    void stop();
    const HttpAddress& address() const;
    std::size_t openConnections() const;
    std::size_t peakConnections() const;
    std::vector<Connection> connections() const;

private:
    struct State;
    std::shared_ptr<State> state_;
};

} // namespace almondlever::standin
