#pragma once

#include <cstdint>

namespace asio {
class io_context;
}

namespace almondlever {

/**
 * Runs the handlers of an io_context until it is stopped or has no work. An exception thrown by a handler is logged and
 * ends only that handler: one message must not terminate a process that serves thousands of callers.
 * Returns the number of handlers that threw.
 */
std::uint64_t runEventLoop(asio::io_context&);

} // namespace almondlever
