#include "almondlever/transport/EventLoop.h"

#include "almondlever/observability/DecisionLog.h"

#include <asio/io_context.hpp>
#include <exception>
#include <string>

namespace almondlever {

namespace {

    /** The first failures are all logged; after that only those whose number is a power of two. */
    constexpr std::uint64_t alwaysLoggedFailures = 16;

    void logFailure(std::uint64_t number, const char* reason)
    {
        const bool isPowerOfTwo = (number & (number - 1)) == 0;
        if (number <= alwaysLoggedFailures || isPowerOfTwo)
            logError("handler_failed", { { "count", std::to_string(number) }, { "reason", reason } });
    }

} // namespace

std::uint64_t runEventLoop(asio::io_context& context)
{
    std::uint64_t failures = 0;
    while (true) {
        try {
            context.run();
            return failures;
        } catch (const std::exception& exception) {
            logFailure(++failures, exception.what());
        } catch (...) {
            logFailure(++failures, "unknown exception");
        }
    }
}

} // namespace almondlever
