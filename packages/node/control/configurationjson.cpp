#include "node/control/configurationjson.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace chervilmount::node {

namespace {

namespace json = boost::json;

std::string textOf(const json::object &object, const char *name, const std::string &fallback = "")
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? fallback : std::string(value->as_string());
}

template<typename Number>
Number numberOf(const json::object &object, const char *name, Number fallback)
{
    const json::value *value = object.if_contains(name);
    return value == nullptr ? fallback : value->to_number<Number>();
}

bool flagOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->as_bool();
}

std::vector<std::string> textsOf(const json::object &object, const char *name)
{
    std::vector<std::string> texts;
    if (const json::value *value = object.if_contains(name)) {
        for (const json::value &item : value->as_array())
            texts.emplace_back(item.as_string());
    }
    return texts;
}

model::Route toRoute(const json::object &object)
{
    model::Route route;
    route.m_name = textOf(object, "name");
    route.m_service = textOf(object, "service");
    route.m_host = textOf(object, "host");
    route.m_methods = textsOf(object, "methods");
    route.m_pathPrefix = textOf(object, "pathPrefix");
    if (textOf(object, "execution") == "onceOnly")
        route.m_execution = model::Execution::OnceOnly;
    route.m_open = flagOf(object, "open");
    route.m_priority = textOf(object, "priority");
    route.m_timeout = std::chrono::milliseconds(
            numberOf<std::int64_t>(object, "timeoutMilliseconds", route.m_timeout.count()));
    route.m_extraAttempts = numberOf<int>(object, "extraAttempts", route.m_extraAttempts);
    route.m_crossRegion = flagOf(object, "crossRegion");
    route.m_maximumBodyBytes =
            numberOf<std::uint64_t>(object, "maximumBodyBytes", route.m_maximumBodyBytes);
    return route;
}

template<typename Visitor>
void forEach(const json::object &document, const char *name, Visitor visitor)
{
    const json::value *list = document.if_contains(name);
    if (list == nullptr)
        return;
    for (const json::value &item : list->as_array())
        visitor(item.as_object());
}

model::Configuration read(const json::object &document)
{
    model::Configuration set;
    forEach(document, "failureDomains", [&set](const json::object &item) {
        set.m_failureDomains.push_back({textOf(item, "name"), textOf(item, "region")});
    });
    forEach(document, "priorities", [&set](const json::object &item) {
        set.m_priorities.push_back({textOf(item, "name"), numberOf<int>(item, "level", 7)});
    });
    forEach(document, "services", [&set](const json::object &item) {
        set.m_services.push_back({textOf(item, "name"), textsOf(item, "calls")});
    });
    forEach(document, "routes",
            [&set](const json::object &item) { set.m_routes.push_back(toRoute(item)); });
    forEach(document, "organisations", [&set](const json::object &item) {
        model::Organisation organisation;
        organisation.m_name = textOf(item, "name");
        organisation.m_rate = numberOf<double>(item, "rate", 0.0);
        organisation.m_burst = numberOf<double>(item, "burst", 0.0);
        set.m_organisations.push_back(organisation);
    });
    forEach(document, "keys", [&set](const json::object &item) {
        set.m_keys.push_back(
                {textOf(item, "name"), textOf(item, "organisation"), textOf(item, "digest")});
    });
    return set;
}

} // namespace

model::Configuration parseConfiguration(const std::string &text, model::Findings &findings)
{
    try {
        const json::value document = json::parse(text);
        return read(document.as_object());
    } catch (const std::exception &error) {
        findings.push_back({"configuration", "", "", error.what(), "correct the document"});
    }
    return {};
}

} // namespace chervilmount::node
