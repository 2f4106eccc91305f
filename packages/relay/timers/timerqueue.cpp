#include "relay/timers/timerqueue.h"

namespace chervilmount::relay {

TimerQueue::TimerQueue(boost::asio::io_context &context)
    : m_timer(context)
{
}

TimerId TimerQueue::add(TimePoint time, std::function<void()> callback)
{
    const TimerId timer = ++m_last;
    m_pending.emplace(std::make_pair(time, timer), std::move(callback));
    m_times.emplace(timer, time);
    arm();
    return timer;
}

void TimerQueue::cancel(TimerId timer)
{
    const auto found = m_times.find(timer);
    if (found == m_times.end())
        return;
    m_pending.erase({found->second, timer});
    m_times.erase(found);
}

void TimerQueue::arm()
{
    if (m_pending.empty())
        return;
    const TimePoint next = m_pending.begin()->first.first + Granularity;
    if (next >= m_armedFor)
        return;
    m_armedFor = next;
    m_timer.expires_at(next);
    m_timer.async_wait(
            [this, alive = std::weak_ptr<bool>(m_alive)](boost::system::error_code error) {
                if (error || alive.expired())
                    return;
                m_armedFor = TimePoint::max();
                fire();
            });
}

void TimerQueue::fire()
{
    const std::weak_ptr<bool> alive = m_alive;
    const TimePoint now = std::chrono::steady_clock::now();
    while (!m_pending.empty() && m_pending.begin()->first.first <= now) {
        auto entry = m_pending.extract(m_pending.begin());
        m_times.erase(entry.key().second);
        entry.mapped()();
        if (alive.expired())
            return;
    }
    arm();
}

} // namespace chervilmount::relay
