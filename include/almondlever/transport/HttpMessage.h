#pragma once

#include "almondlever/common/Result.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace almondlever {

/** IP address and port of an HTTP server. */
struct HttpAddress {
    std::string host;
    std::uint16_t port = 0;

    friend bool operator==(const HttpAddress& a, const HttpAddress& b) { return a.host == b.host && a.port == b.port; }
    friend bool operator<(const HttpAddress& a, const HttpAddress& b)
    {
        return a.host < b.host || (a.host == b.host && a.port < b.port);
    }
};

/** Parses "ip:port"; the error message states the expected form. */
Result<HttpAddress, std::string> parseHttpAddress(const std::string& text);

/** Name and value of one header field. */
using HttpHeader = std::pair<std::string, std::string>;

struct HttpRequest {
    /** "GET" or "POST". */
    std::string method;
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;
};

struct HttpResponse {
    unsigned status = 0;
    std::vector<HttpHeader> headers;
    std::string body;

    /** Value of the first header with this name, compared case-insensitively; empty if absent. */
    std::string header(const std::string& name) const;
};

/** Why a request got no response. */
struct HttpFailure {
    /** False only if no byte of the request was passed to the socket, so that the peer cannot have acted on it. */
    bool mayHaveBeenSent = false;
    std::string reason;
};

using HttpResult = Result<HttpResponse, HttpFailure>;

} // namespace almondlever
