#include "node/control/rateservice.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

using std::chrono::steady_clock;

constexpr std::chrono::milliseconds TickInterval{25};

// The search for a holder restarts after this time without a response.
constexpr std::chrono::milliseconds HolderTimeout{300};

// Twice the round-trip time between regions. An entry asks up to 4 groups at intervals of 20 ms and
// refuses after 150 ms, so the last group has had 90 ms to respond.
constexpr std::chrono::milliseconds UnresponsiveThreshold{50};

} // namespace

RateService::RateService(const boost::asio::any_io_executor &executor, LeaseService &leases,
                         std::mt19937_64 &random, std::string failureDomain, std::string address,
                         LeaseService::SendMessage send)
    : m_executor(executor)
    , m_leases(leases)
    , m_random(random)
    , m_failureDomain(std::move(failureDomain))
    , m_address(std::move(address))
    , m_send(std::move(send))
{
    m_entry.m_self = m_address;
}

RateService::~RateService()
{
    *m_running = false;
}

void RateService::start()
{
    boost::asio::co_spawn(m_executor, run(), boost::asio::detached);
}

void RateService::configure(const model::Configuration &configuration)
{
    m_shares.clear();
    for (const model::Organisation &organisation : configuration.m_organisations)
        m_shares[organisation.m_name] =
                sharedstate::groupShares(organisation, configuration.m_failureDomains);
    std::erase_if(m_entry.m_organisations,
                  [this](const auto &entry) { return !m_shares.contains(entry.first); });
    const std::string prefix = "rates/" + m_failureDomain + "/";
    for (const auto &[organisation, shares] : m_shares) {
        std::vector<std::string> own;
        std::vector<std::string> others;
        for (const auto &[group, share] : shares)
            (group.starts_with(prefix) ? own : others).push_back(group);
        // A domain without a share of the burst asks the groups of other domains.
        m_entry.m_organisations[organisation].m_groups = own.empty() ? others : own;
    }
    const steady_clock::time_point now = steady_clock::now();
    for (auto &[name, group] : m_groups)
        sharedstate::changePlans(group, plansOf(name), now);
}

std::map<std::string, sharedstate::GroupPlan> RateService::plansOf(const std::string &group) const
{
    std::map<std::string, sharedstate::GroupPlan> plans;
    for (const auto &[organisation, shares] : m_shares) {
        if (shares.contains(group))
            plans[organisation] = sharedstate::planOf(shares, group);
    }
    return plans;
}

void RateService::syncHeldGroups(steady_clock::time_point now)
{
    for (const auto &[lease, state] : m_leases.states()) {
        const std::uint64_t epoch = m_leases.epoch(lease);
        if (epoch == 0) {
            m_groups.erase(lease);
            continue;
        }
        sharedstate::RateGroupState &group = m_groups[lease];
        if (group.m_epoch == epoch)
            continue;
        group = sharedstate::RateGroupState();
        group.m_group = lease;
        group.m_self = m_address;
        sharedstate::startEpoch(group, epoch, plansOf(lease), now);
    }
}

void RateService::receive(const messages::SharedStatePayload &payload)
{
    if (const sharedstate::GrantRequest *request =
                std::get_if<sharedstate::GrantRequest>(&payload)) {
        handleGrantRequest(*request);
    } else if (const sharedstate::Grant *grant = std::get_if<sharedstate::Grant>(&payload)) {
        handleGrant(*grant);
    } else if (const messages::GroupHolder *holder = std::get_if<messages::GroupHolder>(&payload)) {
        HolderSearch &search = m_holders[holder->m_group];
        search.m_known = holder->m_address;
        search.m_waitingSince.reset();
    }
}

void RateService::handleGrantRequest(const sharedstate::GrantRequest &request)
{
    const steady_clock::time_point now = steady_clock::now();
    syncHeldGroups(now);
    const auto group = m_groups.find(request.m_group);
    // The lease must still be valid at the moment of the grant.
    if (group != m_groups.end() && m_leases.holds(request.m_group, now)) {
        apply(sharedstate::grantRequested(group->second, request, now, m_random));
        return;
    }
    const std::optional<std::string> holder = m_leases.holderOf(request.m_group);
    if (holder && *holder != m_address)
        m_send(request.m_from,
               messages::SharedStateMessage{messages::GroupHolder{request.m_group, *holder}});
}

