#include "relay/http/httpserver.h"

#include "relay/http/socketoptions.h"

#include <algorithm>
#include <utility>

namespace chervilmount::relay {

HttpServer::HttpServer(boost::asio::io_context &context, const std::string &address,
                       const traffic::CallerLimits &limits, HttpHandler handler)
    : m_acceptor(context, parseEndpoint(address))
    , m_limits(limits)
    , m_handler(std::move(handler))
{
    accept();
}

HttpServer::~HttpServer()
{
    abort();
}

void HttpServer::checkTimeouts(std::chrono::steady_clock::time_point now)
{
    for (const std::shared_ptr<HttpSession> &session : m_sessions)
        session->checkTimeouts(now);
    m_sessions.remove_if(
            [](const std::shared_ptr<HttpSession> &session) { return session->isClosed(); });
    accept();
}

void HttpServer::close()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const std::shared_ptr<HttpSession> &session : m_sessions)
        session->closeIfIdle();
}

void HttpServer::abort()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const std::shared_ptr<HttpSession> &session : m_sessions)
        session->abort();
}

std::size_t HttpServer::busySessions() const
{
    return static_cast<std::size_t>(std::count_if(
            m_sessions.begin(), m_sessions.end(), [](const std::shared_ptr<HttpSession> &session) {
                return !session->isClosed() && session->isBusy();
            }));
}

void HttpServer::accept()
{
    if (m_accepting || !m_acceptor.is_open() || m_sessions.size() >= m_maximumSessions)
        return;
    m_accepting = true;
    m_acceptor.async_accept([this](boost::system::error_code error,
                                   boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted)
            return;
        m_accepting = false;
        if (!error) {
            m_sessions.push_back(std::make_shared<HttpSession>(std::move(socket), m_limits,
                                                               m_sessionSettings, m_handler));
            m_sessions.back()->start(std::chrono::steady_clock::now());
            accept();
        }
        // After an error, e.g. no descriptor left, checkTimeouts() accepts again.
    });
}

} // namespace chervilmount::relay
