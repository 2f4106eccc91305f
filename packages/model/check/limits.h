#pragma once

#include <chrono>
#include <cstdint>

namespace chervilmount::model {

/** Largest number of extra attempts of a route. */
constexpr int MaximumExtraAttempts = 5;
/** Largest number of extra attempts of a once-only route: one re-send after a proven "not run".
 * @see docs/decisions/configuration-checks.md */
constexpr int MaximumOnceOnlyExtraAttempts = 1;
/** Longest timeout of a route; large downloads take minutes over a shared link. */
constexpr std::chrono::milliseconds MaximumTimeout = std::chrono::hours(1);
/** Largest request body of a route. */
constexpr std::uint64_t MaximumBodyBytes = std::uint64_t{1024} * 1024 * 1024;
/** Largest rate (requests a second) and burst (requests) of an organisation; a hundred times the
 * calls of the whole fleet at the target size. */
constexpr double MaximumRate = 1e9;
/** Longest time that an organisation may be served without a freshness proof. */
constexpr std::chrono::seconds MaximumServesWithoutProof{3600};
/** Tolerance of the sum of base shares, for the rounding of sums of fractions. */
constexpr double ShareSumTolerance = 1e-9;

} // namespace chervilmount::model
