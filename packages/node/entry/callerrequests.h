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

/** Decision on a caller's request: the call to make, or a refusal. */
using EntryDecision = std::variant<CallPlan, RefusalReply>;

/** State that an entry node keeps about callers. */
struct EntryState
{
    RepeatCounter m_repeats;
    /** Usage of each organisation at this node. */
    std::map<std::string, overload::UsageMeter> m_usage;
};

/** Input of the decision on a caller's request. */
struct EntryInput
{
    /** The version in force, or null. */
    const PublishedConfiguration *m_configuration = nullptr;
    /** Age of the proof that the configuration is current; nothing without a proof. */
    std::optional<std::chrono::nanoseconds> m_proofAge;
    std::string m_failureDomain;
    /** Possible entry nodes in this failure domain; at least 1. */
    std::size_t m_nodesInDomain = 1;
    model::RequestId m_id{};
    std::chrono::steady_clock::time_point m_now;
};

/** Maximum age of the proof that the configuration is current for serving keyed requests. */
constexpr std::chrono::seconds FreshnessBound{3};

/**
 * Matches the route, looks up the key, checks that the configuration is current and sets the rank.
 */
EntryDecision decideCaller(EntryState &state, const EntryInput &input,
                           const model::KeyDigester &digester,
                           const adapters::HttpRequestHead &head);

/** Removes the caller's key and the header fields that only nodes may set. */
void removeReservedFields(std::vector<adapters::HttpField> &fields);

} // namespace chervilmount::node
