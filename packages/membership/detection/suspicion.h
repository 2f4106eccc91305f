#pragma once

#include "membership/member/nodeid.h"
#include "membership/step/membershipsettings.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace chervilmount::membership {

/** One observer's report that it does not hear from the subject. */
struct ObserverReport
{
    NodeKey m_observer = 0;
    std::chrono::steady_clock::time_point m_firstAt;
    std::chrono::steady_clock::time_point m_lastAt;
};

/** Reports about one subject; they count only for one incarnation and version of its record. */
struct Suspicion
{
    std::uint64_t m_incarnation = 0;
    std::uint32_t m_version = 0;
    std::vector<ObserverReport> m_reports;
    /** Since when all observers that the deciding node hears have reported the subject. */
    std::optional<std::chrono::steady_clock::time_point> m_unanimousSince;
};

/** Reports are repeated with each heartbeat and expire after this time without repetition. */
constexpr std::chrono::milliseconds ReportLifetime{4000};

/** Adds or renews a report. */
void addReport(Suspicion &suspicion, NodeKey observer, std::chrono::steady_clock::time_point now);

/** Removes expired reports and those of nodes that do not observe the subject. */
void removeStaleReports(Suspicion &suspicion, const std::vector<NodeKey> &observers,
                        std::chrono::steady_clock::time_point now);

/** The deciding observer's view of the subject's observers. */
struct ObserverView
{
    /** Observers of the subject, the deciding node included. */
    std::size_t m_observers = 0;
    /** Those of them that the deciding node hears, itself included. */
    std::size_t m_trustedObservers = 0;
    /** False if the deciding node hears nobody at all. */
    bool m_hearsSomebody = true;
};

/**
 * Decides whether the subject has failed: when 3 observers agree (or all, if there are fewer), when
 * 2 have agreed for the agreement time counted from the second report, or when all observers that
 * the deciding node hears have agreed for the agreement time. The last rule covers the loss of most
 * of a small domain, where no second observer is left. A node that hears no other node may itself
 * be cut off and waits longer.
 */
bool isFailed(Suspicion &suspicion, const ObserverView &view, const MembershipSettings &settings,
              std::chrono::steady_clock::time_point now);

} // namespace chervilmount::membership
