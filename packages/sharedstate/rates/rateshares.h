#pragma once

#include "model/configuration/failuredomain.h"
#include "model/configuration/organisation.h"
#include "sharedstate/rates/rategroup.h"

#include <map>
#include <string>
#include <vector>

namespace chervilmount::sharedstate {

/** Leases of rate groups in each failure domain. */
constexpr int RateLeasesPerDomain = 16;

/** Maximum number of groups of one organisation in a failure domain. */
constexpr int MaximumRateGroups = 4;

/** @returns the lease name of a rate group. */
std::string rateLease(const std::string &failureDomain, int number);

/**
 * Divides an organisation's rate and burst over its groups.
 *
 * Caps are whole tokens, because a bucket with a cap below 1 could never grant. A domain whose
 * share of the burst is below 1 token may get no cap and must borrow; its share of the rate goes to
 * the other domains. The caps add up to at most the burst, and the rates to at most the rate.
 *
 * @returns the share of each group by lease name.
 */
std::map<std::string, RateShare>
groupShares(const model::Organisation &organisation,
            const std::vector<model::FailureDomain> &failureDomains);

/** @returns a group's share of an organisation, and its lenders with those of the domain first. */
GroupPlan planOf(const std::map<std::string, RateShare> &shares, const std::string &group);

} // namespace chervilmount::sharedstate
