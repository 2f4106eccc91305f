#pragma once

#include "routing/choice/candidate.h"

#include <chrono>
#include <span>
#include <string_view>
#include <vector>

namespace chervilmount::routing {

/**
 * Selects the members of the subset by rendezvous hashing, so that a change of the member table
 * replaces few of them. Half of the subset is taken from the same failure domain and a quarter each
 * from the same and the other regions; what one group cannot fill is taken from the nearest group
 * that can.
 * Excluded members are left out.
 * @param callerId identifier of the calling node; makes the subsets of callers differ.
 */
std::vector<Member> chooseSubset(std::span<const Member> members, std::string_view callerId,
                                 std::size_t size);

/**
 * Replaces the candidates by a new subset; candidates that remain keep their state. Invalidates all
 * indexes returned by choose().
 */
void replaceCandidates(ServiceCandidates &candidates, std::span<const Member> subset,
                       std::chrono::steady_clock::time_point now);

} // namespace chervilmount::routing
