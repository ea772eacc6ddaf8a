#include "almondlever/transport/EventLoop.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <criterion/criterion.h>
#include <stdexcept>

using namespace almondlever;

// Guards against one unexpected exception in a handler terminating the process and closing all callers' connections.
Test(EventLoop, throwingHandlersDoNotEndTheLoop)
{
    asio::io_context context;
    int handlersRun = 0;
    asio::post(context, [&handlersRun] { ++handlersRun; });
    asio::post(context, [] { throw std::runtime_error("unexpected"); });
    asio::post(context, [] { throw 7; });
    asio::post(context, [&handlersRun] { ++handlersRun; });
    cr_assert_eq(runEventLoop(context), 2U);
    cr_assert_eq(handlersRun, 2);
}

// Guards against a loop that continues after the process was told to stop.
Test(EventLoop, endsWhenStopped)
{
    asio::io_context context;
    int handlersRun = 0;
    asio::post(context, [&context] {
        context.stop();
        throw std::runtime_error("unexpected");
    });
    asio::post(context, [&handlersRun] { ++handlersRun; });
    runEventLoop(context);
    cr_assert_eq(handlersRun, 0);
}
