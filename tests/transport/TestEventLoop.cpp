#include "almondlever/transport/EventLoop.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <stdexcept>

using namespace almondlever;

// Guards against one unexpected error in a handler that ends a process and all its callers' connections.
Test(EventLoop, failingHandlersEndNothingElse)
{
    asio::io_context context;
    int ran = 0;
    asio::post(context, [&ran] { ++ran; });
    asio::post(context, [] { throw std::runtime_error("unexpected"); });
    asio::post(context, [] { throw 7; });
    asio::post(context, [&ran] { ++ran; });
    cr_assert_eq(runEventLoop(context), 2U);
    cr_assert_eq(ran, 2);
}

// Guards against a loop that goes on after the process was told to stop.
Test(EventLoop, endsWhenStopped)
{
    asio::io_context context;
    int ran = 0;
    asio::post(context, [&context] {
        context.stop();
        throw std::runtime_error("unexpected");
    });
    asio::post(context, [&ran] { ++ran; });
    runEventLoop(context);
    cr_assert_eq(ran, 0);
}
