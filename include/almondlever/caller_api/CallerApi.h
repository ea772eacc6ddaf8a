#pragma once

#include "almondlever/entry/CallerRequest.h"
#include "almondlever/transport/HttpServer.h"

#include <functional>
#include <memory>
#include <string>

namespace almondlever {

/** Pages that the daemon offers beside the statements. */
struct CallerApiPages {
    /** True when the daemon takes new requests. */
    std::function<bool()> isReady;
    /** Prometheus text. */
    std::function<std::string()> metrics;
    /** JSON of the daemon's state. */
    std::function<std::string()> status;
    /** JSON that explains a route. */
    std::function<std::string(const CallerId&, const DatabaseId&, OperationKind)> explain;
};

/**
 * The HTTP interface for callers: reads requests, and writes answers with session tokens and problem details.
 *
 * @see docs/CALLERS.md
 */
class CallerApi {
public:
    CallerApi(CallerRequestHandler&, CallerApiPages);

    /** Handles one exchange. */
    void handle(const std::shared_ptr<HttpExchange>&);

private:
    void handleDatabaseRequest(const std::shared_ptr<HttpExchange>&);
    void submit(const std::shared_ptr<HttpExchange>&, CallerRequest);

    CallerRequestHandler& handler_;
    CallerApiPages pages_;
};

} // namespace almondlever
