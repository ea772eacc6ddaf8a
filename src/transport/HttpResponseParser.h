#pragma once

#include "almondlever/transport/HttpMessage.h"

#include <memory>
#include <string>

namespace almondlever {

/**
 * Reads one HTTP response from the bytes of a connection, with the parser of Boost.Beast.
 *
 * Kept apart from the sources that use Asio: Boost.Asio, on which Beast rests, and standalone Asio cannot be included
 * in the same source.
 */
class HttpResponseParser {
public:
    HttpResponseParser();
    ~HttpResponseParser();
    HttpResponseParser(const HttpResponseParser&) = delete;
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    /** Starts with a new response. */
    void reset();
    /** Feeds received bytes; returns the reason when they are not the beginning of one valid response, else "". */
    std::string feed(const char* bytes, std::size_t size);
    bool isDone() const;
    /** True when the connection can carry another request after this response. */
    bool isKeepAlive() const;
    /** Takes the complete response out. */
    HttpResponse release();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondlever
