#include "platform/standin/scriptedbackend.h"

#include <string_view>
#include <utility>

using namespace chervilmount::relay;

namespace {

constexpr std::string_view EndOfHead = "\r\n\r\n";

/** @returns the value of a header field in the head of a request, or an empty text. */
std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::size_t found = head.find("\r\n" + name + ": ");
    if (found == std::string::npos)
        return {};
    const std::size_t start = found + name.size() + 4;
    return head.substr(start, head.find('\r', start) - start);
}

} // namespace

ScriptedBackend::ScriptedBackend(boost::asio::io_context &context, const std::string &address,
                                 std::string id)
    : m_acceptor(context, parseEndpoint(address))
    , m_id(std::move(id))
{
    accept();
}

void ScriptedBackend::serve()
{
    for (const std::unique_ptr<Connection> &connection : m_connections)
        serve(*connection);
    m_connections.remove_if([](const std::unique_ptr<Connection> &connection) {
        return connection->m_caller.m_closed;
    });
}

void ScriptedBackend::accept()
{
    m_acceptor.async_accept(
            [this](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
                if (error)
                    return;
                m_connections.push_back(std::make_unique<Connection>(std::move(socket)));
                accept();
            });
}

void ScriptedBackend::serve(Connection &connection)
{
    const std::string &received = connection.m_caller.m_received;
    const std::size_t end = received.find(EndOfHead, connection.m_handled);
    if (end == std::string::npos)
        return;
    const std::string head =
            received.substr(connection.m_handled, end - connection.m_handled) + "\r\n";
    // A request whose body has not arrived is answered early; its connection is not used again.
    connection.m_handled = received.size();
    if (head.starts_with("GET /health ")) {
        connection.m_caller.send(
                "HTTP/1.1 200 OK\r\nX-Chervilmount-Instance-Id: " + m_id
                + "\r\nX-Chervilmount-Server-Load: 0,0,10\r\nContent-Length: 0\r\n\r\n");
        return;
    }
    ++m_arrivals;
    m_script(connection.m_caller, fieldOf(head, "X-Chervilmount-Attempt-Id"));
}
