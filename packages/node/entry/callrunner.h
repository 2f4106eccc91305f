#pragma once

#include "adapters/http/httpexchange.h"
#include "node/calls/outgoingcalls.h"
#include "node/entry/bodysource.h"
#include "node/entry/callplan.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace chervilmount::node {

/** Chooses the node for an attempt. @returns its address, or nothing if none is left. */
using ChooseNode = std::function<std::optional<std::string>(const CallPlan &plan,
                                                            const std::set<std::string> &excluded)>;

/** How a call ended. */
struct CallOutcome
{
    /** HTTP status that the caller received; 0 if the connection was broken. */
    int m_status = 0;
    bool m_refused = false;
    std::string m_reason;
    int m_attempts = 0;
    /** Extra attempts that were handed out with the plan and not used. */
    int m_unusedExtraAttempts = 0;
    /** Node of the last attempt. */
    std::string m_node;
};

/** Sends a planned call, with its retries, and streams the response to the caller. */
class CallRunner
{
public:
    /** @param replayBytes bodies up to this size can be sent again in a further attempt. */
    CallRunner(OutgoingCalls &calls, ChooseNode choose, std::size_t replayBytes);

    /** Runs the call until the response has been sent or the caller has gone. */
    adapters::Task<CallOutcome> run(adapters::HttpExchange &exchange, CallPlan plan);

private:
    enum class AttemptEnd { Answered, CallerGone, CallerBodyFailed, Failed };

    struct Attempt;

    adapters::Task<AttemptEnd> attempt(Attempt &attempt);
    adapters::Task<bool> sendBody(Attempt &attempt);
    adapters::Task<> waitForAnswer(Attempt &attempt);
    adapters::Task<bool> streamAnswer(Attempt &attempt);
    messages::CallStart makeStart(const CallPlan &plan, int attemptNumber, int handedOver) const;

    OutgoingCalls &m_calls;
    ChooseNode m_choose;
    std::size_t m_replayBytes;
};

} // namespace chervilmount::node
