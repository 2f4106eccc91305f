#pragma once

#include "adapters/http/httpexchange.h"
#include "node/calls/outgoingcalls.h"
#include "node/entry/bodysource.h"
#include "node/entry/callplan.h"
#include "node/outbound/servicerouter.h"
#include "node/record/decisionrecorder.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace chervilmount::node {

/** Outcome of a call. */
struct CallOutcome
{
    /** HTTP status that the caller received or is to receive; 0 if the connection was broken. */
    int m_status = 0;
    /** Set if no response was forwarded; the caller has not been answered yet. */
    std::optional<RefusalReply> m_refusal;
    int m_attempts = 0;
    /** Lowest admission threshold reported by the attempts. */
    overload::Rank m_threshold = overload::HighestRank;
};

/** Receives a copy of a response while it is streamed to the caller. */
class ResponseCopy
{
public:
    virtual ~ResponseCopy() = default;
    virtual void start(const adapters::HttpResponseHead &head) = 0;
    virtual void add(const std::string &data) = 0;
};

/** Sends a call, including retries, and streams the response to the caller. */
class CallRunner
{
public:
    /** All references must outlive the runner. */
    CallRunner(OutgoingCalls &calls, ServiceRouter &router, DecisionRecorder &recorder,
               std::mt19937_64 &random);

    /**
     * Runs the call until the response has been sent, the caller has disconnected or the call has
     * failed. The caller of this function must answer a failed call.
     * @param own allowance that retries are deducted from; must outlive the call.
     * @param copy receives the response, or null.
     */
    adapters::Task<CallOutcome> run(adapters::HttpExchange &exchange, BodySource &body,
                                    CallPlan plan, overload::AttemptAllowance &own,
                                    ResponseCopy *copy);

private:
    enum class AttemptEnd { Answered, CallerGone, CallerBodyFailed, Failed };

    struct Attempt;

    adapters::Task<AttemptEnd> attempt(Attempt &attempt);
    adapters::Task<bool> sendBody(Attempt &attempt);
    adapters::Task<> waitForAnswer(Attempt &attempt);
    adapters::Task<bool> streamAnswer(Attempt &attempt);
    adapters::Task<bool> streamBody(Attempt &attempt);
    void classifyFailure(Attempt &attempt) const;
    void reportEnd(const Attempt &attempt, AttemptEnd end);
    overload::RetryDecision decideRetry(const Attempt &attempt, overload::AttemptAllowance &own);
    messages::CallStart makeStart(const CallPlan &plan, int number,
                                  const overload::AttemptAllowance &allowance) const;

    OutgoingCalls &m_calls;
    ServiceRouter &m_router;
    DecisionRecorder &m_recorder;
    std::mt19937_64 &m_random;
};

} // namespace chervilmount::node
