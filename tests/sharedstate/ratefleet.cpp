#include "sharedstate/ratefleet.h"

#include "sharedstate/simulation/faultplan.h"

#include <algorithm>

namespace chervilmount::simulation {

using namespace sharedstate;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const char *const Organisation = "org";

double toSeconds(Nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

RateChecker::RateChecker(double rate, double burst)
    : m_rate(rate)
    , m_burst(burst)
    , m_level(burst)
{
}

void RateChecker::admitted(Nanoseconds now)
{
    ++m_observations;
    m_level = std::min(m_burst, m_level + m_rate * toSeconds(now - m_last)) - 1;
    m_last = now;
    // Rounding errors of many additions stay far below this tolerance.
    constexpr double Tolerance = 1e-6;
    if (m_level < -Tolerance && m_violation.empty()) {
        m_violation = "admitted " + std::to_string(-m_level)
                + " requests above burst + rate * w at " + std::to_string(now.count() / 1000000)
                + " ms";
    }
}

RateFleet::RateFleet(std::uint64_t seed, bool traced, const RateFleetPlan &plan)
    : m_plan(plan)
    , m_world(seed, traced)
    , m_store(m_world)
    , m_checker(plan.m_rate, plan.m_burst)
{
    std::vector<model::FailureDomain> domains;
    for (int domain = 0; domain < plan.m_domains; ++domain)
        domains.push_back({std::to_string(domain), "region"});
    model::Organisation organisation;
    organisation.m_name = Organisation;
    organisation.m_rate = plan.m_rate;
    organisation.m_burst = plan.m_burst;
    m_shares = groupShares(organisation, domains);
    const int nodes = plan.m_domains * plan.m_nodesPerDomain;
    for (int node = 0; node < nodes; ++node)
        m_world.addNode(node % plan.m_domains);
    int turn = 0;
    for (const auto &[name, share] : m_shares) {
        const int domain = std::stoi(name.substr(name.find('/') + 1));
        std::vector<int> members;
        for (int offset = 0; offset < plan.m_nodesPerDomain; ++offset)
            members.push_back(domain + (offset + turn) % plan.m_nodesPerDomain * plan.m_domains);
        ++turn;
        m_names.push_back(name);
        m_groups.push_back(
                std::make_unique<LeaseGroup>(m_world, m_store, name, members, plan.m_leaseFaults));
        for (const int member : members)
            m_groups.back()->state(member).m_settings = plan.m_lease;
    }
    m_lastHolder.assign(m_names.size(), -1);
    m_entries.resize(static_cast<std::size_t>(nodes));
    m_states.assign(m_names.size(), std::vector<RateGroupState>(static_cast<std::size_t>(nodes)));
    for (int node = 0; node < nodes; ++node)
        start(node);
    m_world.after(milliseconds(1), [this]() { arrive(); });
}

void RateFleet::start(int node)
{
    const int domain = m_world.node(node).m_domain;
    RateEntryState &entry = m_entries[static_cast<std::size_t>(node)];
    const std::uint64_t firstRequest = entry.m_nextRequest;
    entry = RateEntryState();
    entry.m_self = std::to_string(node);
    // A new incarnation must not accept replies to requests of the previous one.
    entry.m_nextRequest = firstRequest + 1000000;
    EntryOrganisation &organisation = entry.m_organisations[Organisation];
    for (std::size_t group = 0; group < m_names.size(); ++group) {
        if (!m_names[group].starts_with("rates/" + std::to_string(domain) + "/"))
            continue;
        organisation.m_groups.push_back(m_names[group]);
        m_groups[group]->start(node);
        RateGroupState &state = m_states[group][static_cast<std::size_t>(node)];
        state = RateGroupState();
        state.m_group = m_names[group];
        state.m_self = std::to_string(node);
        state.m_nextNumber = firstRequest + 1000000;
    }
    m_world.every(node, m_plan.m_tick, [this, node]() { tick(node); });
}

int RateFleet::pickDomain()
{
    if (m_onlyDomain >= 0)
        return m_onlyDomain;
    const int hot = static_cast<int>(m_world.now() / m_plan.m_skewPeriod) % m_plan.m_domains;
    const double total = m_plan.m_skew + m_plan.m_domains - 1;
    if (m_world.chance(m_plan.m_skew / total))
        return hot;
    const int other = std::uniform_int_distribution<int>(0, m_plan.m_domains - 2)(m_world.random());
    return other < hot ? other : other + 1;
}

void RateFleet::arrive()
{
    const double wait = std::exponential_distribution<>(m_plan.m_demand)(m_world.random());
    m_world.after(Nanoseconds(static_cast<std::int64_t>(wait * 1e9)), [this]() { arrive(); });
    if (m_plan.m_pausePeriod > Nanoseconds(0)
        && m_world.now() % m_plan.m_pausePeriod < m_plan.m_pausePeriod * 2 / 5)
        return;
    const int offset =
            std::uniform_int_distribution<int>(0, m_plan.m_nodesPerDomain - 1)(m_world.random());
    const int node = pickDomain() + offset * m_plan.m_domains;
    if (!m_world.node(node).m_up)
        return;
    m_world.afterAt(node, Nanoseconds(0), [this, node]() {
        entryEffects(node,
                     requestArrived(m_entries[static_cast<std::size_t>(node)], m_nextCall++,
                                    Organisation, m_world.localTime(node)));
    });
}

void RateFleet::tick(int node)
{
    entryEffects(node,
                 rateEntryTick(m_entries[static_cast<std::size_t>(node)], m_world.localTime(node)));
    for (std::size_t group = 0; group < m_names.size(); ++group) {
        if (!holding(group, node))
            continue;
        groupEffects(node,
                     rateGroupTick(m_states[group][static_cast<std::size_t>(node)],
                                   m_world.localTime(node), m_world.random(), m_plan.m_rateFaults));
    }
}

bool RateFleet::holding(std::size_t group, int node)
{
    const std::vector<int> &members = m_groups[group]->members();
    if (std::find(members.begin(), members.end(), node) == members.end()
        || !m_groups[group]->holds(node))
        return false;
    RateGroupState &state = m_states[group][static_cast<std::size_t>(node)];
    const std::uint64_t epoch = m_groups[group]->epoch(node);
    if (state.m_epoch != epoch) {
        startEpoch(state, epoch, {{Organisation, planOf(m_shares, m_names[group])}},
                   m_world.localTime(node), m_plan.m_rateFaults);
    }
    return true;
}

void RateFleet::entryEffects(int node, const RateEntryEffects &effects)
{
    for (const Charge &charge : effects.m_admitted) {
        // A request that is refused as not run by the next hop was not admitted.
        if (m_world.chance(m_plan.m_credit)) {
            m_world.afterAt(node, m_world.between(milliseconds(1), milliseconds(30)),
                            [this, node, charge]() {
                                creditCharge(m_entries[static_cast<std::size_t>(node)], charge,
                                             m_world.localTime(node));
                            });
            continue;
        }
        ++m_admitted;
        m_checker.admitted(m_world.now());
        if (m_world.traced())
            m_world.trace("node " + std::to_string(node) + " admits a request from grant "
                          + std::to_string(charge.m_grant) + " of " + charge.m_group + " epoch "
                          + std::to_string(charge.m_epoch));
    }
    m_refused += effects.m_refused.size();
    for (const GrantRequest &request : effects.m_requests)
        toGroup(node, request);
}

void RateFleet::groupEffects(int node, const RateGroupEffects &effects)
{
    for (const GrantRequest &request : effects.m_requests)
        toGroup(node, request);
    for (const Grant &grant : effects.m_grants) {
        const int to = std::stoi(grant.m_to);
        if (m_world.traced() && grant.m_tokens > 0)
            m_world.trace("node " + std::to_string(node) + " grants "
                          + std::to_string(grant.m_tokens) + " tokens of " + grant.m_group
                          + " to node " + grant.m_to);
        ++m_messages;
        m_world.send(node, to, [this, to, grant]() {
            if (grant.m_borrower.empty()) {
                entryEffects(to,
                             grantReceived(m_entries[static_cast<std::size_t>(to)], grant,
                                           m_world.localTime(to), m_plan.m_rateFaults));
                return;
            }
            const std::size_t group = groupIndex(grant.m_borrower);
            borrowedGrantReceived(m_states[group][static_cast<std::size_t>(to)], grant,
                                  m_world.localTime(to));
        });
    }
}

std::size_t RateFleet::groupIndex(const std::string &name) const
{
    return static_cast<std::size_t>(std::find(m_names.begin(), m_names.end(), name)
                                    - m_names.begin());
}

void RateFleet::toGroup(int from, const GrantRequest &request)
{
    const std::size_t group = groupIndex(request.m_group);
    // Nodes learn the holder from the other members of its group, so the information may be stale.
    const int holder = m_groups[group]->holder();
    if (holder >= 0)
        m_lastHolder[group] = holder;
    const std::vector<int> &members = m_groups[group]->members();
    int to = m_lastHolder[group];
    if (to < 0 || m_world.chance(0.02))
        to = members[static_cast<std::size_t>(m_nextCall) % members.size()];
    ++m_messages;
    m_world.send(from, to, [this, group, to, request]() { requestAt(group, to, request); });
}

void RateFleet::requestAt(std::size_t group, int node, const GrantRequest &request)
{
    if (!holding(group, node))
        return;
    groupEffects(node,
                 grantRequested(m_states[group][static_cast<std::size_t>(node)], request,
                                m_world.localTime(node), m_world.random(), m_plan.m_rateFaults));
}

void RateFleet::pauseHolder(std::size_t group)
{
    const int node = m_groups[group]->holder();
    if (node >= 0)
        m_world.pause(node, m_world.between(seconds(3), seconds(6)));
}

void RateFleet::replaceHolder(std::size_t group)
{
    const int node = m_groups[group]->holder();
    if (node < 0)
        return;
    m_world.trace("node " + std::to_string(node) + " leaves gracefully");
    m_groups[group]->leave(node);
    m_world.after(seconds(2), [this, group, node]() {
        if (!m_world.node(node).m_up)
            return;
        m_world.crash(node);
        m_world.restart(node);
        m_groups[group]->setServing(node, true);
        start(node);
    });
}

void RateFleet::resetCounts()
{
    m_admitted = 0;
    m_refused = 0;
    m_messages = 0;
}

double RateFleet::refusedFraction() const
{
    const double all = static_cast<double>(m_admitted + m_refused);
    return all == 0 ? 0.0 : static_cast<double>(m_refused) / all;
}

ScheduleResult runRateSchedule(std::uint64_t seed, bool traced, const RateFaults &rateFaults,
                               const LeaseFaults &leaseFaults)
{
    RateFleetPlan plan;
    plan.m_demand = 80;
    // A longer tick halves the run time of the schedules.
    plan.m_tick = milliseconds(100);
    plan.m_skewPeriod = seconds(4);
    plan.m_pausePeriod = milliseconds(3100);
    plan.m_rateFaults = rateFaults;
    plan.m_leaseFaults = leaseFaults;
    // Shorter leases let a short schedule contain several takeovers.
    plan.m_lease.m_leaseTime = milliseconds(3000);
    plan.m_lease.m_renewalInterval = milliseconds(1000);
    plan.m_lease.m_promiseTime = milliseconds(1000);
    plan.m_lease.m_promiseAfter = milliseconds(1500);
    plan.m_lease.m_promiseInterval = milliseconds(400);
    plan.m_lease.m_longestOutage = milliseconds(20000);
    plan.m_lease.m_storeUnreachableTime = milliseconds(2500);
    plan.m_lease.m_successorReadInterval = milliseconds(500);
    plan.m_lease.m_candidateReadInterval = milliseconds(1000);
    RateFleet fleet(seed, traced, plan);
    FaultPlan faults;
    faults.m_until = seconds(10);
    faults.m_longestPause = seconds(6);
    faults.m_longestOutage = seconds(8);
    faults.m_onRestart = [&fleet](int node) { fleet.start(node); };
    injectFaults(fleet.world(), fleet.store(), faults);
    if (fleet.world().chance(0.3))
        fleet.world().network() = {0.05, 0.05, 0.1, seconds(3)};
    for (int count = 0; count < 3; ++count) {
        const std::size_t group = fleet.world().chance(0.5) ? 0 : 1;
        fleet.world().after(fleet.world().between(seconds(2), seconds(10)), [&fleet, group]() {
            if (fleet.world().chance(0.6))
                fleet.replaceHolder(group);
            else
                fleet.pauseHolder(group);
        });
    }
    fleet.world().run(seconds(12));
    return {fleet.checker().violation(), fleet.world().traceText(), fleet.checker().observations()};
}

} // namespace chervilmount::simulation
