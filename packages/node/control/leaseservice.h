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

/** Runs the lease state machines of the sharedstate package for one failure domain. */
class LeaseService
{
public:
    /** Sends a message to a node. */
    using SendMessage =
            std::function<void(const std::string &address, const messages::Frame &frame)>;

    /** @param platform stores the lease rows; must outlive the service, as must random. */
    LeaseService(const boost::asio::any_io_executor &executor, adapters::PlatformClient &platform,
                 std::mt19937_64 &random, SendMessage send);
    ~LeaseService();
    LeaseService(const LeaseService &) = delete;
    LeaseService &operator=(const LeaseService &) = delete;

    /** Starts the timer. */
    void start();

    /**
     * Sets the candidates for the leases of this failure domain.
     * @param self this node in its current incarnation.
     */
    void setCandidates(const sharedstate::NodeReference &self, const LeaseCandidates &candidates);

    /** Handles a lease message of another node; other messages are ignored. */
    void receive(const messages::SharedStatePayload &payload);

    /** Stops using all leases at once and starts releasing them in the store. */
    void releaseAll();

    /** @returns whether this node may act as the lease holder at the given time. */
    bool holds(const std::string &lease, std::chrono::steady_clock::time_point now) const;

    /** @returns the epoch of a lease that this node holds; 0 otherwise. */
    std::uint64_t epoch(const std::string &lease) const;

    /** @returns the address of the lease holder in the last row that this node has read; nothing
     * if there is none. */
    std::optional<std::string> holderOf(const std::string &lease) const;

    const std::map<std::string, sharedstate::LeaseState> &states() const { return m_states; }

private:
    void handleEvent(sharedstate::LeaseState &state, const sharedstate::LeaseEvent &event);
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
