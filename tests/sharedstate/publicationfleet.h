#pragma once

#include "sharedstate/leaseschedule.h"
#include "sharedstate/publicationchecker.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace chervilmount::simulation {

/** Simulates operators, callers and nodes that share one configuration, in two failure domains. */
class PublicationFleet
{
public:
    PublicationFleet(std::uint64_t seed, bool traced, const sharedstate::PublicationFaults &faults,
                     const sharedstate::LeaseFaults &leaseFaults = {});

    World &world() { return m_world; }
    FakeStore &store() { return m_store; }
    PublicationChecker &checker() { return m_checker; }
    LeaseGroup &lease() { return m_lease; }
    void start(int node);
    /** Lets an operator publish configurations one after the other until a time. */
    void operate(Nanoseconds until);
    /** Publishes once; the action receives the outcome when it is known. */
    void publish(std::uint64_t publication,
                 const std::function<void(sharedstate::PublishOutcome)> &action);
    /** @returns whether the node serves a request with a key now. */
    bool serves(int node, std::uint64_t key);
    /** Sends requests of callers until a time. */
    void callAll(Nanoseconds until);
    void checkFinalState();
    std::uint64_t version(int node) const { return m_nodes[index(node)].m_copy.m_version; }
    bool fresh(int node) const;
    int nodeCount() const { return static_cast<int>(m_nodes.size()); }

private:
    struct Node
    {
        sharedstate::ConfigurationCopy m_copy;
        sharedstate::PublisherState m_publisher;
        std::map<int, sharedstate::LinkClock> m_links;
        /** The set itself: publications in their order as text. */
        std::string m_set;
        std::set<std::uint64_t> m_publications;
        int m_ticks = 0;
    };

    struct Attempt
    {
        sharedstate::PublishRequest m_request;
        int m_tries = 0;
        std::function<void(sharedstate::PublishOutcome)> m_action;
    };

    static std::size_t index(int node) { return static_cast<std::size_t>(node); }
    sharedstate::PublisherRight right(int node) const;
    void tick(int node);
    void publisherEffects(int node, const sharedstate::PublisherEffects &effects);
    void copyEffects(int node, const sharedstate::CopyEffects &effects);
    void applyObject(int node, const sharedstate::ConfigurationObject &object);
    void sendAttestation(int node, const sharedstate::AttestationForPeer &attestation);
    void sendHeartbeat(int node, int to);
    void sendAttempt(std::uint64_t publication);
    void resultAt(const sharedstate::PublishResult &result);
    std::vector<int> neighbours(int node) const;

    World m_world;
    FakeStore m_store;
    LeaseGroup m_lease;
    sharedstate::PublicationFaults m_faults;
    PublicationChecker m_checker;
    std::vector<Node> m_nodes;
    std::map<std::uint64_t, Attempt> m_attempts;
    std::uint64_t m_nextPublication = 1;
};

/** Runs concurrent operators and callers with random faults. */
ScheduleResult runPublicationSchedule(std::uint64_t seed, bool traced,
                                      const sharedstate::PublicationFaults &faults = {},
                                      const sharedstate::LeaseFaults &leaseFaults = {});

} // namespace chervilmount::simulation
