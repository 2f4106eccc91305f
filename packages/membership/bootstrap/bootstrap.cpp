#include "membership/bootstrap/bootstrap.h"

#include "membership/bootstrap/seedchoice.h"
#include "membership/step/queries.h"
#include "membership/step/recordflow.h"

#include <algorithm>

namespace chervilmount::membership {

namespace {

/** Records per page of a table transfer. */
constexpr std::size_t RecordsPerPage = 256;
/** Pages beyond this number are refused; it allows tables of a million records. */
constexpr std::uint32_t MaximumPages = 4096;
constexpr std::chrono::milliseconds FirstSearchDelay{1000};
/** 33,000 nodes that search at this interval read the store 1,100 times a second. */
constexpr std::chrono::milliseconds LongestSearchDelay{30000};
constexpr std::chrono::milliseconds PageTimeout{1000};
constexpr int PageAttempts = 5;
/** Peers from the settings asked in one search. */
constexpr std::size_t PeersPerSearch = 8;
/** Time without any heartbeat after which a node that had joined searches again. */
constexpr std::chrono::seconds SearchAgainAfter{10};
/** Expected number of nodes per domain that compare the seeds with their table in one interval. */
constexpr double SeedChecksPerDomain = 2;

/** Returns true with the probability that makes the given number of the domain's nodes act. */
bool isChosen(StepContext &context, double expectedNodes)
{
    const std::size_t size = std::max<std::size_t>(context.m_state.m_rings.size(), 1);
    std::uniform_real_distribution<double> uniform(0, 1);
    return uniform(context.m_random) * static_cast<double>(size) < expectedNodes;
}

void requestPage(StepContext &context, const NodeId &to, std::uint32_t page, std::uint32_t pages)
{
    send(context, to, TableRequest{page, pages, context.m_state.m_self});
}

/** Picks a random member, so that transfers of many starting nodes spread over the domain. */
std::optional<NodeId> randomMember(StepContext &context)
{
    const MembershipState &state = context.m_state;
    std::vector<NodeKey> members;
    state.m_table.forEachKey([&](NodeKey key, MemberState member, const std::string &domain) {
        if (isPresent(member) && key != state.m_selfKey
            && domain == state.m_self.m_id.m_failureDomain) {
            members.push_back(key);
        }
    });
    if (members.empty())
        return std::nullopt;
    return state.m_table.findId(members[randomBelow(context, members.size())]);
}

void finishTransfer(StepContext &context)
{
    MembershipState &state = context.m_state;
    state.m_bootstrap.m_transfer.reset();
    if (!state.m_bootstrap.m_transferred)
        state.m_pendingRecords.push_back({state.m_selfKey, 0});
    state.m_bootstrap.m_transferred = true;
    state.m_bootstrap.m_wantsTransfer = false;
    state.m_bootstrap.m_searches = 0;
    state.m_bootstrap.m_searchDelay = FirstSearchDelay;
}

void search(StepContext &context)
{
    MembershipState &state = context.m_state;
    Bootstrap &bootstrap = state.m_bootstrap;
    std::vector<NodeId> peers = state.m_settings.m_peers;
    std::shuffle(peers.begin(), peers.end(), context.m_random);
    if (peers.size() > PeersPerSearch)
        peers.resize(PeersPerSearch);
    for (const NodeId &peer : peers) {
        if (peer.m_address != state.m_self.m_id.m_address)
            requestPage(context, peer, 0, 0);
    }
    bootstrap.m_wantsTransfer = true;
    context.m_effects.m_storeOperations.push_back(ReadSeeds{});
    ++bootstrap.m_searches;
    bootstrap.m_searchAt = context.m_now + jittered(context, bootstrap.m_searchDelay);
    bootstrap.m_searchDelay = std::min(2 * bootstrap.m_searchDelay, LongestSearchDelay);
}

bool needsSearch(const StepContext &context)
{
    const MembershipState &state = context.m_state;
    if (state.m_bootstrap.m_transfer)
        return false;
    if (!state.m_bootstrap.m_transferred)
        return true;
    return std::none_of(state.m_links.begin(), state.m_links.end(), [&](const auto &link) {
        return link.second.m_heard && context.m_now - link.second.m_heardAt < SearchAgainAfter;
    });
}

void continueTransfer(StepContext &context)
{
    Bootstrap &bootstrap = context.m_state.m_bootstrap;
    if (!bootstrap.m_transfer || context.m_now - bootstrap.m_transfer->m_requestedAt < PageTimeout)
        return;
    TableTransfer &transfer = *bootstrap.m_transfer;
    const std::optional<NodeId> source = randomMember(context);
    if (!source || ++transfer.m_attempts >= PageAttempts) {
        // Reconciliation with the neighbours supplies the missing records.
        finishTransfer(context);
        return;
    }
    transfer.m_requestedAt = context.m_now;
    requestPage(context, *source, transfer.m_page, transfer.m_pages);
}

bool isKnownAddress(const MembershipState &state, const NodeId &peer)
{
    if (!peer.m_failureDomain.empty()) {
        const std::optional<MemberState> known = state.m_table.findState(keyOf(peer));
        return known && isPresent(*known);
    }
    for (const auto &[name, summary] : state.m_table.domains()) {
        const std::optional<MemberState> known =
                state.m_table.findState(keyOf(name, peer.m_address));
        if (known && isPresent(*known))
            return true;
    }
    return false;
}

void checkSeeds(StepContext &context)
{
    MembershipState &state = context.m_state;
    if (context.m_now < state.m_bootstrap.m_seedCheckAt)
        return;
    state.m_bootstrap.m_seedCheckAt =
            context.m_now + jittered(context, state.m_settings.m_seedCheckInterval);
    if (isChosen(context, SeedChecksPerDomain))
        context.m_effects.m_storeOperations.push_back(ReadSeeds{});
    const std::vector<NodeId> &peers = state.m_settings.m_peers;
    if (peers.empty() || !isChosen(context, SeedChecksPerDomain))
        return;
    const NodeId &peer = peers[randomBelow(context, peers.size())];
    if (isKnownAddress(state, peer))
        return;
    state.m_bootstrap.m_wantsTransfer = true;
    requestPage(context, peer, 0, 0);
}

void rewriteSeedRow(StepContext &context)
{
    MembershipState &state = context.m_state;
    Bootstrap &bootstrap = state.m_bootstrap;
    if (!bootstrap.m_seedRow || context.m_now < bootstrap.m_seedWriteAt)
        return;
    bootstrap.m_seedWriteAt = context.m_now + state.m_settings.m_seedCheckInterval;
    const SeedRow row{state.m_self.m_id.m_failureDomain, *bootstrap.m_seedRow, state.m_self.m_id,
                      0};
    context.m_effects.m_storeOperations.push_back(WriteSeed{row, WriteSeed::Condition::None});
}

} // namespace

void startBootstrap(StepContext &context)
{
    Bootstrap &bootstrap = context.m_state.m_bootstrap;
    bootstrap.m_searchDelay = FirstSearchDelay;
    bootstrap.m_seedCheckAt =
            context.m_now + jittered(context, context.m_state.m_settings.m_seedCheckInterval);
    search(context);
}

void continueBootstrap(StepContext &context)
{
    continueTransfer(context);
    if (context.m_now >= context.m_state.m_bootstrap.m_searchAt && needsSearch(context))
        search(context);
    checkSeeds(context);
    rewriteSeedRow(context);
}

void receiveSeeds(StepContext &context, const SeedsRead &seeds)
{
    if (!seeds.m_rows)
        return;
    Bootstrap &bootstrap = context.m_state.m_bootstrap;
    for (const NodeId &seed : chooseSeeds(context, *seeds.m_rows, needsSearch(context))) {
        bootstrap.m_wantsTransfer = true;
        requestPage(context, seed, 0, 0);
    }
    if (std::optional<WriteSeed> write = chooseSeedWrite(context, *seeds.m_rows))
        context.m_effects.m_storeOperations.push_back(std::move(*write));
}

void receiveTableRequest(StepContext &context, const NodeId &from, const TableRequest &request)
{
    const MembershipState &state = context.m_state;
    if (request.m_pages > MaximumPages)
        return;
    TablePage page;
    page.m_page = request.m_page;
    page.m_pages = request.m_pages != 0
            ? request.m_pages
            : static_cast<std::uint32_t>((state.m_table.size() + RecordsPerPage - 1)
                                         / RecordsPerPage);
    page.m_records = state.m_table.page(page.m_page, page.m_pages, context.m_now);
    send(context, from, std::move(page));
    applyRecord(context, request.m_requester, keyOf(from));
}

void receiveTablePage(StepContext &context, const NodeId &from, const TablePage &page)
{
    MembershipState &state = context.m_state;
    Bootstrap &bootstrap = state.m_bootstrap;
    // The records of the first table are already known to the other members; records received after
    // that may come from a separate partition and must be flooded.
    const Flooding flooding = bootstrap.m_transferred ? Flooding::Flood : Flooding::KeepLocal;
    for (const MemberRecord &record : page.m_records)
        applyRecord(context, record, keyOf(from), flooding);
    if (bootstrap.m_transfer) {
        if (page.m_page != bootstrap.m_transfer->m_page
            || page.m_pages != bootstrap.m_transfer->m_pages) {
            return;
        }
    } else if (!bootstrap.m_wantsTransfer || page.m_page != 0) {
        return;
    }
    if (page.m_page + 1 >= page.m_pages) {
        finishTransfer(context);
        return;
    }
    std::optional<NodeId> source;
    if (!bootstrap.m_transferred)
        source = randomMember(context);
    bootstrap.m_transfer = TableTransfer{page.m_page + 1, page.m_pages, context.m_now, 0};
    requestPage(context, source.value_or(from), page.m_page + 1, page.m_pages);
}

} // namespace chervilmount::membership
