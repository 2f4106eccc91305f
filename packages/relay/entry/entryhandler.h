#pragma once

#include "relay/entry/entrycall.h"
#include "relay/entry/startqueue.h"

#include <memory>
#include <string>
#include <unordered_map>

namespace chervilmount::relay {

/** Accepts requests from callers and from the local backend server, checks them against the policy
 * and applies the organisations' rate limits and admission control. */
class EntryHandler
{
public:
    /** @param startedAt start of the process. */
    EntryHandler(EntryServices &services, std::chrono::steady_clock::time_point startedAt);

    void handle(const std::shared_ptr<ServerExchange> &exchange, HttpRequest request);

    /** Called when the policy or the other nodes have become known: decides about the requests that
     * have waited for it. */
    void releaseStartQueue() { m_startQueue.release(); }

    /** Sends second attempts of requests whose first one is doubtful; to be called every 100 ms. */
    void reconsiderCalls(std::chrono::steady_clock::time_point now);

    /** Called when tokens have arrived from another node: admits the waiting requests they cover.
     */
    void tokensArrived();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct WaitingForTokens
    {
        std::shared_ptr<ServerExchange> m_exchange;
        EntryRequest m_request;
    };

    void refuse(const std::shared_ptr<ServerExchange> &exchange, EntryRequest request,
                Outcome outcome, int status, const std::string &reason,
                std::chrono::milliseconds retryAfter);
    /** @returns whether a backend server of the route is known, or will not become known by the
     * start of this node. */
    bool hasBackendServer(const traffic::RoutePolicy &route, TimePoint now) const;
    /** Makes a request wait until the node knows enough to decide about it.
     * @returns false if it is to be refused; the request is unchanged then. */
    bool waitForStart(const std::shared_ptr<ServerExchange> &exchange, HttpRequest &request,
                      TimePoint now);
    std::optional<std::chrono::milliseconds> patienceOf(const HttpRequest &request) const;
    bool identify(EntryRequest &request, std::string &problem, int &status);
    void findParent(EntryRequest &request);
    bool acceptedDuringShutdown(const EntryRequest &request, TimePoint now) const;
    void chargeToken(const std::shared_ptr<ServerExchange> &exchange, EntryRequest request);
    void waitForTokens(const std::shared_ptr<ServerExchange> &exchange, EntryRequest request);
    void scheduleTokenRequest(std::uint64_t number);
    void requestTokens(const std::string &organisation, bool requestWaits, TimePoint now);
    void logAllotmentExceeded(const EntryRequest &request);
    void refuseOverAllotment(const std::shared_ptr<ServerExchange> &exchange, EntryRequest request);
    void admit(const std::shared_ptr<ServerExchange> &exchange, EntryRequest request);

    EntryServices &m_services;
    TimePoint m_startedAt;
    StartQueue m_startQueue;
    std::unordered_map<std::uint64_t, WaitingForTokens> m_waiting;
    std::uint64_t m_lastWaiting = 0;
};

} // namespace chervilmount::relay
