#pragma once

#include "model/model.h"
#include "node/control/configurationstate.h"
#include "node/entry/callplan.h"
#include "node/entry/repeatcounter.h"
#include "overload/overload.h"

#include <chrono>
#include <map>
#include <random>
#include <string>
#include <variant>

namespace chervilmount::node {

/** What becomes of a caller's request before any backend server is chosen. */
using EntryDecision = std::variant<CallPlan, RefusalReply>;

/** What an entry node remembers about callers. */
struct EntryState
{
    RepeatCounter m_repeats;
    /** Use of each organisation at this node. */
    std::map<std::string, overload::UsageMeter> m_usage;
};

/** What the decision on a caller's request depends on. */
struct EntryInput
{
    /** The version in force, or null. */
    const PublishedConfiguration *m_configuration = nullptr;
    /** Age of the freshness proof; nothing without any proof. */
    std::optional<std::chrono::nanoseconds> m_proofAge;
    std::string m_failureDomain;
    /** Nodes of the own failure domain that may be entry nodes; at least 1. */
    std::size_t m_nodesInDomain = 1;
    model::RequestId m_id{};
    std::chrono::steady_clock::time_point m_now;
};

/** Longest age of the freshness proof at which keyed requests are served. */
constexpr std::chrono::seconds FreshnessBound{3};

/**
 * Matches the route, looks up the key, checks the freshness of the configuration and sets the rank.
 */
EntryDecision decideCaller(EntryState &state, const EntryInput &input,
                           const model::KeyDigester &digester,
                           const adapters::HttpRequestHead &head);

/** Removes the caller's key and the fields that only nodes may set. */
void removeReservedFields(std::vector<adapters::HttpField> &fields);

} // namespace chervilmount::node
