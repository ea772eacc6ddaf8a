#pragma once

#include "almondlever/transport/HttpMessage.h"

#include <memory>
#include <string>

namespace almondlever {

/**
 * Parses one HTTP response from the bytes of a connection, using the parser of Boost.Beast.
 *
 * Separate from the sources that use Asio, because Boost.Asio, on which Beast depends, and standalone Asio cannot be
 * included in the same source file.
 */
class HttpResponseParser {
public:
    HttpResponseParser();
    ~HttpResponseParser();
    HttpResponseParser(const HttpResponseParser&) = delete;
    HttpResponseParser& operator=(const HttpResponseParser&) = delete;

    /** Prepares for a new response. */
    void reset();
    /** Parses received bytes; returns an error message if they do not form part of one valid response, otherwise "". */
    std::string feed(const char* bytes, std::size_t size);
    bool isDone() const;
    /** Returns true if the connection can be used for another request after this response. */
    bool isKeepAlive() const;
    /** Moves the complete response out of the parser. */
    HttpResponse release();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondlever
