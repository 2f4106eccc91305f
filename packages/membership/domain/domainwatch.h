#pragma once

#include "membership/step/stepcontext.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::membership {

/** Records that a message from a member of another failure domain has arrived. */
void noteDomainHeard(StepContext &context, const std::string &failureDomain);

/** Returns the domains that this node cannot reach; empty if it is not a bridge. */
std::vector<std::string> unreachedDomains(const MembershipState &state,
                                          std::chrono::steady_clock::time_point now);

/**
 * Publishes changes of reachability. A domain becomes unreachable when no bridge of the own domain
 * that is heard can reach it. It becomes reachable again when a bridge hears it and their digests
 * are equal, or when it has been heard for 5 s without interruption.
 */
void watchDomains(StepContext &context);

/** Applies a view received from another node of the own domain. */
void applyView(StepContext &context, const DomainView &view);

/** Returns the views that differ from the initial one, for digests. */
std::vector<DomainView> changedViews(const MembershipState &state);

} // namespace chervilmount::membership
