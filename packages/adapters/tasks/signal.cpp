#include "adapters/tasks/signal.h"

#include <boost/asio/this_coro.hpp>

#include <tuple>
#include <utility>

namespace chervilmount::adapters {

Signal::Signal(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
{
}

void Signal::notify()
{
    for (boost::asio::steady_timer *timer : *m_waiters)
        timer->cancel();
}

Task<> Signal::wait()
{
    return waitUntil(std::chrono::steady_clock::time_point::max());
}

Task<> Signal::waitUntil(std::chrono::steady_clock::time_point until)
{
    const std::shared_ptr<Waiters> waiters = m_waiters;
    boost::asio::steady_timer timer(m_executor, until);
    const Waiters::iterator position = waiters->insert(waiters->end(), &timer);
    std::ignore = co_await timer.async_wait(AsTuple);
    waiters->erase(position);
}

Task<> sleepFor(std::chrono::steady_clock::duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    std::ignore = co_await timer.async_wait(AsTuple);
}

} // namespace chervilmount::adapters
