#pragma once

#include "overload/reason/reason.h"
#include "routing/choice/candidate.h"
#include "routing/link/linkbudget.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <span>

namespace chervilmount::routing {

/** A call for which a backend server is to be selected. */
struct ChoiceRequest
{
    overload::Rank m_rank = 0;
    /** Number of the route whose threshold applies; 0 for nested calls. */
    overload::NameNumber m_route = 0;
    /** The route allows the paid link, and the call is neither a retry nor a probe. */
    bool m_crossRegion = false;
    /** Estimated bytes of request and response. */
    double m_estimatedBytes = 0.0;
    /** Candidates that have already refused or failed this call. */
    std::span<const std::uint32_t> m_tried;
};

/** Result of the selection. */
struct Choice
{
    /** Index in ServiceCandidates; empty if the call cannot be sent. */
    std::optional<std::uint32_t> m_candidate;
    overload::Reason m_reason = overload::Reason::NoCandidate;
};

/**
 * Selects the backend server of a call: own failure domain first, then own region, then the paid
 * link; within a place the less loaded of two random candidates. If no reachable backend server
 * admits the rank, one of the nearest place is selected, so that probes reach it.
 */
Choice choose(const ServiceCandidates &candidates, const ChoiceRequest &request,
              const LinkBudget &link, const RoutingSettings &settings,
              std::chrono::steady_clock::time_point now, std::mt19937_64 &random);

/** Records the start of a call at a candidate and charges the bytes to the paid link's budget. */
void recordCallStart(ServiceCandidates &candidates, std::uint32_t index, double estimatedBytes,
                     LinkBudget &link, std::chrono::steady_clock::time_point now);

/** Report on the backend server and its subtree from a response or refusal. */
struct CallReport
{
    AttemptResult m_result = AttemptResult::NotCounted;
    overload::NameNumber m_route = 0;
    /** Whether the response contained load and threshold. */
    bool m_hasReport = false;
    double m_load = 0.0;
    overload::Rank m_threshold = overload::HighestRank;
    /** The node has announced that it leaves. */
    bool m_leaving = false;
};

/** Records the end of a call; may eject the candidate, but never more than half of the candidates.
 */
void recordCallEnd(ServiceCandidates &candidates, std::uint32_t index, const CallReport &report,
                   const RoutingSettings &settings, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::routing
