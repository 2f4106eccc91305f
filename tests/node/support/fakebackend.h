#pragma once

#include "adapters/http/httplistener.h"

#include <functional>
#include <string>

/** A backend server with a request handler supplied by the test. */
class FakeBackend
{
public:
    using Handler =
            std::function<chervilmount::adapters::Task<>(chervilmount::adapters::HttpExchange &)>;

    /** @param handler handles a request; called after the request has been counted. */
    FakeBackend(const boost::asio::any_io_executor &executor, Handler handler);

    std::string address() const;

    /** Announces the backend server to its node. @returns the HTTP status. */
    chervilmount::adapters::Task<int> announce(std::string localAddress, std::string service,
                                               int slots = 50, int connections = 400);

    int m_requests = 0;
    /** Head of the last request. */
    chervilmount::adapters::HttpRequestHead m_lastRequest;

private:
    Handler m_handler;
    chervilmount::adapters::HttpListener m_listener;
};
