#include "membership/domain/domainwatch.h"

#include "membership/sync/reconciliation.h"

#include <algorithm>
#include <tuple>

namespace chervilmount::membership {

namespace {

/** Time of uninterrupted contact after which a domain is reachable even if the digests differ. */
constexpr std::chrono::seconds ReachableAfter{5};

bool isHeard(const MembershipState &state, const DomainWatch &watch,
             std::chrono::steady_clock::time_point now)
{
    return now - watch.m_heardAt < state.m_settings.m_suspectAfter;
}

/** Returns true if every other bridge of the own domain that is heard reports it unreachable. */
bool othersAgree(const MembershipState &state, const std::string &failureDomain,
                 std::chrono::steady_clock::time_point now)
{
    for (const auto &[key, role] : state.m_peers) {
        const PeerLink &link = state.m_links.at(key);
        const bool heard = link.m_heard && now - link.m_heardAt < state.m_settings.m_suspectAfter;
        if (!role.m_coBridge || !heard)
            continue;
        const std::vector<std::string> &domains = link.m_unreachableDomains;
        if (std::find(domains.begin(), domains.end(), failureDomain) == domains.end())
            return false;
    }
    return true;
}

void setView(StepContext &context, DomainWatch &watch, const DomainView &view)
{
    const bool changed = watch.m_view.m_reachable != view.m_reachable;
    watch.m_view = view;
    context.m_state.m_pendingViews.push_back(view.m_failureDomain);
    if (changed)
        context.m_effects.m_domainChanges.push_back({view.m_failureDomain, view.m_reachable});
}

void publishView(StepContext &context, DomainWatch &watch, bool reachable)
{
    DomainView view = watch.m_view;
    view.m_reachable = reachable;
    ++view.m_version;
    setView(context, watch, view);
}

bool isBridge(const MembershipState &state)
{
    return state.m_bridges.isBridge(state.m_self.m_id.m_failureDomain, state.m_selfKey);
}

/** Adds a watch for each other failure domain that has members. */
void updateWatches(StepContext &context)
{
    MembershipState &state = context.m_state;
    const std::map<std::string, DomainSummary> domains = state.m_table.domains();
    for (const auto &[name, summary] : domains) {
        if (name == state.m_self.m_id.m_failureDomain || state.m_domains.count(name) != 0)
            continue;
        DomainWatch &watch = state.m_domains[name];
        watch.m_view.m_failureDomain = name;
        watch.m_heardAt = context.m_now;
        watch.m_heardSince = context.m_now;
    }
}

void askForDigests(StepContext &context, const std::string &failureDomain)
{
    const MembershipState &state = context.m_state;
    for (const NodeKey key : state.m_bridges.bridgesOf(failureDomain)) {
        const std::optional<NodeId> id = state.m_table.findId(key);
        if (id && state.m_peers.count(key) != 0)
            sendDigest(context, *id, true);
    }
}

void watchDomain(StepContext &context, const std::string &name, DomainWatch &watch)
{
    const MembershipState &state = context.m_state;
    const bool heard = isHeard(state, watch, context.m_now);
    if (watch.m_view.m_reachable) {
        const bool hasMembers = state.m_table.domain(name).m_presentMembers > 0;
        if (!heard && hasMembers && othersAgree(state, name, context.m_now))
            publishView(context, watch, false);
        return;
    }
    if (!heard)
        return;
    if (watch.m_digestsEqual || context.m_now - watch.m_heardSince >= ReachableAfter)
        publishView(context, watch, true);
    else
        askForDigests(context, name);
}

} // namespace

void noteDomainHeard(StepContext &context, const std::string &failureDomain)
{
    MembershipState &state = context.m_state;
    const auto found = state.m_domains.find(failureDomain);
    if (found == state.m_domains.end())
        return;
    DomainWatch &watch = found->second;
    if (!isHeard(state, watch, context.m_now)) {
        watch.m_heardSince = context.m_now;
        watch.m_digestsEqual = false;
    }
    watch.m_heardAt = context.m_now;
}

std::vector<std::string> unreachedDomains(const MembershipState &state,
                                          std::chrono::steady_clock::time_point now)
{
    std::vector<std::string> names;
    if (state.m_domains.empty() || !isBridge(state))
        return names;
    for (const auto &[name, watch] : state.m_domains) {
        if (!isHeard(state, watch, now))
            names.push_back(name);
    }
    return names;
}

void watchDomains(StepContext &context)
{
    updateWatches(context);
    if (!isBridge(context.m_state))
        return;
    for (auto &[name, watch] : context.m_state.m_domains)
        watchDomain(context, name, watch);
}

void applyView(StepContext &context, const DomainView &view)
{
    MembershipState &state = context.m_state;
    if (view.m_failureDomain == state.m_self.m_id.m_failureDomain)
        return;
    const auto [found, inserted] = state.m_domains.try_emplace(view.m_failureDomain);
    DomainWatch &watch = found->second;
    if (inserted) {
        watch.m_view.m_failureDomain = view.m_failureDomain;
        watch.m_heardAt = context.m_now;
        watch.m_heardSince = context.m_now;
    }
    if (std::tie(view.m_version, view.m_reachable)
        > std::tie(watch.m_view.m_version, watch.m_view.m_reachable)) {
        setView(context, watch, view);
    }
}

std::vector<DomainView> changedViews(const MembershipState &state)
{
    std::vector<DomainView> views;
    for (const auto &[name, watch] : state.m_domains) {
        if (watch.m_view.m_version > 0)
            views.push_back(watch.m_view);
    }
    return views;
}

} // namespace chervilmount::membership
