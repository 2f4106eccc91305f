#pragma once

#include <chrono>
#include <cstdint>

namespace chervilmount::model {

/** Largest number of extra attempts of a route. */
constexpr int MaximumExtraAttempts = 5;
/** Largest number of extra attempts of a once-only route: one retry after a proven "not run".
 * @see docs/decisions/configuration-checks.md */
constexpr int MaximumOnceOnlyExtraAttempts = 1;
/** Longest timeout of a route; large downloads over a shared link take minutes. */
constexpr std::chrono::milliseconds MaximumTimeout = std::chrono::hours(1);
/** Largest request body of a route. */
constexpr std::uint64_t MaximumBodyBytes = std::uint64_t{1024} * 1024 * 1024;
/** Largest rate (requests a second) and burst (requests) of an organisation; a hundred times the
 * calls of the whole fleet at the target size. */
constexpr double MaximumRate = 1e9;
/** Longest time that an organisation may be served without a freshness proof. */
constexpr std::chrono::seconds MaximumServesWithoutProof{3600};
/** Tolerance for rounding errors in the sum of base shares. */
constexpr double ShareSumTolerance = 1e-9;

} // namespace chervilmount::model
