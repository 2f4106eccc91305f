#include "benchmarks/overload/deployment.h"

namespace chervilmount::scenarios {

namespace {

// Normal demand is 70 % of the capacity, so that three of four failure domains can serve it.
constexpr double NormalUtilisation = 0.7;

} // namespace

Deployment addis()
{
    using std::chrono::milliseconds;
    Deployment deployment;
    deployment.m_name = "addis";
    deployment.m_services = {{"slipdesk", 50, 400, milliseconds{30}, {3}},
                             {"printhall", 50, 400, milliseconds{20}, {0}},
                             {"bundler", 50, 400, milliseconds{50}, {3}},
                             {"staffrolls", 20, 200, milliseconds{40}, {}}};
    deployment.m_kinds = {
            {1, 0, true, 0.10}, {0, 2, false, 0.30}, {0, 5, false, 0.45}, {2, 5, false, 0.15}};
    deployment.m_bottleneck = 3;
    deployment.m_domainLatency = std::chrono::microseconds{500};
    deployment.m_normalDemand = NormalUtilisation * bottleneckCapacity(deployment);
    return deployment;
}

Deployment halvern()
{
    using std::chrono::milliseconds;
    Deployment deployment;
    deployment.m_name = "halvern";
    deployment.m_services = {{"catalogue", 150, 1000, milliseconds{60}, {3}},
                             {"orders", 150, 1000, milliseconds{40}, {3}},
                             {"drawings", 150, 1000, milliseconds{90}, {3}},
                             {"stock", 30, 300, milliseconds{60}, {}}};
    deployment.m_kinds = {
            {1, 0, true, 0.10}, {0, 2, false, 0.30}, {0, 5, false, 0.45}, {2, 5, false, 0.15}};
    deployment.m_bottleneck = 3;
    deployment.m_domainLatency = milliseconds{1};
    deployment.m_normalDemand = NormalUtilisation * bottleneckCapacity(deployment);
    return deployment;
}

Deployment wide()
{
    Deployment deployment = halvern();
    deployment.m_name = "wide";
    deployment.m_serversPerDomain = 6;
    for (ServiceModel &service : deployment.m_services) {
        service.m_slots /= deployment.m_serversPerDomain;
        service.m_connections /= deployment.m_serversPerDomain;
    }
    return deployment;
}

double bottleneckCapacity(const Deployment &deployment)
{
    const ServiceModel &service = deployment.m_services[deployment.m_bottleneck];
    return FailureDomains * deployment.m_serversPerDomain * service.m_slots
            / std::chrono::duration<double>(service.m_workTime).count();
}

} // namespace chervilmount::scenarios
