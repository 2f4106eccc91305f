#pragma once

#include "adapters/platform/platformclient.h"
#include "adapters/tasks/signal.h"
#include "sharedstate/sharedstate.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace chervilmount::node {

/** Runs the state machine for the claims of once-only requests at their entry node. */
class ClaimService
{
public:
    /** The references must outlive the service. */
    ClaimService(const boost::asio::any_io_executor &executor, adapters::PlatformClient &platform,
                 std::mt19937_64 &random);
    ~ClaimService();
    ClaimService(const ClaimService &) = delete;
    ClaimService &operator=(const ClaimService &) = delete;

    /**
     * Claims a request. After the verdict Dispatch, one of the functions below must be called.
     * @param wanted the claim; its call number is assigned here.
     */
    adapters::Task<sharedstate::ClaimDecision> claim(sharedstate::ClaimWanted wanted);

    /** Reports that the call is proven not to have run. */
    void notRun(std::uint64_t call);

    /** Reports the complete response of the call. */
    void answered(std::uint64_t call, std::string response);

    /** Reports that the outcome of the call is unknown. */
    void outcomeUnknown(std::uint64_t call);

    /** @returns the number of unsettled claims. */
    std::size_t active() const { return m_state.m_calls.size(); }

private:
    struct Waiter
    {
        explicit Waiter(const boost::asio::any_io_executor &executor)
            : m_decided(executor)
        {
        }

        std::optional<sharedstate::ClaimDecision> m_decision;
        adapters::Signal m_decided;
    };

    void handleEvent(const sharedstate::ClaimEvent &event);
    adapters::Task<> perform(sharedstate::StoreRequest request);
    adapters::Task<> tick();

    boost::asio::any_io_executor m_executor;
    adapters::PlatformClient &m_platform;
    std::mt19937_64 &m_random;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    sharedstate::ClaimState m_state;
    std::uint64_t m_nextCall = 1;
    adapters::Signal m_changed;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace chervilmount::node
