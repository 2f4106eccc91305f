#pragma once

#include "relay/entry/entryservices.h"
#include "relay/http/httpsession.h"
#include "traffic/dispatch/dispatchrecord.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chervilmount::relay {

/** A request with everything that is determined before a node is chosen for it. */
struct EntryRequest
{
    HttpRequest m_request;
    std::chrono::steady_clock::time_point m_arrivedAt;
    std::chrono::steady_clock::time_point m_deadline;
    std::shared_ptr<const traffic::PolicyIndex> m_policy;
    /** Origin of m_policy, and when the store last answered this node about the policy; for the
     * log. @{ */
    std::shared_ptr<const PolicyOrigin> m_policyOrigin;
    std::chrono::steady_clock::time_point m_storeHeardAt;
    /** @} */
    /** Owned by m_policy. */
    const traffic::RoutePolicy *m_route = nullptr;
    std::string m_organisation;
    std::string m_attempt;
    std::string m_service;
    int m_priority = 0;
    bool m_nested = false;
    /** Attempt that made this nested call; empty if unknown. */
    std::string m_parent;
    /** Token taken from the organisation's token bucket, if any. */
    std::optional<traffic::TakenToken> m_token;
    /** Share of requests of this kind that is currently admitted, 0 to 1. */
    double m_admittedShare = 1.0;
};

/** Handles one request from its admission to its response: chooses a node, and retries failed
 * attempts where that is safe and within the retry budget. */
class EntryCall : public std::enable_shared_from_this<EntryCall>
{
public:
    EntryCall(EntryServices &services, std::shared_ptr<ServerExchange> exchange,
              EntryRequest request);

    /** Sends the first attempt. */
    void start();

    /** Sends a final response because the process is about to exit. */
    void abort();

    /** Sends a second attempt to another node if the one that runs the first is doubtful.
     * @see traffic::isDoubtful() */
    void reconsider(std::chrono::steady_clock::time_point now);

    /** Ends the request with a response from the node itself.
     * @param retryAfter value of Retry-After; 0 omits the field. */
    void refuse(Outcome outcome, int status, const std::string &reason,
                std::chrono::milliseconds retryAfter);

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Attempt
    {
        /** Node that runs it; empty for this node. */
        std::string m_node;
        std::uint64_t m_number = 0;
        TimePoint m_startedAt;
    };

    void attempt();
    void refuseWithoutCapacity(const std::string &reason);
    Call buildCall(TimePoint now) const;
    /** @returns the request's deadline, or that of the shutdown if it is earlier. */
    TimePoint deadline() const;
    void attemptEnded(const std::string &node, CallResult result);
    void handleAnswer(const std::string &node, Answer answer);
    void handleFailure(const std::string &node, const Failure &failure);
    /** Updates outlier detection for the node that ran an attempt; an empty name is this node. */
    void recordAttempt(const std::string &node, routing::AttemptResult result, TimePoint now);
    bool mayRetry(const Failure &failure, TimePoint now);
    /** Takes a repeat from the budget if there is time for it and the route allows it.
     * @param arrivals attempts that have reached a backend server. */
    bool takeRepeat(int arrivals, TimePoint now);
    bool hasTimeToRepeat(TimePoint now) const;
    traffic::RunningAttempt describe(const Attempt &attempt, TimePoint now) const;
    void handleTimeout();
    void handleDisconnect();
    void cancelAttempts();
    /** Gives the token back if the request has not run. */
    void settleToken();
    /** Cancels the timer and the attempts, settles the token and counts the outcome.
     * @returns false if the request had ended before. */
    bool end(Outcome outcome);
    void finish(Outcome outcome, HttpResponse response, std::string reason);
    void logSecondAttempt(const traffic::RunningAttempt &attempt, TimePoint now);
    void log(Outcome outcome, int status, const std::string &reason, TimePoint now);
    /** @returns the share of the target latency that the request may spend waiting for a slot. */
    double allowedWaitShare() const;
    bool isIdempotent() const;

    EntryServices &m_services;
    std::shared_ptr<ServerExchange> m_exchange;
    EntryRequest m_entry;
    std::vector<std::string> m_tried;
    /** Attempts in progress; the first response of a backend server ends the request. */
    std::vector<Attempt> m_running;
    TimerId m_deadlineTimer = 0;
    /** Number of attempts that reached a backend server. */
    int m_arrivals = 0;
    /** Whether a backend server may have run the request. */
    traffic::DispatchRecord m_dispatches;
    bool m_finished = false;
};

} // namespace chervilmount::relay
