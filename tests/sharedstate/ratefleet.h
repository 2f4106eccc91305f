#pragma once

#include "sharedstate/leaseschedule.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace chervilmount::simulation {

/**
 * Checks an organisation's rate and burst from the admissions callers observe: for every window w,
 * admitted(w) <= burst + rate * w. A token bucket that starts full and never falls below zero is
 * equivalent to the inequality for all windows.
 */
class RateChecker
{
public:
    RateChecker(double rate, double burst);
    void admitted(Nanoseconds now);

    const std::string &violation() const { return m_violation; }
    std::uint64_t observations() const { return m_observations; }

private:
    double m_rate = 0.0;
    double m_burst = 0.0;
    double m_level = 0.0;
    Nanoseconds m_last{0};
    std::string m_violation;
    std::uint64_t m_observations = 0;
};

/** Size and load of a simulated fleet with one organisation. */
struct RateFleetPlan
{
    int m_domains = 2;
    int m_nodesPerDomain = 3;
    double m_rate = 20.0;
    double m_burst = 20.0;
    /** Requests per second over the whole fleet. */
    double m_demand = 30.0;
    /** Ratio of the load of one domain to that of each other domain. */
    double m_skew = 10.0;
    Nanoseconds m_skewPeriod = std::chrono::seconds(10);
    /**
     * Callers pause for the first part of each period, so that buckets fill up and the bound is
     * tight when they come back; 0 for steady demand.
     */
    Nanoseconds m_pausePeriod{0};
    /** Probability that an admitted request is refused as not run later and credited. */
    double m_credit = 0.1;
    /** Interval of the ticks for grants and buckets. */
    Nanoseconds m_tick = std::chrono::milliseconds(50);
    sharedstate::LeaseSettings m_lease;
    sharedstate::RateFaults m_rateFaults;
    sharedstate::LeaseFaults m_leaseFaults;
};

/** Simulates callers, entry nodes and group holders of one organisation in virtual time. */
class RateFleet
{
public:
    RateFleet(std::uint64_t seed, bool traced, const RateFleetPlan &plan);

    World &world() { return m_world; }
    FakeStore &store() { return m_store; }
    RateChecker &checker() { return m_checker; }
    LeaseGroup &group(std::size_t index) { return *m_groups[index]; }
    std::size_t groupCount() const { return m_groups.size(); }
    /** Starts the node in its current incarnation. */
    void start(int node);
    void setDemand(double demand) { m_plan.m_demand = demand; }
    /** Restricts callers to one failure domain; -1 for all. */
    void setOnlyDomain(int domain) { m_onlyDomain = domain; }
    /** Stops the process of a group's holder for longer than its lease. */
    void pauseHolder(std::size_t group);
    /** Stops the holder of a group gracefully and restarts it later. */
    void replaceHolder(std::size_t group);

    void resetCounts();
    std::uint64_t admittedCount() const { return m_admitted; }
    std::uint64_t refusedCount() const { return m_refused; }
    /** @returns refused requests as a fraction of all answered ones. */
    double refusedFraction() const;
    std::uint64_t messageCount() const { return m_messages; }

private:
    void arrive();
    int pickDomain();
    void tick(int node);
    void entryEffects(int node, const sharedstate::RateEntryEffects &effects);
    void groupEffects(int node, const sharedstate::RateGroupEffects &effects);
    void toGroup(int from, const sharedstate::GrantRequest &request);
    void requestAt(std::size_t group, int node, const sharedstate::GrantRequest &request);
    bool holding(std::size_t group, int node);
    std::size_t groupIndex(const std::string &name) const;

    RateFleetPlan m_plan;
    World m_world;
    FakeStore m_store;
    RateChecker m_checker;
    std::map<std::string, sharedstate::RateShare> m_shares;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<LeaseGroup>> m_groups;
    std::vector<int> m_lastHolder;
    std::vector<sharedstate::RateEntryState> m_entries;
    /** By group, then by node. */
    std::vector<std::vector<sharedstate::RateGroupState>> m_states;
    int m_onlyDomain = -1;
    std::uint64_t m_nextCall = 1;
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_messages = 0;
};

/** Runs a small fleet above its rate with random faults. */
ScheduleResult runRateSchedule(std::uint64_t seed, bool traced,
                               const sharedstate::RateFaults &rateFaults = {},
                               const sharedstate::LeaseFaults &leaseFaults = {});

} // namespace chervilmount::simulation
