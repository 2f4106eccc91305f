#include "node/support/fakebackend.h"

#include "node/support/client.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

using namespace chervilmount;

FakeBackend::FakeBackend(const boost::asio::any_io_executor &executor, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(executor, "127.0.0.1:0", {}, [this](adapters::HttpExchange &exchange) {
        ++m_requests;
        m_lastRequest = exchange.request();
        return m_handler(exchange);
    })
{
}

std::string FakeBackend::address() const
{
    return "127.0.0.1:" + std::to_string(m_listener.localEndpoint().port());
}

adapters::Task<int> FakeBackend::announce(std::string localAddress, std::string service, int slots,
                                          int connections)
{
    TestRequest request;
    request.m_method = "POST";
    request.m_target = "/backend/announce";
    request.m_body = boost::json::serialize(boost::json::object{{"service", service},
                                                                {"address", address()},
                                                                {"slots", slots},
                                                                {"connections", connections},
                                                                {"load", 0.0}});
    const TestResponse response = co_await sendRequest(localAddress, request);
    co_return response.m_status;
}
