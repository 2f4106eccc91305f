#include "relay/http/timedexchange.h"

#include <utility>

namespace chervilmount::relay {

void connectUntil(TimerQueue &timers, TimerQueue::TimePoint deadline,
                  const std::shared_ptr<HttpClientConnection> &connection,
                  const boost::asio::ip::tcp::endpoint &endpoint,
                  std::function<void(bool)> callback)
{
    auto waiting = std::make_shared<std::function<void(bool)>>(std::move(callback));
    const TimerId timer = timers.add(deadline, [connection, waiting] {
        connection->close();
        (*waiting)(false);
    });
    // A closed connection does not call back.
    connection->connect(endpoint, [&timers, waiting, timer](bool connected) {
        timers.cancel(timer);
        (*waiting)(connected);
    });
}

void exchangeUntil(TimerQueue &timers, TimerQueue::TimePoint deadline,
                   const std::shared_ptr<HttpClientConnection> &connection, HttpRequest request,
                   std::string id, HttpClientConnection::Callback callback)
{
    auto waiting = std::make_shared<HttpClientConnection::Callback>(std::move(callback));
    const TimerId timer = timers.add(deadline, [connection, waiting] {
        connection->close();
        (*waiting)({});
    });
    connection->exchange(std::move(request), std::move(id),
                         [&timers, waiting, timer](ExchangeResult result) {
                             timers.cancel(timer);
                             (*waiting)(std::move(result));
                         });
}

} // namespace chervilmount::relay
