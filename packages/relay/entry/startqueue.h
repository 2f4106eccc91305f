#pragma once

#include "relay/http/httpmessage.h"
#include "relay/http/serverexchange.h"
#include "relay/timers/timerqueue.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace chervilmount::relay {

/** Requests that arrived before the node could decide about them, in the order of their arrival.
 * @see traffic::endOfStartWait() */
class StartQueue
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Handler = std::function<void(const std::shared_ptr<ServerExchange> &, HttpRequest)>;

    /**
     * @param handler gets each request again, when the node is ready or when the request has waited
     * as long as it may.
     */
    StartQueue(TimerQueue &timers, Handler handler);

    void add(const std::shared_ptr<ServerExchange> &exchange, HttpRequest request, TimePoint until);

    /** Passes all waiting requests to the handler. */
    void release();

    std::size_t size() const { return m_waiting.size(); }

private:
    struct Waiting
    {
        std::shared_ptr<ServerExchange> m_exchange;
        HttpRequest m_request;
        TimerId m_timer = 0;
    };

    void handle(std::uint64_t number);

    TimerQueue &m_timers;
    Handler m_handler;
    std::map<std::uint64_t, Waiting> m_waiting;
    std::uint64_t m_last = 0;
};

} // namespace chervilmount::relay
