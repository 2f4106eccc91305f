#include "traffic/allotment/rateview.h"

#include <algorithm>

namespace chervilmount::traffic {

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

bool takesPart(const RateMember &member)
{
    return member.m_isLinked && member.m_counted > 0;
}

/** @returns a linked node that counts more nodes than this one, or null. */
const std::string *nodeThatCountsMore(const RateView &view)
{
    const std::size_t counted = view.m_members.size() + 1;
    for (const auto &[node, member] : view.m_members) {
        if (takesPart(member) && member.m_counted > counted)
            return &node;
    }
    return nullptr;
}

/** @returns the fraction of its even share that a node takes while it is not established. */
double fractionBeforeEstablished(const RateView &view)
{
    double established = 0.0;
    double unreached = 0.0;
    for (const auto &[node, member] : view.m_members) {
        // A node that cannot be reached may have been started anew by now and not count this one.
        if (!member.m_isLinked)
            unreached += 1.0;
        else if (member.m_isEstablished)
            established += 1.0;
    }
    return established > 0 ? established / (established + unreached) : 0.0;
}

} // namespace

bool recordNode(RateView &view, const RateSharer &node, TimePoint now)
{
    if (node.m_node == view.m_self.m_node)
        return false;
    const auto [entry, isNew] = view.m_members.try_emplace(node.m_node);
    entry->second.m_region = node.m_region;
    if (isNew)
        entry->second.m_lostAt = now;
    return isNew;
}

void recordEarlierProcess(RateView &view, bool wasEstablished,
                          std::optional<std::chrono::milliseconds> absence)
{
    const bool returnsInTime = !absence || *absence < view.m_settings.m_returnTime;
    view.m_wasEstablished = wasEstablished && returnsInTime;
}

void recordLink(RateView &view, const std::string &node, const RateStatement &statement)
{
    const auto found = view.m_members.find(node);
    if (found == view.m_members.end())
        return;
    found->second.m_isLinked = true;
    found->second.m_hasAnswered = true;
    recordStatement(view, node, statement);
}

void recordStatement(RateView &view, const std::string &node, const RateStatement &statement)
{
    const auto found = view.m_members.find(node);
    if (found == view.m_members.end() || !found->second.m_isLinked)
        return;
    found->second.m_counted = statement.m_counted;
    found->second.m_isEstablished = statement.m_isEstablished;
    found->second.m_isReleased = statement.m_isReleased;
}

void recordLoss(RateView &view, const std::string &node, TimePoint now)
{
    const auto found = view.m_members.find(node);
    if (found == view.m_members.end())
        return;
    found->second.m_isLinked = false;
    found->second.m_counted = 0;
    found->second.m_lostAt = now;
}

void updateView(RateView &view, TimePoint now)
{
    std::erase_if(view.m_members, [&view, now](const auto &entry) {
        const RateMember &member = entry.second;
        return !member.m_isLinked
                && now - member.m_lostAt >= (member.m_isReleased
                                                     ? view.m_settings.m_releasedRetention
                                                     : view.m_settings.m_lostRetention);
    });
    if (!view.m_knowsNodes || (!view.m_isEstablished && nodeThatCountsMore(view) != nullptr)) {
        view.m_fraction = 0.0;
        return;
    }
    const bool allAnswered =
            std::all_of(view.m_members.begin(), view.m_members.end(),
                        [](const auto &entry) { return entry.second.m_hasAnswered; });
    const bool hasWaited = now - view.m_startedAt >= view.m_settings.m_startPatience;
    view.m_isEstablished =
            view.m_isEstablished || view.m_wasEstablished || allAnswered || hasWaited;
    view.m_fraction = view.m_isEstablished ? 1.0 : fractionBeforeEstablished(view);
}

RateStatement statementOf(const RateView &view)
{
    RateStatement statement;
    if (view.m_fraction > 0)
        statement.m_counted = static_cast<std::uint32_t>(view.m_members.size() + 1);
    statement.m_isEstablished = view.m_isEstablished;
    statement.m_isReleased = view.m_isReleased;
    return statement;
}

std::vector<RateSharer> sharersOf(const RateView &view)
{
    std::vector<RateSharer> sharers;
    for (const auto &[node, member] : view.m_members) {
        if (view.m_fraction > 0 || takesPart(member))
            sharers.push_back({node, member.m_region});
    }
    if (view.m_fraction > 0)
        sharers.insert(std::lower_bound(sharers.begin(), sharers.end(), view.m_self,
                                        [](const RateSharer &left, const RateSharer &right) {
                                            return left.m_node < right.m_node;
                                        }),
                       view.m_self);
    return sharers;
}

std::optional<std::string> nodeToAsk(RateView &view, TimePoint now)
{
    if (view.m_isEstablished || now < view.m_nextAskAt)
        return std::nullopt;
    const std::string *asked = nodeThatCountsMore(view);
    if (asked == nullptr && !view.m_knowsNodes) {
        const auto found = std::find_if(view.m_members.begin(), view.m_members.end(),
                                        [](const auto &entry) { return takesPart(entry.second); });
        if (found != view.m_members.end())
            asked = &found->first;
    }
    if (asked == nullptr)
        return std::nullopt;
    view.m_nextAskAt = now + view.m_settings.m_askInterval;
    return *asked;
}

} // namespace chervilmount::traffic
