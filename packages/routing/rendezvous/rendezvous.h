#pragma once

#include <cstdint>
#include <string_view>

namespace chervilmount::routing {

/**
 * Weight of a candidate for a key in rendezvous hashing: candidates are ranked by it, so that one
 * that comes or goes moves few keys.
 * @see Thaler, Ravishankar: Using name-based mappings to increase hit rates (1998)
 */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

} // namespace chervilmount::routing
