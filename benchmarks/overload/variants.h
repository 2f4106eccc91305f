#pragma once

#include <string>
#include <vector>

namespace chervilmount::scenarios {

enum class AdmissionKind {
    /** The admission of the overload package. */
    Controlled,
    /** Every call goes to the backend server, which queues up to its connections. */
    Uncontrolled
};

enum class RoutingKind { TwoChoices, OneChoice, RoundRobin };

/** Which mechanisms a run uses. The default is the whole project. */
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
    /** Off: the node beside a backend server does not look at the thresholds of the callees. */
    bool m_calleeThreshold = true;
    bool m_ownThreshold = true;
    bool m_carriedLoad = true;
    bool m_outliers = true;
    bool m_slowStart = true;
    bool m_cancellation = true;
    bool m_retryBudget = true;
    /** Off: each hop has the whole number of extra attempts. */
    bool m_treeAllocation = true;
    /** Off: failures from further down are retried too. */
    bool m_onlyNextToFailure = true;
    /** Off: callers ignore the retry delay and repeat at once. */
    bool m_retryDelay = true;
    /** Extra attempts of a request, or of each hop without the tree allocation. */
    int m_extraAttempts = 2;
};

/** @returns the project, the two baselines, and the project with each mechanism off in turn. */
std::vector<Variant> allVariants();

/** @returns the variant of this name; throws std::invalid_argument if there is none. */
Variant variantNamed(const std::string &name);

} // namespace chervilmount::scenarios
