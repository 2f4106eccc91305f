#include "command/fakenode.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace chervilmount::tests {

namespace asio = boost::asio;
namespace http = boost::beast::http;

FakeNode::FakeNode(Handler handler)
    : m_handler(std::move(handler))
    , m_acceptor(m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_thread([this] { serve(); })
{
}

FakeNode::~FakeNode()
{
    m_isStopping = true;
    // Wakes the thread from its accept.
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    boost::system::error_code error;
    socket.connect(m_acceptor.local_endpoint(), error);
    m_thread.join();
}

std::string FakeNode::address() const
{
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

std::vector<command::HttpRequest> FakeNode::requests() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_requests;
}

void FakeNode::serve()
{
    while (!m_isStopping) {
        asio::ip::tcp::socket socket(m_context);
        boost::system::error_code error;
        m_acceptor.accept(socket, error);
        if (!m_isStopping && !error)
            serveConnection(std::move(socket));
    }
}

void FakeNode::serveConnection(asio::ip::tcp::socket socket)
{
    boost::system::error_code error;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> message;
    http::read(socket, buffer, message, error);
    if (error)
        return;
    const command::HttpRequest request{std::string(message.method_string()),
                                       std::string(message.target()), message.body()};
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_requests.push_back(request);
    }
    const command::HttpResponse answer = m_handler(request);
    if (answer.m_status == CloseConnection)
        return;
    if (answer.m_status == NoResponse) {
        m_silent.push_back(std::move(socket));
        return;
    }
    http::response<http::string_body> response(static_cast<http::status>(answer.m_status), 11);
    response.body() = answer.m_body;
    response.prepare_payload();
    http::write(socket, response, error);
    socket.shutdown(asio::ip::tcp::socket::shutdown_both, error);
}

} // namespace chervilmount::tests
