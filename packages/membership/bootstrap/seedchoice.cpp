#include "membership/bootstrap/seedchoice.h"

#include <algorithm>

namespace chervilmount::membership {

namespace {

constexpr std::size_t OwnSeedsAsked = 3;
constexpr std::size_t OtherSeedsAsked = 2;
/** Searches without an answer after which a node takes over a seed row of its domain. */
constexpr int SearchesBeforeTakeover = 3;

bool isOwnDomain(const StepContext &context, const SeedRow &row)
{
    return row.m_failureDomain == context.m_state.m_self.m_id.m_failureDomain;
}

bool isMember(const MembershipState &state, const NodeId &id)
{
    const std::optional<MemberState> known = state.m_table.findState(keyOf(id));
    return known && isPresent(*known);
}

bool hasEnded(const MembershipState &state, const NodeId &id)
{
    const std::optional<MemberState> known = state.m_table.findState(keyOf(id));
    return known && !isPresent(*known);
}

WriteSeed writeOf(const StepContext &context, std::size_t index, std::uint64_t revision,
                  WriteSeed::Condition condition)
{
    const NodeId &self = context.m_state.m_self.m_id;
    return {{self.m_failureDomain, index, self, revision}, condition};
}

std::optional<WriteSeed> chooseFreeRow(StepContext &context, const std::vector<SeedRow> &own)
{
    std::vector<std::size_t> free;
    for (std::size_t index = 0; index < SeedRowsPerDomain; ++index) {
        const auto same = [index](const SeedRow &row) { return row.m_index == index; };
        if (std::none_of(own.begin(), own.end(), same))
            free.push_back(index);
    }
    const std::size_t members = std::max<std::size_t>(context.m_state.m_rings.size(), 1);
    if (free.empty() || randomBelow(context, members) >= SeedRowsPerDomain)
        return std::nullopt;
    return writeOf(context, free[randomBelow(context, free.size())], 0,
                   WriteSeed::Condition::Absent);
}

} // namespace

std::vector<NodeId> chooseSeeds(StepContext &context, const std::vector<SeedRow> &rows,
                                bool searching)
{
    std::vector<SeedRow> shuffled = rows;
    std::shuffle(shuffled.begin(), shuffled.end(), context.m_random);
    std::size_t own = 0;
    std::size_t other = 0;
    std::vector<NodeId> chosen;
    for (const SeedRow &row : shuffled) {
        const MembershipState &state = context.m_state;
        if (row.m_node == state.m_self.m_id || (!searching && isMember(state, row.m_node)))
            continue;
        std::size_t &count = isOwnDomain(context, row) ? own : other;
        const std::size_t limit = isOwnDomain(context, row) ? OwnSeedsAsked : OtherSeedsAsked;
        if (count < limit) {
            ++count;
            chosen.push_back(row.m_node);
        }
    }
    return chosen;
}

std::optional<WriteSeed> chooseSeedWrite(StepContext &context, const std::vector<SeedRow> &rows)
{
    const MembershipState &state = context.m_state;
    if (!isPresent(state.m_self.m_state) || state.m_self.m_state == MemberState::Leaving)
        return std::nullopt;
    std::vector<SeedRow> own;
    std::vector<SeedRow> stale;
    for (const SeedRow &row : rows) {
        if (!isOwnDomain(context, row))
            continue;
        if (row.m_node == state.m_self.m_id)
            return std::nullopt;
        own.push_back(row);
        if (hasEnded(state, row.m_node))
            stale.push_back(row);
    }
    if (!state.m_bootstrap.m_transferred && state.m_bootstrap.m_searches >= SearchesBeforeTakeover)
        stale = own;
    if (!stale.empty()) {
        const SeedRow &row = stale[randomBelow(context, stale.size())];
        return writeOf(context, row.m_index, row.m_revision, WriteSeed::Condition::Revision);
    }
    return chooseFreeRow(context, own);
}

} // namespace chervilmount::membership
