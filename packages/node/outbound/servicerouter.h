#pragma once

#include "messages/frames/frames.h"
#include "overload/overload.h"
#include "routing/routing.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace chervilmount::node {

/** The node chosen for an attempt. */
struct ChosenNode
{
    /** Address of the node; empty if no node is available. */
    std::string m_address;
    overload::Reason m_reason = overload::Reason::NoCandidate;
};

/** Criteria for choosing a node. */
struct RouteRequest
{
    std::string m_service;
    std::string m_route;
    overload::Rank m_rank = 0;
    bool m_crossRegion = false;
    /** Nodes that have already refused or failed this call. */
    std::set<std::string> m_tried;
};

/** Chooses nodes for calls; keeps the candidates and retry budget of each called service. */
class ServiceRouter
{
public:
    /** Lists the members of a service that this node currently knows. */
    using ListMembers = std::function<std::vector<routing::Member>(const std::string &service)>;

    /** @param ownAddress identifies this node when its subset of the members is chosen. */
    ServiceRouter(std::string ownAddress, ListMembers listMembers);

    /** Recomputes the candidates; called when members have changed. */
    void refresh(std::chrono::steady_clock::time_point now);

    /** Sets this node's share of the bandwidth of the paid link between regions. */
    void setLink(double bytesPerSecond, int nodesInRegion,
                 std::chrono::steady_clock::time_point now);

    /** @returns whether any candidate node is known for the service. */
    bool hasCandidates(const std::string &service, std::chrono::steady_clock::time_point now);

    /** Decides by the admission threshold of the service whether to send a request to it. */
    overload::ThresholdDecision decideSend(const std::string &service, const std::string &route,
                                           overload::Rank rank,
                                           std::chrono::steady_clock::time_point now,
                                           std::mt19937_64 &random);

    /** Chooses a node and records the start of a call to it. */
    ChosenNode choose(const RouteRequest &request, std::chrono::steady_clock::time_point now,
                      std::mt19937_64 &random);

    /** Records the end of an attempt. @param load load report of the response, if any. */
    void finish(const std::string &service, const std::string &route, const std::string &address,
                routing::AttemptResult result, const std::optional<messages::LoadReport> &load,
                std::chrono::steady_clock::time_point now);

    /** @returns the retry budget of a service. */
    overload::RetryBudget &budget(const std::string &service);

private:
    struct Service
    {
        routing::ServiceCandidates m_candidates;
        overload::RetryBudget m_budget;
    };

    Service &serviceOf(const std::string &name, std::chrono::steady_clock::time_point now);
    void refreshService(const std::string &name, Service &service,
                        std::chrono::steady_clock::time_point now);
    static std::optional<std::uint32_t> indexOf(const Service &service, const std::string &address);

    std::string m_ownAddress;
    ListMembers m_listMembers;
    routing::RoutingSettings m_settings;
    routing::LinkBudget m_link;
    overload::NameTable m_routes;
    std::map<std::string, Service> m_services;
};

} // namespace chervilmount::node
