#pragma once

#include "relay/http/httpclientconnection.h"
#include "relay/timers/timerqueue.h"

#include <functional>
#include <memory>
#include <string>

namespace chervilmount::relay {

/**
 * Connects within a time. The connection is closed when the time is over.
 * @param callback gets whether the connection was made; called once.
 */
void connectUntil(TimerQueue &timers, TimerQueue::TimePoint deadline,
                  const std::shared_ptr<HttpClientConnection> &connection,
                  const boost::asio::ip::tcp::endpoint &endpoint,
                  std::function<void(bool)> callback);

/**
 * Exchanges a request for a response within a time. The connection is closed when the time is over;
 * the callback then gets a broken exchange.
 * @param id identifier that the response has to name, or an empty text.
 * @param callback called once.
 */
void exchangeUntil(TimerQueue &timers, TimerQueue::TimePoint deadline,
                   const std::shared_ptr<HttpClientConnection> &connection, HttpRequest request,
                   std::string id, HttpClientConnection::Callback callback);

} // namespace chervilmount::relay
