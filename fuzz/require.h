#pragma once

#include <cstdlib>

namespace chervilmount::fuzz {

/** Ends the run if the condition is false, so that the fuzzer keeps the input. */
inline void require(bool condition)
{
    if (!condition)
        std::abort();
}

} // namespace chervilmount::fuzz
