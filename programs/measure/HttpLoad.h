#pragma once

#include "almondlever/common/Time.h"
#include "almondlever/transport/HttpMessage.h"

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

namespace almondlever::measure {

/** A closed loop of HTTP requests: each connection sends the next request when the answer to the last one is complete.
 */
struct HttpLoadSettings {
    HttpAddress address;
    std::size_t connections = 1;
    std::chrono::seconds duration { 5 };
    /** Not counted in the figures: connections open and caches fill. */
    std::chrono::milliseconds warmUp { 500 };
    std::string target = "/";
    /** "{n}" in it stands for a number that differs in each request. */
    std::string body;
    std::vector<HttpHeader> headers;
};

/**
 * Runs the loop and returns `requests_per_s`, `latency_p50_ms`, `latency_p99_ms`, `answers`, `answers_other_than_200`,
 * `lost_connections`, `answer_bytes` and `client_cpu_share` (of one core). Everything runs on the calling thread.
 */
nlohmann::json runHttpLoad(const HttpLoadSettings&);

/** Serves a fixed answer of `bodyBytes` with RESTinio until SIGTERM or SIGINT; prints the port. Returns an exit status.
 */
int runBareServer(const HttpAddress&, std::size_t bodyBytes);

} // namespace almondlever::measure
