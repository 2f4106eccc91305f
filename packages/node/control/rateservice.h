#pragma once

#include "adapters/tasks/signal.h"
#include "messages/frames/frames.h"
#include "model/configuration/configuration.h"
#include "node/control/leaseservice.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace chervilmount::node {

/**
 * Runs the rate limiting state machines of the sharedstate package: the token grants that this node
 * uses as an entry, and the token buckets of the groups whose leases it holds.
 */
class RateService
{
public:
    /** @param leases and random must outlive the service. */
    RateService(const boost::asio::any_io_executor &executor, LeaseService &leases,
                std::mt19937_64 &random, std::string failureDomain, std::string address,
                LeaseService::SendMessage send);
    ~RateService();
    RateService(const RateService &) = delete;
    RateService &operator=(const RateService &) = delete;

    /** Starts the timer. */
    void start();

    /** Applies a new version of the configuration. */
    void configure(const model::Configuration &configuration);

    /** Sets the candidates for the leases of all failure domains. */
    void setCandidates(LeaseCandidates candidates) { m_candidates = std::move(candidates); }

    /** Handles a grant message of another node; other messages are ignored. */
    void receive(const messages::SharedStatePayload &payload);

    /**
     * Charges a request to the organisation's rate; waits up to 150 ms for tokens.
     * @returns nothing if the organisation is over its rate.
     */
    adapters::Task<std::optional<sharedstate::Charge>> charge(std::string organisation);

    /** Refunds the charge of a request that is known not to have run. */
    void credit(const sharedstate::Charge &charge);

    /**
     * @returns whether no lease holder of the organisation's groups is known and responsive.
     * Requests are then refused although the organisation may be within its rate.
     */
    bool holdersAreUnresponsive(const std::string &organisation,
                                std::chrono::steady_clock::time_point now) const;

    /** @returns whether this node holds a group of the organisation that can grant tokens. */
    bool canGrantLocally(const std::string &organisation,
                         std::chrono::steady_clock::time_point now) const;

private:
    struct PendingCharge
    {
        explicit PendingCharge(const boost::asio::any_io_executor &executor)
            : m_decided(executor)
        {
        }

        adapters::Signal m_decided;
        bool m_done = false;
        std::optional<sharedstate::Charge> m_charge;
    };

    /** State of the search for the lease holder of a group. */
    struct HolderSearch
    {
        std::optional<std::string> m_known;
        std::size_t m_next = 0;
        /** Time of the oldest unanswered request. */
        std::optional<std::chrono::steady_clock::time_point> m_waitingSince;
    };

    void apply(const sharedstate::RateEntryEffects &effects);
    void apply(const sharedstate::RateGroupEffects &effects);
    void decide(std::uint64_t call, std::optional<sharedstate::Charge> charge);
    void sendToHolder(const sharedstate::GrantRequest &request);
    void syncHeldGroups(std::chrono::steady_clock::time_point now);
    std::map<std::string, sharedstate::GroupPlan> plansOf(const std::string &group) const;
    void handleGrantRequest(const sharedstate::GrantRequest &request);
    void handleGrant(const sharedstate::Grant &grant);
    adapters::Task<> run();

    boost::asio::any_io_executor m_executor;
    LeaseService &m_leases;
    std::mt19937_64 &m_random;
    std::string m_failureDomain;
    std::string m_address;
    LeaseService::SendMessage m_send;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    LeaseCandidates m_candidates;
    /** Shares of each organisation by group. */
    std::map<std::string, std::map<std::string, sharedstate::RateShare>> m_shares;
    sharedstate::RateEntryState m_entry;
    std::map<std::string, sharedstate::RateGroupState> m_groups;
    std::map<std::string, HolderSearch> m_holders;
    std::uint64_t m_nextCall = 1;
    std::map<std::uint64_t, std::shared_ptr<PendingCharge>> m_pending;
};

} // namespace chervilmount::node
