#pragma once

#include <string>
#include <vector>

namespace chervilmount::scenarios {

enum class AdmissionKind {
    /** The admission of the overload package. */
    Controlled,
    /** All calls are sent to the backend server, which queues up to its connection limit. */
    Uncontrolled
};

enum class RoutingKind { TwoChoices, OneChoice, RoundRobin };

/** Mechanisms that a run uses; all of them by default. */
struct Variant
{
    std::string m_name;
    AdmissionKind m_admission = AdmissionKind::Controlled;
    RoutingKind m_routing = RoutingKind::TwoChoices;
    bool m_adaptiveLimit = true;
    bool m_priorities = true;
    bool m_overUseLevels = true;
    bool m_roundRobinOrganisations = true;
    bool m_sojournBound = true;
    bool m_deadlineRefusal = true;
    bool m_entryThreshold = true;
    /** Off: the node of a backend server ignores the thresholds of the callees. */
    bool m_calleeThreshold = true;
    bool m_ownThreshold = true;
    bool m_carriedLoad = true;
    bool m_outliers = true;
    bool m_slowStart = true;
    bool m_cancellation = true;
    bool m_retryBudget = true;
    /** Off: each hop may use all extra attempts. */
    bool m_treeAllocation = true;
    /** Off: failures further down the call tree are also retried. */
    bool m_onlyNextToFailure = true;
    /** Off: callers ignore the retry delay and repeat immediately. */
    bool m_retryDelay = true;
    /** Extra attempts of a request, or of each hop without the tree allocation. */
    int m_extraAttempts = 2;
};

/** @returns the default variant, the two baselines, and the default with each single mechanism
 * disabled. */
std::vector<Variant> allVariants();

/** @returns the variant of this name; throws std::invalid_argument if there is none. */
Variant variantNamed(const std::string &name);

} // namespace chervilmount::scenarios
