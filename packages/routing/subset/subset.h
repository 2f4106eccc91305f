#pragma once

#include "routing/choice/candidate.h"

#include <chrono>
#include <span>
#include <string_view>
#include <vector>

namespace chervilmount::routing {

/**
 * Chooses the members of the subset by rendezvous hashing, so that a changed member table moves
 * few of them. Half of the places go to the same failure domain and a quarter each to the same and
 * the other regions; places that one group does not fill go to the nearest group that can.
 * Excluded members are left out.
 * @param callerId identifier of the calling node; gives each caller a subset of its own.
 */
std::vector<Member> chooseSubset(std::span<const Member> members, std::string_view callerId,
                                 std::size_t size);

/**
 * Replaces the candidates by a new subset; a candidate that stays keeps what is known about it.
 * Not for use while an index from choose() is held: indexes change.
 */
void replaceCandidates(ServiceCandidates &candidates, std::span<const Member> subset,
                       std::chrono::steady_clock::time_point now);

} // namespace chervilmount::routing
