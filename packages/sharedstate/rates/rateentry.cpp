#include "sharedstate/rates/rateentry.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chervilmount::sharedstate {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/** A request waits at most this long for tokens before it is refused. */
constexpr milliseconds MaximumWait{150};
/** Pause between two requests for the same organisation. */
constexpr milliseconds RequestInterval{20};
constexpr milliseconds ReportInterval{150};
/** Unused tokens are returned this long before they expire. */
constexpr milliseconds ReturnBefore{300};
constexpr milliseconds DemandWindow{200};
/** Weight of the newest window in the moving average of the demand. */
constexpr double DemandWeight = 0.5;
/** A grant is sized for this many seconds of demand. */
constexpr double GrantSeconds = 0.2;

std::uint32_t tokensLeft(const EntryOrganisation &entry, TimePoint now)
{
    std::uint32_t left = 0;
    for (const EntryGrant &grant : entry.m_grants)
        left += now < grant.m_expires ? grant.m_left : 0;
    return left;
}

/** @returns the grant that expires first and has a token; null if there is none. */
EntryGrant *usableGrant(EntryOrganisation &entry, TimePoint now)
{
    EntryGrant *first = nullptr;
    for (EntryGrant &grant : entry.m_grants) {
        if (grant.m_left == 0 || now >= grant.m_expires)
            continue;
        if (first == nullptr || grant.m_expires < first->m_expires)
            first = &grant;
    }
    return first;
}

bool charge(EntryOrganisation &entry, const std::string &name, std::uint64_t call, TimePoint now,
            RateEntryEffects &effects)
{
    EntryGrant *grant = usableGrant(entry, now);
    if (grant == nullptr)
        return false;
    --grant->m_left;
    ++grant->m_spent;
    grant->m_changed = true;
    effects.m_admitted.push_back({call, name, grant->m_group, grant->m_epoch, grant->m_grant});
    return true;
}

void updateDemand(EntryOrganisation &entry, std::uint32_t arrived, TimePoint now)
{
    const std::chrono::duration<double> window = now - entry.m_windowStart;
    if (window >= DemandWindow) {
        const double recent = entry.m_arrived / window.count();
        entry.m_demand += DemandWeight * (recent - entry.m_demand);
        entry.m_arrived = 0;
        entry.m_windowStart = now;
    }
    entry.m_arrived += arrived;
}

/** Collects reports on the grants of a group. */
std::vector<GrantReport> reportsTo(EntryOrganisation &entry, const std::string &group,
                                   TimePoint now)
{
    std::vector<GrantReport> reports;
    for (EntryGrant &grant : entry.m_grants) {
        if (grant.m_group != group || now >= grant.m_expires)
            continue;
        grant.m_changed = false;
        grant.m_reportedSpent = grant.m_spent;
        if (grant.m_spent + grant.m_returned > 0)
            reports.push_back({grant.m_epoch, grant.m_grant, grant.m_spent, grant.m_returned});
    }
    return reports;
}

void sendRequest(RateEntryState &state, const std::string &name, EntryOrganisation &entry,
                 const std::string &group, std::uint32_t tokens, TimePoint now,
                 RateEntryEffects &effects)
{
    GrantRequest request;
    request.m_organisation = name;
    request.m_group = group;
    request.m_from = state.m_self;
    request.m_request = state.m_nextRequest++;
    request.m_tokens = tokens;
    request.m_demand = entry.m_demand;
    request.m_reports = reportsTo(entry, group, now);
    if (tokens > 0)
        entry.m_requests[request.m_request] = now;
    effects.m_requests.push_back(std::move(request));
}

void requestIfShort(RateEntryState &state, const std::string &name, EntryOrganisation &entry,
                    TimePoint now, RateEntryEffects &effects)
{
    const double target = entry.m_demand * GrantSeconds;
    const std::uint32_t left = tokensLeft(entry, now);
    const bool isShort = !entry.m_waiting.empty() || (target >= 1 && left < target / 2);
    if (!isShort || now < entry.m_nextRequest || entry.m_groups.empty())
        return;
    entry.m_nextRequest = now + RequestInterval;
    const double wanted = std::ceil(target) + static_cast<double>(entry.m_waiting.size()) - left;
    const std::string &group = entry.m_groups[entry.m_nextGroup++ % entry.m_groups.size()];
    sendRequest(state, name, entry, group, static_cast<std::uint32_t>(std::max(1.0, wanted)), now,
                effects);
}

void returnUnused(EntryOrganisation &entry, TimePoint now)
{
    for (EntryGrant &grant : entry.m_grants) {
        if (grant.m_left == 0 || now + ReturnBefore < grant.m_expires)
            continue;
        grant.m_returned += std::exchange(grant.m_left, 0);
        grant.m_changed = true;
    }
}

