#pragma once

#include "StandinHttpServer.h"

#include <memory>

namespace almondlever::standin {

/** Reads HTTP requests from the bytes of a connection, with http_parser. */
class HttpRequestReader {
public:
    HttpRequestReader();
    ~HttpRequestReader();
    HttpRequestReader(const HttpRequestReader&) = delete;
    HttpRequestReader& operator=(const HttpRequestReader&) = delete;

    /** Feeds bytes and returns how many were used; stops behind the end of a request. */
    std::size_t feed(const char* bytes, std::size_t size);
    bool isMalformed() const;
    bool isDone() const;
    /** Takes the complete request out and gets ready for the next one. */
    StandinRequest release();

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace almondlever::standin
