#include "relay/entry/startqueue.h"

#include <utility>

namespace chervilmount::relay {

StartQueue::StartQueue(TimerQueue &timers, Handler handler)
    : m_timers(timers)
    , m_handler(std::move(handler))
{
}

void StartQueue::add(const std::shared_ptr<ServerExchange> &exchange, HttpRequest request,
                     TimePoint until)
{
    const std::uint64_t number = ++m_last;
    const TimerId timer = m_timers.add(until, [this, number] { handle(number); });
    m_waiting.emplace(number, Waiting{exchange, std::move(request), timer});
}

void StartQueue::release()
{
    // Requests that the handler adds again wait for the next release.
    const std::uint64_t last = m_last;
    while (!m_waiting.empty() && m_waiting.begin()->first <= last)
        handle(m_waiting.begin()->first);
}

void StartQueue::handle(std::uint64_t number)
{
    auto node = m_waiting.extract(number);
    if (node.empty())
        return;
    Waiting &waiting = node.mapped();
    m_timers.cancel(waiting.m_timer);
    if (!waiting.m_exchange->isClosed())
        m_handler(waiting.m_exchange, std::move(waiting.m_request));
}

} // namespace chervilmount::relay
