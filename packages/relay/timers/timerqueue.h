#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>

namespace chervilmount::relay {

/** Identifies a timer; 0 is none. */
using TimerId = std::uint64_t;

/**
 * Many one-shot timers on one timer of the event loop. Timers fire up to Granularity late, so that
 * neighbouring ones share a wake-up.
 */
class TimerQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr std::chrono::milliseconds Granularity{2};

    explicit TimerQueue(boost::asio::io_context &context);

    /** Calls @p callback at the time. @returns the identifier for cancel(). */
    TimerId add(TimePoint time, std::function<void()> callback);

    /** Forgets a timer; one that has fired or is 0 is ignored. */
    void cancel(TimerId timer);

private:
    void arm();
    void fire();

    boost::asio::steady_timer m_timer;
    TimePoint m_armedFor = TimePoint::max();
    TimerId m_last = 0;
    std::map<std::pair<TimePoint, TimerId>, std::function<void()>> m_pending;
    std::unordered_map<TimerId, TimePoint> m_times;
    /** Expires with the queue, so that a late wake-up does not touch it. */
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace chervilmount::relay
