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

/** A call that needs a backend server. */
struct ChoiceRequest
{
    overload::Rank m_rank = 0;
    /** Number of the route the threshold is kept for; 0 for nested calls. */
    overload::NameNumber m_route = 0;
    /** The route allows the paid link, and the call is neither a retry nor a probe. */
    bool m_crossRegion = false;
    /** Estimated bytes of request and response. */
    double m_estimatedBytes = 0.0;
    /** Candidates that have already refused or failed this call. */
    std::span<const std::uint32_t> m_tried;
};

/** The chosen candidate. */
struct Choice
{
    /** Index in ServiceCandidates; empty if the call cannot be sent. */
    std::optional<std::uint32_t> m_candidate;
    overload::Reason m_reason = overload::Reason::NoCandidate;
};

/**
 * Chooses the backend server of a call: failure domain first, then region, then the paid link;
 * within a place the less loaded of two random candidates. If no backend server that can be
 * reached admits the rank, the nearest place decides, so that probes reach it.
 */
Choice choose(const ServiceCandidates &candidates, const ChoiceRequest &request,
              const LinkBudget &link, const RoutingSettings &settings,
              std::chrono::steady_clock::time_point now, std::mt19937_64 &random);

/** Counts the start of a call at a candidate and takes the bytes of the paid link. */
void recordCallStart(ServiceCandidates &candidates, std::uint32_t index, double estimatedBytes,
                     LinkBudget &link, std::chrono::steady_clock::time_point now);

/** What a response or refusal says about the backend server and its subtree. */
struct CallReport
{
    AttemptResult m_result = AttemptResult::NotCounted;
    overload::NameNumber m_route = 0;
    /** Load and threshold are only taken if the response carried them. */
    bool m_hasReport = false;
    double m_load = 0.0;
    overload::Rank m_threshold = overload::HighestRank;
    /** The node has said that it leaves. */
    bool m_leaving = false;
};

/** Takes the end of a call; may eject the candidate, but never more than half of the candidates. */
void recordCallEnd(ServiceCandidates &candidates, std::uint32_t index, const CallReport &report,
                   const RoutingSettings &settings, std::chrono::steady_clock::time_point now);

} // namespace chervilmount::routing
