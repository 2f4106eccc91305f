#pragma once

#include <xxhash.h>

#include <cstdint>
#include <memory>
#include <string>

namespace chervilmount::node {

/** Incremental XXH3-64 checksum of a body. */
class BodyChecksum
{
public:
    BodyChecksum()
        : m_state(XXH3_createState())
    {
        XXH3_64bits_reset(m_state.get());
    }

    /** Adds the next part of the body. */
    void add(const std::string &data)
    {
        XXH3_64bits_update(m_state.get(), data.data(), data.size());
    }

    /** @returns the checksum of the parts added so far. */
    std::uint64_t value() const { return XXH3_64bits_digest(m_state.get()); }

private:
    struct FreeState
    {
        void operator()(XXH3_state_t *state) const { XXH3_freeState(state); }
    };

    std::unique_ptr<XXH3_state_t, FreeState> m_state;
};

} // namespace chervilmount::node
