#pragma once

#include "almondlever/entry/CallerRequest.h"
#include "almondlever/transport/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace almondlever {

/** Providers of the operational pages (readiness, metrics, status, explain). */
struct CallerApiPages {
    /** True if the daemon accepts new requests. */
    std::function<bool()> isReady;
    /** Metrics in Prometheus text format. */
    std::function<std::string()> metrics;
    /** JSON of the daemon's state. */
    std::function<std::string()> status;
    /** JSON that explains how an operation would be routed. */
    std::function<std::string(const CallerId&, const DatabaseId&, OperationKind)> explain;
};

/**
 * The HTTP interface for callers: parses requests, and writes responses with session tokens or problem details.
 *
 * @see docs/CALLERS.md
 */
class CallerApi {
public:
    CallerApi(CallerRequestHandler&, CallerApiPages);

    /** Handles one HTTP request; the response may be sent after the call returns. */
    void handle(const std::shared_ptr<HttpExchange>&);

private:
    void handleDatabaseRequest(const std::shared_ptr<HttpExchange>&);
    void submit(const std::shared_ptr<HttpExchange>&, CallerRequest);

    CallerRequestHandler& handler_;
    CallerApiPages pages_;
};

} // namespace almondlever
