#pragma once

#include "relay/http/bodybudget.h"
#include "relay/http/httpmessage.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>

namespace chervilmount::relay {

class HttpSession;

/** One request on a connection of a caller, from its receipt to its response. */
class ServerExchange
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /** @param receivedAt when the first bytes of the request arrived. */
    ServerExchange(std::weak_ptr<HttpSession> session, TimePoint receivedAt);

    /**
     * Answers the request; does nothing if it has been answered or the caller has gone. Responses
     * are sent in the order of the requests.
     * @param closes whether the connection ends once the requests that were begun are answered.
     */
    void respond(HttpResponse response, bool closes);

    /** @returns when the first bytes of the request arrived; it may have waited behind others. */
    TimePoint receivedAt() const { return m_receivedAt; }

    /** @returns whether nobody waits for a response: it has been given, or the caller has gone. */
    bool isClosed() const { return m_ended; }

    /** Called once if the caller leaves before the request is answered; set by the handler. */
    std::function<void()> m_onAbandoned;

private:
    friend class HttpSession;

    std::weak_ptr<HttpSession> m_session;
    TimePoint m_receivedAt;
    /** Set from the answer until it has been sent. */
    std::optional<HttpResponse> m_response;
    /** Bytes of the request's and the response's bodies. */
    BodyShare m_bodies;
    bool m_ended = false;
    /** Responses to HEAD have no body. */
    bool m_omitsBody = false;
    /** Requests with this method may run beside others of the connection. */
    bool m_hasSafeMethod = false;
};

} // namespace chervilmount::relay
