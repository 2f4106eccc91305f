#pragma once

#include "relay/entry/entryservices.h"
#include "relay/http/httpsession.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** What the entry has found out about a request before it is placed. */
struct EntryRequest
{
    HttpRequest m_request;
    std::chrono::steady_clock::time_point m_arrivedAt;
    std::chrono::steady_clock::time_point m_deadline;
    std::shared_ptr<const traffic::PolicyIndex> m_policy;
    /** Belongs to m_policy. */
    const traffic::RoutePolicy *m_route = nullptr;
    std::string m_organisation;
    std::string m_attempt;
    std::string m_service;
    int m_priority = 0;
    bool m_nested = false;
    /** Attempt whose run made this nested call; empty if it is not known. */
    std::string m_parent;
    /** The organisation was charged a token. */
    bool m_charged = false;
    /** Part of such requests that is admitted at present. */
    double m_admittedShare = 1.0;
};

/** One request from its admission to its response: places it, and sends it again where that is
 * safe and within the budget. */
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
    EntryCall(EntryServices &services, std::shared_ptr<ServerExchange> exchange,
              EntryRequest request);

    /** Sends the first attempt. */
    void start();

    /** The process ends: the request gets its final response. */
    void giveUp();

    /** Ends the request with a response of the node itself. */
    void refuse(Outcome outcome, int status, const std::string &reason,
                std::chrono::milliseconds retryAfter);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Attempt
    {
        /** Node that runs it; empty for the local gate. */
        std::string m_node;
        std::uint64_t m_number = 0;
    };

    void attempt();
    void refuseWithoutRoom(const std::string &reason);
    Call makeCall(TimePoint now) const;
    /** @returns when the request expires, or has to have ended because the process does. */
    TimePoint deadline() const;
    void ended(const std::string &node, CallResult result);
    void answered(const std::string &node, Answer answer);
    void failed(const std::string &node, const Failure &failure);
    /** Takes the end of an attempt at a node, or at the own one if the name is empty. */
    void recordAttempt(const std::string &node, routing::AttemptResult result, TimePoint now);
    bool mayRepeat(const Failure &failure, TimePoint now);
    void timedOut();
    void abandoned();
    void cancelAttempt();
    /** Ends the timers and the attempt and counts the outcome. @returns false if it had ended. */
    bool end(Outcome outcome);
    void finish(Outcome outcome, HttpResponse response, const std::string &reason);
    void log(Outcome outcome, int status, const std::string &reason, TimePoint now);
    /** @returns the part of the target latency for which the request may wait for a slot. */
    double allowedWaitShare() const;
    bool isIdempotent() const;

    EntryServices &m_services;
    std::shared_ptr<ServerExchange> m_exchange;
    EntryRequest m_entry;
    std::vector<std::string> m_tried;
    std::optional<Attempt> m_running;
    TimerId m_deadlineTimer = 0;
    /** Backend servers that received the request. */
    int m_arrivals = 0;
    /** An attempt may have run. */
    bool m_mayHaveRun = false;
    bool m_finished = false;
};

} // namespace chervilmount::relay
