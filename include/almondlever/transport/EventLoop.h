#pragma once

#include <cstdint>

namespace asio {
class io_context;
}

namespace almondlever {

/**
 * Runs the handlers of an io_context until it is stopped or has no work. An exception that leaves a handler ends that
 * handler only and is logged: one message must not end a process with thousands of callers.
 * Returns how many handlers ended so.
 */
std::uint64_t runEventLoop(asio::io_context&);

} // namespace almondlever
