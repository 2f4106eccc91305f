#pragma once

#include "adapters/tasks/task.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <list>
#include <memory>

namespace chervilmount::adapters {

/**
 * Condition variable for coroutines. A waiter checks its condition after each return; a
 * notification has no effect if no coroutine is waiting.
 */
class Signal
{
public:
    /** @param executor the executor of the process's I/O context. */
    explicit Signal(boost::asio::any_io_executor executor);

    /** Wakes all coroutines that wait now. */
    void notify();

    /** Returns on the next notification. */
    Task<> wait();

    /**
     * Returns on the next notification or at the given time.
     * @param until time of the steady clock.
     */
    Task<> waitUntil(std::chrono::steady_clock::time_point until);

private:
    using Waiters = std::list<boost::asio::steady_timer *>;

    boost::asio::any_io_executor m_executor;
    // Shared with the waiters, which may outlive the signal.
    std::shared_ptr<Waiters> m_waiters = std::make_shared<Waiters>();
};

/** Suspends the calling coroutine for the given duration. */
Task<> sleepFor(std::chrono::steady_clock::duration duration);

} // namespace chervilmount::adapters
