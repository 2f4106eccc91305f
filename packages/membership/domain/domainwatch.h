#pragma once

#include "membership/step/stepcontext.h"

#include <chrono>
#include <string>
#include <vector>

namespace chervilmount::membership {

/** Notes that a message from a member of another failure domain has arrived. */
void noteDomainHeard(StepContext &context, const std::string &failureDomain);

/** Returns the domains that this node, a bridge, does not reach; empty for other nodes. */
std::vector<std::string> unreachedDomains(const MembershipState &state,
                                          std::chrono::steady_clock::time_point now);

/**
 * Publishes changes of reachability. A domain is unreachable when every bridge of the own domain
 * that is heard does not reach it. It is reachable again when a bridge hears it and their digests
 * have become equal, or when it has been heard for 5 s without a break.
 */
void watchDomains(StepContext &context);

/** Takes in the view of another node of the own domain. */
void applyView(StepContext &context, const DomainView &view);

/** Returns the views that differ from the initial one, for digests. */
std::vector<DomainView> changedViews(const MembershipState &state);

} // namespace chervilmount::membership
