#pragma once

#include "adapters/platform/platformclient.h"
#include "adapters/tasks/task.h"
#include "messages/frames/frames.h"
#include "node/control/leasecandidates.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

namespace chervilmount::node {

/** Puts the lease decisions of the sharedstate package into effect for one failure domain. */
class LeaseService
{
public:
    /** Sends a message to a node. */
    using SendMessage =
            std::function<void(const std::string &address, const messages::Frame &frame)>;

    /** @param platform holds the lease rows; must outlive the service like random. */
    LeaseService(const boost::asio::any_io_executor &executor, adapters::PlatformClient &platform,
                 std::mt19937_64 &random, SendMessage send);
    ~LeaseService();
    LeaseService(const LeaseService &) = delete;
    LeaseService &operator=(const LeaseService &) = delete;

    /** Starts the timer. */
    void start();

    /**
     * Takes the present candidates of the leases of the own failure domain.
     * @param self the own node in its present incarnation.
     */
    void setCandidates(const sharedstate::NodeReference &self, const LeaseCandidates &candidates);

    /** Takes a message of another node; others than lease messages are ignored. */
    void receive(const messages::SharedStatePayload &payload);

    /** Gives up all leases as soon as the store confirms it; no right is used from now on. */
    void leave();

    /** @returns whether this node may act for the lease at this moment. */
    bool holds(const std::string &lease, std::chrono::steady_clock::time_point now) const;

    /** @returns the epoch of a lease that this node holds; 0 otherwise. */
    std::uint64_t epoch(const std::string &lease) const;

    /** @returns the address of the holder as far as this node knows the row. */
    std::optional<std::string> holderOf(const std::string &lease) const;

    const std::map<std::string, sharedstate::LeaseState> &states() const { return m_states; }

private:
    void take(sharedstate::LeaseState &state, const sharedstate::LeaseEvent &event);
    adapters::Task<> run();
    adapters::Task<> performRequest(std::string lease, sharedstate::StoreRequest request);

    boost::asio::any_io_executor m_executor;
    adapters::PlatformClient &m_platform;
    std::mt19937_64 &m_random;
    SendMessage m_send;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    std::map<std::string, sharedstate::LeaseState> m_states;
    bool m_leaving = false;
};

} // namespace chervilmount::node