void RateService::handleGrant(const sharedstate::Grant &grant)
{
    m_holders[grant.m_group].m_waitingSince.reset();
    const steady_clock::time_point now = steady_clock::now();
    if (grant.m_borrower.empty()) {
        apply(sharedstate::grantReceived(m_entry, grant, now));
        return;
    }
    const auto group = m_groups.find(grant.m_borrower);
    if (group != m_groups.end())
        sharedstate::borrowedGrantReceived(group->second, grant, now);
}

adapters::Task<std::optional<sharedstate::Charge>> RateService::charge(std::string organisation)
{
    const std::uint64_t call = m_nextCall++;
    const std::shared_ptr<PendingCharge> pending = std::make_shared<PendingCharge>(m_executor);
    m_pending[call] = pending;
    apply(sharedstate::requestArrived(m_entry, call, organisation, steady_clock::now()));
    while (!pending->m_done)
        co_await pending->m_decided.wait();
    co_return pending->m_charge;
}

void RateService::credit(const sharedstate::Charge &charge)
{
    sharedstate::creditCharge(m_entry, charge, steady_clock::now());
}

bool RateService::holdersAreUnresponsive(const std::string &organisation,
                                         steady_clock::time_point now) const
{
    const auto entry = m_entry.m_organisations.find(organisation);
    if (entry == m_entry.m_organisations.end())
        return false;
    const std::vector<std::string> &groups = entry->second.m_groups;
    return std::all_of(groups.begin(), groups.end(), [this, now](const std::string &group) {
        const auto search = m_holders.find(group);
        return search == m_holders.end() || !search->second.m_known
                || (search->second.m_waitingSince
                    && now - *search->second.m_waitingSince > UnresponsiveThreshold);
    });
}

bool RateService::canGrantLocally(const std::string &organisation,
                                  steady_clock::time_point now) const
{
    const auto shares = m_shares.find(organisation);
    if (shares == m_shares.end())
        return false;
    for (const auto &[name, group] : m_groups) {
        if (shares->second.contains(name) && m_leases.holds(name, now) && now >= group.m_usableFrom)
            return true;
    }
    return false;
}

void RateService::decide(std::uint64_t call, std::optional<sharedstate::Charge> charge)
{
    const auto pending = m_pending.find(call);
    if (pending == m_pending.end())
        return;
    pending->second->m_done = true;
    pending->second->m_charge = std::move(charge);
    pending->second->m_decided.notify();
    m_pending.erase(pending);
}

void RateService::apply(const sharedstate::RateEntryEffects &effects)
{
    for (const sharedstate::Charge &charge : effects.m_admitted)
        decide(charge.m_call, charge);
    for (const std::uint64_t call : effects.m_refused)
        decide(call, std::nullopt);
    for (const sharedstate::GrantRequest &request : effects.m_requests)
        sendToHolder(request);
}

void RateService::apply(const sharedstate::RateGroupEffects &effects)
{
    for (const sharedstate::Grant &grant : effects.m_grants)
        m_send(grant.m_to, messages::SharedStateMessage{grant});
    for (const sharedstate::GrantRequest &request : effects.m_requests)
        sendToHolder(request);
}

void RateService::sendToHolder(const sharedstate::GrantRequest &request)
{
    const steady_clock::time_point now = steady_clock::now();
    HolderSearch &search = m_holders[request.m_group];
    if (search.m_waitingSince && now - *search.m_waitingSince > HolderTimeout) {
        search.m_known.reset();
        search.m_waitingSince.reset();
        ++search.m_next;
    }
    if (!search.m_known) {
        const auto candidates = m_candidates.find(request.m_group);
        if (candidates == m_candidates.end() || candidates->second.empty())
            return;
        search.m_known = candidates->second[search.m_next % candidates->second.size()].m_node;
    }
    if (request.m_tokens > 0 && !search.m_waitingSince)
        search.m_waitingSince = now;
    m_send(*search.m_known, messages::SharedStateMessage{request});
}

adapters::Task<> RateService::run()
{
    const std::shared_ptr<bool> running = m_running;
    while (*running) {
        const steady_clock::time_point now = steady_clock::now();
        syncHeldGroups(now);
        for (std::pair<const std::string, sharedstate::RateGroupState> &group : m_groups) {
            if (m_leases.holds(group.first, now))
                apply(sharedstate::rateGroupTick(group.second, now, m_random));
        }
        apply(sharedstate::rateEntryTick(m_entry, now));
        co_await adapters::sleepFor(TickInterval);
    }
}

} // namespace chervilmount::node
