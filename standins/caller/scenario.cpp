#include "standins/caller/scenario.h"

#include "standins/support/httpclient.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>

namespace chervilmount::standins {

namespace json = boost::json;

namespace {

std::string text(const json::object &object, const char *name, const char *fallback = "")
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? std::string(fallback) : json::value_to<std::string>(*value);
}

double number(const json::object &object, const char *name, double fallback)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? fallback : value->to_number<double>();
}

std::chrono::milliseconds milliseconds(const json::object &object, const char *name,
                                       std::chrono::milliseconds fallback)
{
    const double value = number(object, name, static_cast<double>(fallback.count()));
    return std::chrono::milliseconds(static_cast<std::int64_t>(value));
}

Flow parseFlow(const json::object &object)
{
    Flow flow;
    flow.m_organisation = text(object, "organisation");
    flow.m_key = text(object, "key");
    flow.m_method = text(object, "method", "GET");
    flow.m_host = text(object, "host", "test");
    flow.m_path = text(object, "path");
    flow.m_requestsPerSecond = number(object, "requestsPerSecond", 1.0);
    flow.m_responseBytes = static_cast<std::size_t>(number(object, "responseBytes", 1000));
    flow.m_surgeFactor = number(object, "surgeFactor", 1.0);
    flow.m_retries = static_cast<int>(number(object, "retries", 0));
    const json::value *onceOnly = object.if_contains("onceOnly");
    flow.m_onceOnly = onceOnly != nullptr && onceOnly->as_bool();
    return flow;
}

std::vector<boost::asio::ip::tcp::endpoint> parseEndpoints(const json::value &value)
{
    std::vector<boost::asio::ip::tcp::endpoint> endpoints;
    for (const json::value &element : value.as_array())
        endpoints.push_back(parseEndpoint(json::value_to<std::string>(element)));
    return endpoints;
}

} // namespace

Scenario parseScenario(const json::value &value)
{
    const json::object &object = value.as_object();
    Scenario scenario;
    scenario.m_duration = milliseconds(object, "durationMilliseconds", scenario.m_duration);
    scenario.m_surgeStart = milliseconds(object, "surgeStartMilliseconds", scenario.m_surgeStart);
    scenario.m_surgeEnd = milliseconds(object, "surgeEndMilliseconds", scenario.m_surgeEnd);
    scenario.m_timeout = milliseconds(object, "timeoutMilliseconds", scenario.m_timeout);
    scenario.m_nodes = parseEndpoints(object.at("nodes"));
    scenario.m_backends = parseEndpoints(object.at("backends"));
    for (const json::value &flow : object.at("flows").as_array())
        scenario.m_flows.push_back(parseFlow(flow.as_object()));
    for (const json::value &limit : object.at("limits").as_array()) {
        const json::object &fields = limit.as_object();
        scenario.m_limits.push_back({text(fields, "organisation"), number(fields, "rate", 0.0),
                                     number(fields, "burst", 0.0)});
    }
    return scenario;
}

} // namespace chervilmount::standins
