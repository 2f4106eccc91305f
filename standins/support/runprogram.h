#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

namespace chervilmount::standins {

/**
 * Runs the context until SIGTERM or SIGINT, or until the main coroutine ends.
 * @returns the exit status: 1 if the coroutine ended with an exception, which is printed
 */
int runProgram(boost::asio::io_context &context, boost::asio::awaitable<void> mainCoroutine);

} // namespace chervilmount::standins
