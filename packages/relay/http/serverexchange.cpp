#include "relay/http/serverexchange.h"

#include "relay/http/httpsession.h"

#include <utility>

namespace chervilmount::relay {

ServerExchange::ServerExchange(std::weak_ptr<HttpSession> session, TimePoint receivedAt)
    : m_session(std::move(session))
    , m_receivedAt(receivedAt)
{
}

void ServerExchange::respond(HttpResponse response, bool closes)
{
    const std::shared_ptr<HttpSession> session = m_session.lock();
    if (m_ended || !session)
        return;
    m_ended = true;
    m_onAbandoned = nullptr;
    m_response = std::move(response);
    session->answered(*this, closes);
}

} // namespace chervilmount::relay
