#pragma once

#include "adapters/peerlink/peertransport.h"
#include "adapters/platform/platformclient.h"
#include "model/digest/keydigester.h"
#include "node/calls/outgoingcalls.h"
#include "node/control/configurationstate.h"
#include "node/control/configurationstore.h"
#include "node/control/leaseservice.h"
#include "node/control/membershipservice.h"
#include "node/control/rateservice.h"
#include "node/entry/callerrequests.h"
#include "node/entry/callrunner.h"
#include "node/entry/claimservice.h"
#include "node/inbound/backendserver.h"
#include "node/inbound/incomingcalls.h"
#include "node/outbound/servicerouter.h"
#include "node/record/decisionrecorder.h"
#include "node/settings/nodesettings.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace chervilmount::node {

/** Components that the handlers and control loops of a node share. */
struct NodeParts
{
    /** @param incarnation start time in milliseconds since the epoch. */
    NodeParts(boost::asio::io_context &context, NodeSettings settings, std::uint64_t incarnation,
              std::uint64_t seed);
    NodeParts(const NodeParts &) = delete;
    NodeParts &operator=(const NodeParts &) = delete;

    /** @returns the members of a service as candidates for the choice of a node. */
    std::vector<routing::Member> membersOf(const std::string &service) const;

    /** Updates the lease candidates of the lease and rate services. */
    void refreshLeaseCandidates(std::chrono::steady_clock::time_point now);

    /** @returns the number of live nodes in this failure domain; at least 1. */
    std::size_t nodesInDomain() const;

    /** @returns the input of the decision on a request. */
    EntryInput entryInput(const model::RequestId &id,
                          std::chrono::steady_clock::time_point now) const;

    boost::asio::io_context &m_context;
    NodeSettings m_settings;
    std::mt19937_64 m_random;
    bool m_leaving = false;
    /** Set by the node; starts the graceful shutdown. */
    std::function<void()> m_stop;
    DecisionRecorder m_recorder;
    model::KeyDigester m_digester;
    ConfigurationState m_configuration;
    adapters::PlatformClient m_platform;
    ConfigurationStore m_configurationStore;
    std::unique_ptr<adapters::PeerTransport> m_transport;
    MembershipService m_membership;
    LeaseService m_leases;
    RateService m_rates;
    BackendServer m_backend;
    IncomingCalls m_incoming;
    OutgoingCalls m_outgoing;
    ServiceRouter m_router;
    CallRunner m_runner;
    ClaimService m_claims;
    EntryState m_entry;
};

} // namespace chervilmount::node
