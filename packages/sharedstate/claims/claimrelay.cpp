#include "sharedstate/claims/claimrelay.h"

#include <iterator>
#include <utility>

namespace chervilmount::sharedstate {

namespace {

void sendBatch(ClaimRelayState &state, ClaimRelayEffects &effects)
{
    if (state.m_writes.empty())
        return;
    const std::uint64_t request = state.m_nextRequest++;
    state.m_inFlight[request] = std::exchange(state.m_parts, {});
    effects.m_store.push_back({request, RowTransaction{std::exchange(state.m_writes, {}), false},
                               state.m_settings.m_storeTimeout});
}

} // namespace

ClaimRelayEffects relayClaims(ClaimRelayState &state, const std::string &from,
                              const ClaimRequest &request,
                              std::chrono::steady_clock::time_point now)
{
    ClaimRelayEffects effects;
    if (state.m_writes.size() + request.m_writes.size() > MaximumTransactionRows)
        sendBatch(state, effects);
    if (state.m_writes.empty())
        state.m_due = now + state.m_settings.m_batchDelay;
    state.m_parts.push_back({from, request.m_request, request.m_writes.size()});
    state.m_writes.insert(state.m_writes.end(), request.m_writes.begin(), request.m_writes.end());
    if (state.m_writes.size() >= state.m_settings.m_batchSize)
        sendBatch(state, effects);
    return effects;
}

ClaimRelayEffects relayTick(ClaimRelayState &state, std::chrono::steady_clock::time_point now)
{
    ClaimRelayEffects effects;
    if (now >= state.m_due)
        sendBatch(state, effects);
    return effects;
}

ClaimRelayEffects relayResult(ClaimRelayState &state, const StoreResult &result)
{
    ClaimRelayEffects effects;
    const std::map<std::uint64_t, std::vector<RelayedClaims>>::iterator found =
            state.m_inFlight.find(result.m_id);
    if (found == state.m_inFlight.end())
        return effects;
    std::size_t begin = 0;
    for (const RelayedClaims &part : found->second) {
        ClaimResult split{part.m_request, result.m_outcome, {}};
        if (begin + part.m_count <= result.m_writes.size()) {
            split.m_writes.assign(
                    std::next(result.m_writes.begin(), static_cast<std::ptrdiff_t>(begin)),
                    std::next(result.m_writes.begin(),
                              static_cast<std::ptrdiff_t>(begin + part.m_count)));
        }
        begin += part.m_count;
        effects.m_results.push_back({part.m_from, std::move(split)});
    }
    state.m_inFlight.erase(found);
    return effects;
}

} // namespace chervilmount::sharedstate
