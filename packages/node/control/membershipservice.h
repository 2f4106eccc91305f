#pragma once

#include "adapters/platform/platformclient.h"
#include "adapters/tasks/signal.h"
#include "membership/membership.h"
#include "messages/frames/frames.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chervilmount::node {

/** Runs the membership state machine of the membership package at one node. */
class MembershipService
{
public:
    /** Sends a message to a node. */
    using SendMessage =
            std::function<void(const std::string &address, const messages::Frame &frame)>;

    /**
     * @param incarnation start time in milliseconds since the epoch.
     * @param platform stores the seed rows; must outlive the service, as must random.
     */
    MembershipService(const boost::asio::any_io_executor &executor,
                      membership::MembershipSettings settings, const membership::NodeId &own,
                      std::uint64_t incarnation, adapters::PlatformClient &platform,
                      std::mt19937_64 &random, SendMessage send);
    ~MembershipService();
    MembershipService(const MembershipService &) = delete;
    MembershipService &operator=(const MembershipService &) = delete;

    /** Starts the discovery of other nodes; the send function must be usable from now on. */
    void start();

    /** Feeds an event into the state machine and performs its effects. */
    void handleEvent(const membership::Event &event);

    /** Handles a message of another node. */
    void receive(const messages::MembershipMessage &message);

    const membership::MembershipState &state() const { return m_state; }

    /** @returns the serving members of a service in reachable failure domains. */
    std::vector<membership::MemberRecord> servingMembers(const std::string &service) const;

    /** @returns a counter that is incremented when the member table or the view of a failure domain
     * changes. */
    std::uint64_t revision() const { return m_revision; }

private:
    void apply(const membership::Effects &effects);
    adapters::Task<> run();
    adapters::Task<> readSeeds();
    adapters::Task<> writeSeed(membership::WriteSeed write);

    boost::asio::any_io_executor m_executor;
    adapters::PlatformClient &m_platform;
    std::mt19937_64 &m_random;
    SendMessage m_send;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    membership::MembershipState m_state;
    std::chrono::steady_clock::time_point m_wakeUpAt;
    std::uint64_t m_revision = 0;
    adapters::Signal m_changed;
};

} // namespace chervilmount::node
