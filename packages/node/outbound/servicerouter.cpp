#include "node/outbound/servicerouter.h"

#include <algorithm>
#include <utility>

namespace chervilmount::node {

namespace {

// Bytes charged for a call over the paid link until the size of its response is known.
constexpr double EstimatedCallBytes = 16.0 * 1024;

} // namespace

ServiceRouter::ServiceRouter(std::string ownAddress, ListMembers listMembers)
    : m_ownAddress(std::move(ownAddress))
    , m_listMembers(std::move(listMembers))
{
}

ServiceRouter::Service &ServiceRouter::serviceOf(const std::string &name,
                                                 std::chrono::steady_clock::time_point now)
{
    const auto [entry, isNew] = m_services.try_emplace(name);
    if (isNew)
        refreshService(name, entry->second, now);
    return entry->second;
}

void ServiceRouter::refreshService(const std::string &name, Service &service,
                                   std::chrono::steady_clock::time_point now)
{
    const std::vector<routing::Member> members = m_listMembers(name);
    const std::vector<routing::Member> subset =
            routing::chooseSubset(members, m_ownAddress, m_settings.m_subsetSize);
    routing::replaceCandidates(service.m_candidates, subset, now);
}

void ServiceRouter::refresh(std::chrono::steady_clock::time_point now)
{
    for (auto &[name, service] : m_services)
        refreshService(name, service, now);
}

void ServiceRouter::setLink(double bytesPerSecond, int nodesInRegion,
                            std::chrono::steady_clock::time_point now)
{
    if (m_link.m_rate == 0.0)
        m_link = routing::makeLinkBudget(bytesPerSecond, nodesInRegion, now);
    else
        routing::resizeLinkBudget(m_link, bytesPerSecond, nodesInRegion);
}

std::optional<std::uint32_t> ServiceRouter::indexOf(const Service &service,
                                                    const std::string &address)
{
    const std::vector<routing::Candidate> &candidates = service.m_candidates.m_candidates;
    const auto found = std::find_if(candidates.begin(), candidates.end(),
                                    [&address](const routing::Candidate &candidate) {
                                        return candidate.m_member.m_nodeId == address;
                                    });
    if (found == candidates.end())
        return std::nullopt;
    return static_cast<std::uint32_t>(found - candidates.begin());
}

bool ServiceRouter::hasCandidates(const std::string &service,
                                  std::chrono::steady_clock::time_point now)
{
    return !serviceOf(service, now).m_candidates.m_candidates.empty();
}

overload::ThresholdDecision ServiceRouter::decideSend(const std::string &service,
                                                      const std::string &route, overload::Rank rank,
                                                      std::chrono::steady_clock::time_point now,
                                                      std::mt19937_64 &random)
{
    return routing::decideSend(serviceOf(service, now).m_candidates,
                               overload::numberOf(m_routes, route), rank, now, random);
}

ChosenNode ServiceRouter::choose(const RouteRequest &request,
                                 std::chrono::steady_clock::time_point now, std::mt19937_64 &random)
{
    Service &service = serviceOf(request.m_service, now);
    std::vector<std::uint32_t> tried;
    for (const std::string &address : request.m_tried) {
        if (const std::optional<std::uint32_t> index = indexOf(service, address))
            tried.push_back(*index);
    }
    routing::ChoiceRequest choiceRequest;
    choiceRequest.m_rank = request.m_rank;
    choiceRequest.m_route = overload::numberOf(m_routes, request.m_route);
    choiceRequest.m_crossRegion = request.m_crossRegion;
    choiceRequest.m_estimatedBytes = EstimatedCallBytes;
    choiceRequest.m_tried = tried;
    const routing::Choice choice =
            routing::choose(service.m_candidates, choiceRequest, m_link, m_settings, now, random);
    if (!choice.m_candidate)
        return {"", choice.m_reason};
    routing::recordCallStart(service.m_candidates, *choice.m_candidate, EstimatedCallBytes, m_link,
                             now);
    return {service.m_candidates.m_candidates[*choice.m_candidate].m_member.m_nodeId,
            choice.m_reason};
}

void ServiceRouter::finish(const std::string &service, const std::string &route,
                           const std::string &address, routing::AttemptResult result,
                           const std::optional<messages::LoadReport> &load,
                           std::chrono::steady_clock::time_point now)
{
    Service &called = serviceOf(service, now);
    if (result == routing::AttemptResult::Success)
        overload::recordSuccess(called.m_budget, {});
    const std::optional<std::uint32_t> index = indexOf(called, address);
    if (!index)
        return;
    routing::CallReport report;
    report.m_result = result;
    report.m_route = overload::numberOf(m_routes, route);
    if (load) {
        report.m_hasReport = true;
        report.m_load = load->m_load;
        report.m_threshold = std::min(load->m_threshold, overload::HighestRank);
        report.m_leaving = load->m_leaving;
    }
    routing::recordCallEnd(called.m_candidates, *index, report, m_settings, now);
}

overload::RetryBudget &ServiceRouter::budget(const std::string &service)
{
    return m_services[service].m_budget;
}

} // namespace chervilmount::node
