#include "standins/support/runprogram.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <exception>

namespace chervilmount::standins {

namespace asio = boost::asio;

int runProgram(asio::io_context &context, asio::awaitable<void> mainCoroutine)
{
    int status = 0;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code &, int) { context.stop(); });
    asio::co_spawn(context, std::move(mainCoroutine),
                   [&context, &status](const std::exception_ptr &failure) {
                       try {
                           if (failure)
                               std::rethrow_exception(failure);
                       } catch (const std::exception &error) {
                           std::fprintf(stderr, "error: %s\n", error.what());
                           status = 1;
                       }
                       context.stop();
                   });
    context.run();
    return status;
}

} // namespace chervilmount::standins
