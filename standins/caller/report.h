#pragma once

#include "standins/caller/load.h"

#include <string>
#include <vector>

namespace chervilmount::standins {

/** Checks the records of the callers and the backend servers against the invariants. */
std::vector<std::string> findViolations(const Scenario &scenario, const Records &records,
                                        const ObservedExecutions &executions);

/**
 * Prints goodput, latency, refusals by reason and each organisation, then the final line that
 * starts with "demo:".
 */
void printReport(const Scenario &scenario, const Records &records,
                 const std::vector<std::string> &violations);

} // namespace chervilmount::standins
