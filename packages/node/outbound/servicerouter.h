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

/** A node that was chosen for an attempt. */
struct ChosenNode
{
    /** Address of the node; empty if none can be used. */
    std::string m_address;
    overload::Reason m_reason = overload::Reason::NoCandidate;
};

/** What a call needs from the choice of a node. */
struct RouteRequest
{
    std::string m_service;
    std::string m_route;
    overload::Rank m_rank = 0;
    bool m_crossRegion = false;
    /** Nodes that have already refused or failed this call. */
    std::set<std::string> m_tried;
};

/** Candidates and retry budgets of all services that this node calls. */
class ServiceRouter
{
public:
    /** Lists the present members of a service as seen from this node. */
    using ListMembers = std::function<std::vector<routing::Member>(const std::string &service)>;

    /** @param ownAddress identifies this node in the choice of its subsets. */
    ServiceRouter(std::string ownAddress, ListMembers list);

    /** Draws the candidates anew; called when members have changed. */
    void refresh(std::chrono::steady_clock::time_point now);

    /** Sets this node's part of the paid link between regions. */
    void setLink(double bytesPerSecond, int nodesInRegion,
                 std::chrono::steady_clock::time_point now);

    /** @returns whether any node is known that can take a call to the service. */
    bool hasCandidates(const std::string &service, std::chrono::steady_clock::time_point now);

    /** Decides at the threshold of the service whether a request goes on to it. */
    overload::ThresholdDecision decideSend(const std::string &service, const std::string &route,
                                           overload::Rank rank,
                                           std::chrono::steady_clock::time_point now,
                                           std::mt19937_64 &random);

    /** Chooses a node and counts the start of a call there. */
    ChosenNode choose(const RouteRequest &request, std::chrono::steady_clock::time_point now,
                      std::mt19937_64 &random);

    /** Takes the end of an attempt. @param load from the response, if it carried one. */
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
    ListMembers m_list;
    routing::RoutingSettings m_settings;
    routing::LinkBudget m_link;
    overload::NameTable m_routes;
    std::map<std::string, Service> m_services;
};

} // namespace chervilmount::node