void reportChanges(RateEntryState &state, const std::string &name, EntryOrganisation &entry,
                   TimePoint now, RateEntryEffects &effects)
{
    if (now - entry.m_lastReport < ReportInterval)
        return;
    entry.m_lastReport = now;
    std::vector<std::string> groups;
    for (const EntryGrant &grant : entry.m_grants) {
        const bool known = std::find(groups.begin(), groups.end(), grant.m_group) != groups.end();
        if (grant.m_changed && now < grant.m_expires && !known)
            groups.push_back(grant.m_group);
    }
    for (const std::string &group : groups)
        sendRequest(state, name, entry, group, 0, now, effects);
}

} // namespace

RateEntryEffects requestArrived(RateEntryState &state, std::uint64_t call,
                                const std::string &organisation, TimePoint now)
{
    RateEntryEffects effects;
    const std::map<std::string, EntryOrganisation>::iterator found =
            state.m_organisations.find(organisation);
    if (found == state.m_organisations.end()) {
        effects.m_refused.push_back(call);
        return effects;
    }
    EntryOrganisation &entry = found->second;
    updateDemand(entry, 1, now);
    if (!entry.m_waiting.empty() || !charge(entry, organisation, call, now, effects))
        entry.m_waiting.push_back({call, now + MaximumWait});
    requestIfShort(state, organisation, entry, now, effects);
    return effects;
}

RateEntryEffects grantReceived(RateEntryState &state, const Grant &grant, TimePoint now,
                               const RateFaults &faults)
{
    RateEntryEffects effects;
    const std::map<std::string, EntryOrganisation>::iterator found =
            state.m_organisations.find(grant.m_organisation);
    if (found == state.m_organisations.end())
        return effects;
    EntryOrganisation &entry = found->second;
    const std::map<std::uint64_t, TimePoint>::const_iterator request =
            entry.m_requests.find(grant.m_request);
    const bool expected = request != entry.m_requests.end() || faults.m_lifetimeFromReceipt;
    if (!expected || grant.m_tokens == 0)
        return effects;
    const TimePoint from = faults.m_lifetimeFromReceipt ? now : request->second;
    const bool known = std::any_of(
            entry.m_grants.begin(), entry.m_grants.end(), [&grant](const EntryGrant &present) {
                return present.m_group == grant.m_group && present.m_epoch == grant.m_epoch
                        && present.m_grant == grant.m_grant;
            });
    if (known || now >= from + grant.m_lifetime)
        return effects;
    EntryGrant added;
    added.m_group = grant.m_group;
    added.m_epoch = grant.m_epoch;
    added.m_grant = grant.m_grant;
    added.m_left = grant.m_tokens;
    added.m_expires = from + grant.m_lifetime;
    entry.m_grants.push_back(std::move(added));
    while (!entry.m_waiting.empty()
           && charge(entry, grant.m_organisation, entry.m_waiting.front().m_call, now, effects))
        entry.m_waiting.pop_front();
    return effects;
}

void creditCharge(RateEntryState &state, const Charge &charge, TimePoint now)
{
    const std::map<std::string, EntryOrganisation>::iterator found =
            state.m_organisations.find(charge.m_organisation);
    if (found == state.m_organisations.end())
        return;
    for (EntryGrant &grant : found->second.m_grants) {
        const bool same = grant.m_group == charge.m_group && grant.m_epoch == charge.m_epoch
                && grant.m_grant == charge.m_grant;
        if (!same || now >= grant.m_expires || grant.m_spent <= grant.m_reportedSpent)
            continue;
        --grant.m_spent;
        ++grant.m_left;
    }
}

RateEntryEffects rateEntryTick(RateEntryState &state, TimePoint now)
{
    RateEntryEffects effects;
    for (auto &[name, entry] : state.m_organisations) {
        updateDemand(entry, 0, now);
        while (!entry.m_waiting.empty() && now >= entry.m_waiting.front().m_until) {
            effects.m_refused.push_back(entry.m_waiting.front().m_call);
            entry.m_waiting.pop_front();
        }
        std::erase_if(entry.m_grants,
                      [now](const EntryGrant &grant) { return now >= grant.m_expires; });
        std::erase_if(entry.m_requests,
                      [now](const auto &sent) { return now >= sent.second + GrantLifetime; });
        returnUnused(entry, now);
        requestIfShort(state, name, entry, now, effects);
        reportChanges(state, name, entry, now, effects);
    }
    return effects;
}

} // namespace chervilmount::sharedstate
