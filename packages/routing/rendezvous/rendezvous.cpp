#include "routing/rendezvous/rendezvous.h"

#include <xxhash.h>

namespace chervilmount::routing {

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

} // namespace chervilmount::routing
