#pragma once

#include <cstdint>
#include <string_view>

namespace chervilmount::routing {

/**
 * Computes the weight by which candidates are ranked for a key in rendezvous hashing; a candidate
 * that is added or removed moves few keys.
 * @see Thaler, Ravishankar: Using name-based mappings to increase hit rates (1998)
 */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace chervilmount::routing
