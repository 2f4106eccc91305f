#include "node/support/client.h"

#include "adapters/http/httplistener.h"

#include <boost/asio/this_coro.hpp>

using namespace chervilmount;

adapters::Task<TestResponse> sendRequest(std::string address, TestRequest request)
{
    TestResponse response;
    adapters::HttpConnection connection(co_await boost::asio::this_coro::executor, 64 * 1024);
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    if (co_await connection.connect(adapters::parseEndpoint(address), until))
        co_return response;
    adapters::HttpRequestHead head;
    head.m_method = request.m_method;
    head.m_target = request.m_target;
    head.m_fields = request.m_fields;
    head.m_hasBody = !request.m_body.empty();
    if (!request.m_chunked)
        head.m_bodyBytes = request.m_body.size();
    const bool headSent = co_await connection.writeHead(head);
    if (headSent && head.m_hasBody) {
        if (co_await connection.writeBody(request.m_body))
            co_await connection.finishBody();
    }
    std::optional<adapters::HttpResponseHead> answer = co_await connection.readHead();
    if (!answer)
        co_return response;
    response.m_status = answer->m_status;
    response.m_head = *answer;
    std::string part;
    for (;;) {
        const auto read = co_await connection.readBody(part, 64 * 1024);
        response.m_body += part;
        if (read == adapters::HttpConnection::BodyRead::Data)
            continue;
        response.m_complete = read == adapters::HttpConnection::BodyRead::End;
        co_return response;
    }
}
