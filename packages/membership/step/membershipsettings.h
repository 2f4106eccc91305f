#pragma once

#include "membership/member/nodeid.h"
#include "membership/ring/bridgeset.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace chervilmount::membership {

/** Protocol rule that a test disables to verify that its checker detects it. Tests only. */
enum class DisabledRule {
    None,
    Refutation,
    /** Changes are neither forwarded nor reconciled. */
    Dissemination,
    Reconciliation,
    VersionOrder,
};

/** Settings of the membership protocol; the defaults are those of the design. */
struct MembershipSettings
{
    /** Peers contacted at start-up, independently of the store. */
    std::vector<NodeId> m_peers;
    std::chrono::milliseconds m_heartbeatInterval{1000};
    /** Silence after which an observer reports a neighbour as suspect. */
    std::chrono::milliseconds m_suspectAfter{4000};
    /** Observers that must agree before a suspect is failed at once. */
    std::size_t m_observersToFail = 3;
    /** Time after which fewer observers suffice. @see detection/suspicion.h */
    std::chrono::milliseconds m_agreementTime{8000};
    /** Time for which an isolated node waits before it declares failures on its own. */
    std::chrono::milliseconds m_isolatedWait{30000};
    /** Retention time of the records of left and failed members. */
    std::chrono::seconds m_retention{600};
    /** Changes are batched for this long after a flush, so that a burst needs few messages. */
    std::chrono::milliseconds m_flushInterval{50};
    /** Interval at which one random failed member of the own domain is probed. */
    std::chrono::milliseconds m_retryFailedInterval{5000};
    /** Interval of the check for seeds and configured peers that are missing from the table. */
    std::chrono::milliseconds m_seedCheckInterval{30000};
    /**
     * Links of one bridge to the bridges of each other failure domain, 1 to BridgesPerDomain; 0 for
     * all up to MostFullyLinkedDomains domains and 1 beyond.
     */
    std::size_t m_bridgeLinks = 0;
    DisabledRule m_disabledRule = DisabledRule::None;
};

} // namespace chervilmount::membership
