#pragma once

#include "node/control/configurationstate.h"
#include "node/entry/callplan.h"

#include <chrono>
#include <random>
#include <string>
#include <variant>

namespace chervilmount::node {

/** What becomes of a caller's request before any backend server is chosen. */
using EntryDecision = std::variant<CallPlan, RefusalReply>;

/**
 * Matches the route and looks up the key of a caller's request.
 * @param configuration the version in force, or null.
 * @param digestKey the deployment's key for key digests.
 */
EntryDecision decideEntry(const ConfigurationVersion *configuration, const std::string &digestKey,
                          const adapters::HttpRequestHead &head, model::RequestId id,
                          std::chrono::steady_clock::time_point now);

/** Removes the caller's key and the fields that only nodes may set. */
void removeReservedFields(std::vector<adapters::HttpField> &fields);

} // namespace chervilmount::node
